//! The work of one term.

use {
    super::capacity::{capacities, have_shown_up},
    crate::{
        edge::control::{
            election::has_stopped,
            node::{Holder, Leadership, Node},
        },
        events,
    },
    citron_core::{
        id::ServiceName,
        ranges::{
            Balance, BalanceLimits, Demand, EvenClock, KeyRange, LeaseBook, LeaseTimes, Order,
            OrderEnd, RangeMap, Reconciler, Scope,
        },
        registry::Known,
    },
    citron_ports::Adapter,
    std::collections::BTreeMap,
};

/// What became of an order of one service.
#[derive(Debug)]
pub struct Ended {
    /// The service.
    pub service: ServiceName,
    /// Version of the planner's row under which it was given.
    pub leadership: u64,
    /// The order.
    pub order: Order,
    /// What became of it.
    pub end: OrderEnd,
    /// Version of the newest row after a commit that was done.
    pub version: u64,
}

/// A reconciler, and what it plans by.
#[derive(Debug)]
pub struct ServicePlan {
    /// Grants, releases and moves.
    pub reconciler: Reconciler,
    /// What callers ask for, as of the last plan for balance.
    pub demand: Demand,
}

/// The work of one term.
#[derive(Debug)]
pub struct Term {
    /// The planner's row.
    pub leadership: Leadership,
    /// Planners before, while they may still act.
    pub before: Vec<Holder>,
    /// By service.
    pub plans: BTreeMap<ServiceName, ServicePlan>,
    /// When keys are moved for balance.
    pub even: EvenClock,
}

impl Term {
    /// Takes in what became of an order.
    pub fn take<A: Adapter>(&mut self, result: Ended, node: &Node<A>) {
        if result.leadership != self.leadership.version {
            return;
        }
        let now = node.clock.now();
        let Some(plan) = self.plans.get_mut(&result.service) else {
            return;
        };
        if matches!(result.order, Order::Commit(_)) {
            match result.end {
                OrderEnd::Done { .. } => {
                    log::info!(
                        "{} service={} version={} slices={} moves={}",
                        events::KEYS_MOVED,
                        result.service,
                        result.version,
                        plan.reconciler.map().slices().len(),
                        plan.reconciler.moves()
                    );
                }
                OrderEnd::Outdated => {
                    // Something else lies in the store: it counts.
                    let state = node.state.borrow();
                    let map = state.maps.get(&result.service);
                    if let Some(map) = map.and_then(|map| map.whole()) {
                        plan.reconciler.reload(map);
                    }
                }
                OrderEnd::Unknown | OrderEnd::NotSent => {}
            }
        }
        if plan.reconciler.ended(&result.order, result.end, now)
            && let Order::Grant(slice) = &result.order
        {
            node.announce_owner(&result.service, slice);
        }
    }

    /// Once the planners before have stopped, leases of theirs need no longer wait.
    pub fn settle_former<A: Adapter>(&mut self, node: &Node<A>) {
        if self.before.is_empty() {
            return;
        }
        let state = node.state.borrow();
        let version = self.leadership.version;
        self.before
            .retain(|holder| !has_stopped(&state, holder, version));
        if self.before.is_empty() {
            for plan in self.plans.values_mut() {
                plan.reconciler.book().settle_foreign(node.clock.now());
            }
        }
    }

    /// Whether the store confirmed the leadership lately. Otherwise another may have it by
    /// now, and counts on this one's silence.
    pub fn may_act<A: Adapter>(node: &Node<A>, times: &LeaseTimes) -> bool {
        node.clock.now() - node.state.borrow().confirmed <= times.blind
    }

    /// Decides which keys move.
    pub fn plan<A: Adapter>(&mut self, node: &Node<A>, times: LeaseTimes) {
        let now = node.clock.now();
        let lists = node.state.borrow_mut().registry.lists().clone();
        let state = node.state.borrow();
        let Some(config) = &state.config else { return };
        let sudden = node.demands.borrow_mut().take_sudden();
        let may = *node.store.borrow() && !node.demands.borrow().is_settling(now);
        let even = self.even.is_due(sudden, may, now);
        for service in config.services().filter(|service| service.is_sharded) {
            let name = &service.name;
            let plan = self.plans.entry(name.clone()).or_insert_with(|| {
                let book = LeaseBook::new(times, now);
                ServicePlan {
                    reconciler: Reconciler::new(RangeMap::new(), book),
                    demand: Demand::default(),
                }
            });
            let servers = lists.get(name).map_or(&[][..], |list| list.as_slice());
            let servers = servers.iter().map(|known| &**known);
            let open: Vec<&Known> = servers.filter(|known| known.is_open()).collect();
            let is_asked = node.demands.borrow().is_asked(name);
            let deal = have_shown_up(&open, is_asked, now);
            let capacities = capacities(&open, service.slow_start, &node.board.loads(), now);
            if even {
                plan.demand = node.demands.borrow().seen(name, now);
            }
            let limits = BalanceLimits::STANDARD;
            let mut balance = Balance::new(limits, &capacities, &plan.demand);
            let scope = Scope { deal, even };
            let reconciler = &mut plan.reconciler;
            reconciler.plan(now, &state.times, &state.registry, &mut balance, scope);
            if even {
                log::info!(
                    "{} service={name} highest={:.2} moves={} slices={} rate={:.0}",
                    events::BALANCE,
                    balance.highest(),
                    reconciler.moves(),
                    reconciler.map().slices().len(),
                    plan.demand.of(KeyRange::ALL),
                );
            }
        }
    }

    /// The orders that are due.
    pub fn orders<A: Adapter>(&mut self, node: &Node<A>) -> Vec<(ServiceName, Order)> {
        let now = node.clock.now();
        let state = node.state.borrow();
        let mut orders = Vec::new();
        for (service, plan) in &mut self.plans {
            let reconciler = &mut plan.reconciler;
            let due = reconciler.orders(now, &state.times, &state.registry);
            orders.extend(due.into_iter().map(|order| (service.clone(), order)));
        }
        orders
    }
}
