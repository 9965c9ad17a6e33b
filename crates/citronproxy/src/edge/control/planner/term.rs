//! One term of the planner: the time during which this instance has the leadership.

use {
    super::{
        capacity::capacities,
        former_planners::{self, ActLimit},
    },
    crate::{
        edge::control::{
            controller::{ControlState, Controller, Leadership, PlannerId},
            election::has_stopped_planning,
            watch::SERVERS,
        },
        events,
    },
    citron_core::{
        id::{Epoch, ServiceName, StoreVersion},
        ranges::{
            BalanceLimits, BalanceTimer, Balancer, Demand, EraStart, KeyEvent, KeyRange,
            LeaseTimes, LeaseTracker, MapReplica, Order, OrderOutcome, PlanScope, Probes, RangeMap,
            Reconciler, Tenure, is_server_set_complete,
        },
        registry::{PlannedOwners, ServerRecord},
        time::Time,
    },
    citron_ports::Adapter,
    std::{
        collections::{BTreeMap, BTreeSet},
        rc::Rc,
    },
    tokio::task::spawn_local,
};

/// Largest number of changes of possession that are logged one by one; beyond it, only their
/// count is logged.
const LOGGED_EVENTS_MAX: usize = 48;

/// Result of an order of one service.
#[derive(Debug)]
pub struct OrderResult {
    /// Service that the order belongs to.
    pub service: ServiceName,
    /// Version of the leadership row under which the order was decided.
    pub leadership_version: StoreVersion,
    /// The order.
    pub order: Order,
    /// How the order ended.
    pub end: OrderOutcome,
    /// Version of the newest row after a successful commit; none for other orders.
    pub version: StoreVersion,
}

/// Plan of one service.
#[derive(Debug)]
pub struct ServicePlan {
    /// Decides on grants, releases and moves.
    pub reconciler: Reconciler,
    /// Demand as of the last plan for balance.
    pub demand: Demand,
    /// Servers without keys.
    pub probes: Probes,
}

/// State of one term.
#[derive(Debug)]
pub struct Term {
    /// Leadership row of this term.
    pub leadership: Leadership,
    /// How long this instance may act.
    pub tenure: Tenure,
    /// Former planners that may still be acting.
    pub predecessors: Vec<PlannerId>,
    /// Former planners that too few witnesses can confirm, and when each has stopped.
    pub unconfirmed: BTreeMap<PlannerId, Time>,
    /// Limits of former planners that are not stored yet, and when they begin.
    pub unstored_stops: Option<(Time, Vec<ActLimit>)>,
    /// Plans by service.
    pub plans: BTreeMap<ServiceName, ServicePlan>,
    /// Whether the store has ever come back from a copy. Keys may then be held that no map
    /// mentions, as the planner before may have ended before it wrote one.
    pub is_restored: bool,
    /// Time until which planners that the copy lacks may act; `None` once they have stopped.
    pub unlisted_until: Option<Time>,
    /// Time until which former planners may have sent grants, as known at the start.
    pub foreign_grants_until: Time,
    /// Services whose stored map lacks keys.
    pub incomplete_maps: BTreeSet<ServiceName>,
    /// Decides when to move keys for balance.
    pub balance_clock: BalanceTimer,
}

impl Term {
    /// Applies the result of an order.
    pub fn apply_order_result<A: Adapter>(
        &mut self,
        result: OrderResult,
        controller: &Controller<A>,
    ) {
        if result.leadership_version != self.leadership.version {
            return;
        }
        let now = controller.clock.now();
        let Some(plan) = self.plans.get_mut(&result.service) else {
            return;
        };
        if let Order::Probe { server } = &result.order {
            plan.probes.complete(server, &result.end, now);
            if plan.probes.has_answered(server) {
                controller.plan_trigger.notify_one();
            }
        }
        if matches!(result.order, Order::Commit(_)) {
            match result.end {
                OrderOutcome::Done { .. } => {
                    log::info!(
                        "{} service={} claim={} version={} slices={} moves={}",
                        events::KEYS_MOVED,
                        result.service,
                        self.leadership.claim,
                        result.version,
                        plan.reconciler.map().slices().len(),
                        plan.reconciler.move_count()
                    );
                }
                OrderOutcome::Outdated => {
                    // The store holds another map, which takes precedence.
                    let state = controller.state.borrow();
                    let map = state.maps.get(&result.service);
                    if let Some(map) = map.and_then(|map| map.newest().to_map()) {
                        plan.reconciler.reload(map);
                    }
                }
                OrderOutcome::Unknown | OrderOutcome::NotSent => {}
            }
        }
        if plan.reconciler.complete(&result.order, result.end, now)
            && let Order::Grant { slice, .. } = &result.order
        {
            controller.announce_owner(&result.service, slice);
        }
    }

    /// Logs and counts the changes of possession since the last call. With the claims in the
    /// logs of all planners, they tell which planner gave a server its keys.
    pub fn log_key_events<A: Adapter>(&mut self, controller: &Controller<A>) {
        let claim = self.leadership.claim;
        for (service, plan) in &mut self.plans {
            let changes = plan.reconciler.take_events();
            for change in &changes {
                if let KeyEvent::Freed { reason, .. } = change {
                    controller.metrics.count_freed(*reason);
                }
            }
            if changes.len() > LOGGED_EVENTS_MAX {
                let is_freed = |change: &&KeyEvent| matches!(change, KeyEvent::Freed { .. });
                let freed = changes.iter().filter(is_freed).count();
                let (event, held) = (events::KEYS_HELD, changes.len() - freed);
                log::info!("{event} service={service} claim={claim} freed={freed} held={held}");
                continue;
            }
            for change in changes {
                let event = match change {
                    KeyEvent::Freed { .. } => events::KEYS_FREED,
                    KeyEvent::Held { .. } => events::KEYS_HELD,
                };
                log::info!("{event} service={service} claim={claim} {change}");
            }
        }
    }

    /// Continues under a leadership that this instance claimed again after the store came back
    /// from a copy.
    pub fn resume(
        self,
        leadership: Leadership,
        tenure: Tenure,
        predecessors: Vec<PlannerId>,
        unlisted_until: Option<Time>,
        era: EraStart,
        now: Time,
    ) -> Self {
        let mut plans = self.plans;
        for plan in plans.values_mut() {
            plan.reconciler.resume(era, now);
        }
        Self {
            leadership,
            tenure,
            predecessors,
            unconfirmed: BTreeMap::new(),
            unstored_stops: None,
            plans,
            is_restored: true,
            unlisted_until,
            foreign_grants_until: self.foreign_grants_until.max(era.others_until),
            incomplete_maps: self.incomplete_maps,
            balance_clock: self.balance_clock,
        }
    }

    /// Shortens the wait for leases granted by former planners, once these are known to stop
    /// soon, and ends it once all of them have stopped.
    pub fn settle_predecessors<A: Adapter>(
        &mut self,
        controller: &Rc<Controller<A>>,
        lease_times: &LeaseTimes,
    ) {
        self.store_stop_times(controller);
        if self.predecessors.is_empty() && self.unlisted_until.is_none() {
            return;
        }
        let now = controller.clock.now();
        let state = controller.state.borrow();
        let claim = self.leadership.claim;
        if state.peers.all_follow(claim, now) {
            self.unlisted_until = None;
        }
        self.predecessors
            .retain(|planner| !has_stopped_planning(&state, planner, claim));
        self.bound_predecessors(controller, &state, lease_times);
        if self.predecessors.is_empty() && self.unlisted_until.is_none() {
            for plan in self.plans.values_mut() {
                plan.reconciler.leases_mut().bound_previous(now);
            }
        }
    }

    /// Shortens the wait for former planners that too few witnesses can confirm by now.
    fn bound_predecessors<A: Adapter>(
        &mut self,
        controller: &Controller<A>,
        state: &ControlState,
        lease_times: &LeaseTimes,
    ) {
        let now = controller.clock.now();
        let mut is_shortened = false;
        for planner in &self.predecessors {
            let Some(witnesses) = self.leadership.witnesses.get(planner) else {
                continue;
            };
            let is_known = self.unconfirmed.contains_key(planner);
            let claim = self.leadership.claim;
            if is_known || !former_planners::is_unconfirmed(controller, state, witnesses, claim) {
                continue;
            }
            let stop_delay = witnesses.stop_delay();
            log::info!(
                "{} too few witnesses of former planner {planner} are left, it stops within \
                 {stop_delay:?}",
                events::PLANNER,
            );
            self.unconfirmed.insert(planner.clone(), now + stop_delay);
            is_shortened = true;
        }
        if !is_shortened {
            return;
        }
        let limit = |planner: &PlannerId| {
            let stopped_by = self.unconfirmed.get(planner);
            stopped_by.map_or(lease_times.outage_limit, |time| *time - now)
        };
        let predecessors = self.predecessors.iter();
        let limits: Vec<ActLimit> = predecessors
            .map(|planner| (planner.clone(), limit(planner)))
            .collect();
        let stopped_by = former_planners::stopped_by(state, &limits, now);
        let until = stopped_by.max(self.unlisted_until.unwrap_or_default());
        self.foreign_grants_until = self.foreign_grants_until.min(until);
        for plan in self.plans.values_mut() {
            plan.reconciler.leases_mut().bound_previous(until);
        }
        self.unstored_stops = Some((now, limits));
    }

    /// Stores when former planners stop, once the store's clock tells when their limits began.
    fn store_stop_times<A: Adapter>(&mut self, controller: &Rc<Controller<A>>) {
        let clock = &controller.state.borrow().store_clock;
        let is_known = |stops: &mut (Time, Vec<ActLimit>)| clock.at_or_after(stops.0).is_some();
        if let Some((since, limits)) = self.unstored_stops.take_if(is_known) {
            let leadership = self.leadership.clone();
            let controller = Rc::clone(controller);
            let stored = former_planners::store_stop_times(controller, leadership, limits, since);
            spawn_local(stored);
        }
    }

    /// Whether the store or most witnesses have recently confirmed the leadership. Otherwise
    /// another planner may have it by now, and relies on this one to stop.
    pub fn may_act<A: Adapter>(&mut self, controller: &Controller<A>) -> bool {
        let state = controller.state.borrow();
        let claim = self.leadership.claim;
        let confirmed = state.ranges_confirmed.until_era(claim.era());
        self.tenure.record_store(confirmed);
        self.tenure
            .record_witnesses(|name, process| state.peers.last_confirmation(name, process, claim));
        controller.clock.now() < self.tenure.end()
    }

    /// Computes which keys should move, for each service whose servers hold keys.
    pub fn plan<A: Adapter>(&mut self, controller: &Controller<A>, lease_times: LeaseTimes) {
        let now = controller.clock.now();
        let lists = controller
            .state
            .borrow_mut()
            .registry
            .server_lists()
            .clone();
        let state = controller.state.borrow();
        let Some(config) = &state.config else { return };
        let has_sudden_change = controller.demands.borrow_mut().take_sudden_change();
        let may_balance =
            *controller.store_up.borrow() && !controller.demands.borrow().is_settling(now);
        let may_rebalance = self
            .balance_clock
            .is_due(has_sudden_change, may_balance, now);
        let owners = planned_owners(controller, &state);
        let floor = self.leadership.epoch_floor();
        let (is_restored, unlisted_until) = (self.is_restored, self.unlisted_until);
        for service in config.services().filter(|service| service.is_sharded) {
            let name = &service.name;
            let map = if self.plans.contains_key(name) {
                None
            } else {
                let all_leases_end = self.foreign_grants_until + lease_times.max_validity();
                match unplanned_map(&state, name, floor, now >= all_leases_end) {
                    Some(map) => Some(map),
                    None => {
                        if self.incomplete_maps.insert(name.clone()) {
                            log::error!(
                                "{} {name}: the stored map lacks keys",
                                events::MAP_INCOMPLETE
                            );
                        }
                        continue;
                    }
                }
            };
            // Grants of this term follow from committed maps; only former planners may have sent
            // others.
            let foreign_grants_until =
                match self.predecessors.is_empty() && unlisted_until.is_none() {
                    true => self.foreign_grants_until.min(now),
                    false => self.foreign_grants_until,
                };
            let plan = self.plans.entry(name.clone()).or_insert_with(|| {
                let book = LeaseTracker::new(lease_times, foreign_grants_until);
                let map = map.unwrap_or_else(|| RangeMap::starting_at(floor));
                let mut reconciler = Reconciler::new(map, book).with_floor(floor);
                if is_restored {
                    reconciler.fence();
                }
                ServicePlan {
                    reconciler,
                    demand: Demand::default(),
                    probes: Probes::default(),
                }
            });
            let servers = lists.get(name).map_or(&[][..], |list| list.as_slice());
            let may_hold = |known: &ServerRecord| {
                let left = known.leaving_since;
                left.is_none_or(|since| now - since <= lease_times.max_holding())
            };
            let fenced = servers.iter().filter(|known| may_hold(known));
            let names = fenced.map(|known| &known.entry.name);
            // A table of before may lack servers that hold keys.
            if state.replicas[SERVERS].version.era() >= self.leadership.claim.era() {
                plan.reconciler.fence_servers(names, &owners, now);
            }
            let servers = servers.iter().map(|known| &**known);
            let mut open: Vec<&ServerRecord> =
                servers.filter(|known| known.is_available()).collect();
            let is_requested = controller.demands.borrow().is_requested(name);
            let ages: Vec<_> = open.iter().map(|known| now - known.first_seen).collect();
            let may_assign = is_server_set_complete(&ages, is_requested);
            let key_servers = plan.reconciler.key_servers();
            let has_keys = |known: &&ServerRecord| key_servers.contains(&known.entry.name);
            let others = open.iter().filter(|known| !has_keys(known));
            plan.probes
                .set_servers(others.map(|known| &known.entry.name), now);
            let may_assign = may_assign && !plan.probes.has_untried();
            open.retain(|known| has_keys(known) || plan.probes.has_answered(&known.entry.name));
            let learned = controller.load_rows.learned(name, &open);
            let capacities = capacities(
                &open,
                &learned,
                service.slow_start,
                &controller.shared.loads(),
                &controller.shared.limits(),
                now,
            );
            if may_rebalance {
                plan.demand = controller.demands.borrow().current(name, now);
            }
            // Learned shares have no window, so that nothing is moved for balance by them.
            let learned_demand = match plan.demand.is_reliable() {
                true => Demand::default(),
                false => learned.demand.to_demand(),
            };
            let demand = match learned_demand.rate(KeyRange::ALL) > 0.0 {
                true => &learned_demand,
                false => &plan.demand,
            };
            let limits = BalanceLimits::STANDARD;
            let mut balance = Balancer::new(limits, &capacities, demand);
            let scope = PlanScope {
                may_assign,
                may_rebalance,
            };
            let reconciler = &mut plan.reconciler;
            reconciler.plan(now, &state.store_clock, &owners, &mut balance, scope);
            if may_rebalance {
                log::info!(
                    "{} service={name} highest={:.2} moves={} slices={} rate={:.0}",
                    events::BALANCE,
                    balance.max_relative_load(),
                    reconciler.move_count(),
                    reconciler.map().slices().len(),
                    plan.demand.rate(KeyRange::ALL),
                );
            }
        }
    }

    /// Whether the outcome of a commit of any map is not known yet.
    pub fn has_open_commit(&self) -> bool {
        let mut plans = self.plans.values();
        plans.any(|plan| plan.reconciler.is_commit_open())
    }

    /// Returns the orders that are due.
    pub fn due_orders<A: Adapter>(
        &mut self,
        controller: &Controller<A>,
    ) -> Vec<(ServiceName, Order)> {
        let now = controller.clock.now();
        let state = controller.state.borrow();
        let owners = planned_owners(controller, &state);
        let mut orders = Vec::new();
        for (service, plan) in &mut self.plans {
            let reconciler = &mut plan.reconciler;
            let due_orders = reconciler.orders(now, &state.store_clock, &owners);
            let due_orders = due_orders.into_iter().chain(plan.probes.orders(now));
            orders.extend(due_orders.map(|order| (service.clone(), order)));
        }
        orders
    }
}

/// Map of a service without a plan; `None` if the stored one lacks keys and servers may hold
/// these. Nobody knows who does, so that they cannot be released.
fn unplanned_map(
    state: &ControlState,
    service: &ServiceName,
    floor: Epoch,
    have_leases_ended: bool,
) -> Option<RangeMap> {
    let stored = state.maps.get(service).map(MapReplica::newest);
    let Some(stored) = stored.filter(|map| map.ranges().next().is_some()) else {
        return Some(RangeMap::starting_at(floor));
    };
    let complete = stored.to_map();
    complete.or_else(|| have_leases_ended.then(|| stored.to_filled_map()))
}

/// States of owners by which moves are planned now.
pub(super) fn planned_owners<'a, A: Adapter>(
    controller: &Controller<A>,
    state: &'a ControlState,
) -> PlannedOwners<'a> {
    PlannedOwners {
        registry: &state.registry,
        is_store_up: *controller.store_up.borrow(),
    }
}
