//! The planner: one instance that grants, renews and moves keys.

use {
    super::{
        chair::{Chair, has_ended, has_stopped},
        codec::{MAP, MapWire, PLANNER, SeatWire},
        node::{Holder, Node, Seat},
        orders::Orders,
        watch::RANGES,
    },
    crate::events,
    citron_core::{
        dispatch::LoadBook,
        id::ServiceName,
        ranges::{
            Balance, BalanceLimits, Capacity, Demand, KeyRange, LeaseBook, LeaseTimes, Order,
            OrderEnd, RangeMap, Scope, Steward,
        },
        registry::Known,
        time::Time,
    },
    citron_ports::{Adapter, RowCommit, RowStore, RowTable, StoreError},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::{sync::mpsc, task::spawn_local, time::timeout},
};

/// Time between two looks at everything, if nothing happens.
const TICK: Duration = Duration::from_millis(200);
/// Time between two plans for balance: the demand seen is some seconds old, and
/// a move must show in it before the next one is planned.
const EVEN: Duration = Duration::from_millis(400);
/// Servers that start together are listed within this time of one another.
const NEWEST: Duration = Duration::from_millis(1_000);
/// How long keys wait for more servers at most.
const OLDEST: Duration = Duration::from_millis(3_000);
/// Run time that is assumed of servers before any was measured, in seconds.
const RUN: f64 = 0.2;
/// How far a server's speed may lie from its service's mean, as a factor: the
/// few samples of a start would else empty or flood a server.
const SPEEDS: [f64; 2] = [0.35, 2.5];
/// What a server that has just started is taken to do, as a part.
const COLD: f64 = 0.5;

/// What became of an order of one service.
struct Ended {
    service: ServiceName,
    seat: u64,
    order: Order,
    end: OrderEnd,
    /// Version of the map's row after a commit that was done.
    version: u64,
}

/// What became of a commit, and the version of the row then.
type Committed = (OrderEnd, u64);

/// A steward, and the version of the row that its map came from.
struct Post {
    steward: Steward,
    version: u64,
    demand: Demand,
}

/// The work of one term.
struct Term {
    seat: Seat,
    /// Planners before, while they may still act.
    before: Vec<Holder>,
    posts: BTreeMap<ServiceName, Post>,
    evened: Time,
}

/// Watches the seat, and plans while this instance has it.
pub async fn run<A: Adapter>(node: Rc<Node<A>>) {
    let times = LeaseTimes::within(node.settings.lease);
    let orders = Rc::new(Orders::default());
    let (ended, mut results) = mpsc::unbounded_channel::<Ended>();
    let mut chair = Chair::new(node.clock.now());
    let mut term: Option<Term> = None;
    let mut next = node.clock.now();
    loop {
        let woken = async {
            tokio::select! {
                result = results.recv() => result,
                () = node.wake.notified() => None,
            }
        };
        let result = timeout(next - node.clock.now(), woken).await.ok().flatten();
        resign_if_lost(&node, &mut term);
        if term.is_none() && wants_seat(&node, &mut chair) {
            term = take_seat(&node, &mut chair, times).await;
        }
        let Some(term) = &mut term else {
            next = node.clock.now() + TICK;
            continue;
        };
        if let Some(result) = result {
            let renewal = matches!(result.order, Order::Grant(_));
            term.take(result, &node);
            if renewal && node.clock.now() < next {
                // Nothing is due: most orders are renewals, a hundred a second.
                continue;
            }
        }
        next = node.clock.now() + TICK;
        term.settle_former(&node);
        let begun = node.clock.now();
        for (service, order) in term.tick(&node, times) {
            let task = Task {
                node: Rc::clone(&node),
                orders: Rc::clone(&orders),
                seat: term.seat.version,
                version: term.posts.get(&service).map_or(0, |post| post.version),
                begun,
            };
            spawn_local(task.carry_out(service, order, times, ended.clone()));
        }
        drop_unused(&node, &orders);
    }
}

/// One order under way.
struct Task<A> {
    node: Rc<Node<A>>,
    orders: Rc<Orders>,
    seat: u64,
    version: u64,
    begun: Time,
}

impl<A: Adapter> Task<A> {
    async fn carry_out(
        self,
        service: ServiceName,
        order: Order,
        times: LeaseTimes,
        ended: mpsc::UnboundedSender<Ended>,
    ) {
        let (end, version) = match &order {
            // The process stood still since the order was decided. Leases are
            // counted from then: sent now, a grant would outlast its count.
            _ if self.node.clock.now() - self.begun > times.start => (OrderEnd::NotSent, 0),
            Order::Commit(map) => commit(&self.node, &service, map, self.seat, self.version).await,
            order => (self.orders.send(&self.node, order, &times).await, 0),
        };
        let done = matches!(end, OrderEnd::Done { .. });
        self.node.counts.count_order(&order, done);
        let result = Ended {
            service,
            seat: self.seat,
            order,
            end,
            version,
        };
        // The planner's loop never ends before its tasks.
        let _ = ended.send(result);
    }
}

fn drop_unused<A: Adapter>(node: &Node<A>, orders: &Orders) {
    let state = node.state.borrow();
    let known = state.registry.iter().map(|known| known.entry.address);
    let known: BTreeSet<SocketAddr> = known.collect();
    orders.retain(|address| known.contains(address));
}

/// Gives up once another start has the seat, or this one leaves.
fn resign_if_lost<A: Adapter>(node: &Node<A>, term: &mut Option<Term>) {
    let Some(held) = term else { return };
    let mut state = node.state.borrow_mut();
    let other = state
        .seat
        .as_ref()
        .is_some_and(|seat| seat.version > held.seat.version);
    if other || node.leaving() {
        state.planning = false;
        drop(state);
        *term = None;
        log::info!("{} this instance plans no more", events::PLANNER);
        node.hurry.notify_one();
    }
}

fn wants_seat<A: Adapter>(node: &Node<A>, chair: &mut Chair) -> bool {
    let state = node.state.borrow();
    let ready =
        *node.store.borrow() && !node.leaving() && state.mirrors.iter().all(|m| m.version > 0);
    let now = node.clock.now();
    ready && chair.claims(&state, &node.settings, node.start, now)
}

async fn take_seat<A: Adapter>(
    node: &Node<A>,
    chair: &mut Chair,
    times: LeaseTimes,
) -> Option<Term> {
    let former = node.state.borrow().seat.clone();
    let before = still_acting(node, former.as_ref());
    let wire = SeatWire {
        instance: node.settings.instance.to_string(),
        start: node.start,
        before: before
            .iter()
            .map(|holder| (holder.instance.to_string(), holder.start))
            .collect(),
    };
    let commit = RowCommit {
        expected: vec![(
            RowTable::Ranges,
            PLANNER.to_string(),
            former.as_ref().map_or(0, |seat| seat.version),
        )],
        writes: vec![(
            RowTable::Ranges,
            PLANNER.to_string(),
            serde_json::to_vec(&wire).ok()?,
        )],
        removes: Vec::new(),
    };
    let claimed = node.adapter.store().commit(&commit).await;
    chair.wait(node.clock.now());
    match claimed {
        Ok(_) | Err(StoreError::Conflict) => {}
        Err(error) => {
            node.store_failed("claim", &error);
            return None;
        }
    }
    // Whoever planned before may have written maps up to the claim.
    let begun = node.clock.now();
    match node.adapter.store().rows(RowTable::Ranges).await {
        Ok(set) => {
            node.store_answered(begun);
            node.take(RANGES, set, true);
        }
        Err(error) => {
            node.store_failed("maps", &error);
            return None;
        }
    }
    begin_term(node, before, times)
}

/// Planners that may not know yet that another has the seat. Not only the last
/// one: an earlier one that is cut off may still renew when the last has ended.
fn still_acting<A: Adapter>(node: &Node<A>, former: Option<&Seat>) -> Vec<Holder> {
    let Some(former) = former else {
        return Vec::new();
    };
    let state = node.state.borrow();
    let me = &node.settings.instance;
    let mut before = former.before.clone();
    before.push(former.holder.clone());
    before.retain(|holder| holder.instance != *me && !has_ended(&state, holder));
    before
}

fn begin_term<A: Adapter>(node: &Node<A>, before: Vec<Holder>, times: LeaseTimes) -> Option<Term> {
    let mut state = node.state.borrow_mut();
    let seat = state.seat.clone()?;
    if seat.holder.instance != node.settings.instance || seat.holder.start != node.start {
        return None;
    }
    let now = node.clock.now();
    let foreign = match before.is_empty() {
        true => now,
        false => now + times.blind,
    };
    let maps = state.maps.iter();
    let posts = maps.map(|(service, (map, version))| {
        let book = LeaseBook::new(times, foreign);
        let steward = Steward::new(RangeMap::clone(map), book);
        let version = *version;
        let demand = Demand::default();
        let post = Post {
            steward,
            version,
            demand,
        };
        (service.clone(), post)
    });
    let posts = posts.collect();
    state.planning = true;
    log::info!(
        "{} this instance plans, row version {}",
        events::PLANNER,
        seat.version
    );
    node.hurry.notify_one();
    Some(Term {
        seat,
        before,
        posts,
        evened: now,
    })
}

impl Term {
    fn take<A: Adapter>(&mut self, result: Ended, node: &Node<A>) {
        if result.seat != self.seat.version {
            return;
        }
        let now = node.clock.now();
        let Some(post) = self.posts.get_mut(&result.service) else {
            return;
        };
        if matches!(result.order, Order::Commit(_)) {
            match result.end {
                OrderEnd::Done { .. } => {
                    post.version = result.version;
                    log::info!(
                        "{} service={} version={} slices={} moves={}",
                        events::KEYS_MOVED,
                        result.service,
                        post.version,
                        post.steward.map().slices().len(),
                        post.steward.moves()
                    );
                }
                OrderEnd::Outdated => {
                    // Something else lies in the store: it counts.
                    let state = node.state.borrow();
                    if let Some((map, version)) = state.maps.get(&result.service) {
                        post.steward.reload(RangeMap::clone(map));
                        post.version = *version;
                    }
                }
                OrderEnd::Unknown | OrderEnd::NotSent => {}
            }
        }
        post.steward.ended(&result.order, result.end, now);
    }

    /// Once the planners before have stopped, leases of theirs need no longer wait.
    fn settle_former<A: Adapter>(&mut self, node: &Node<A>) {
        if self.before.is_empty() {
            return;
        }
        let state = node.state.borrow();
        let version = self.seat.version;
        self.before
            .retain(|holder| !has_stopped(&state, holder, version));
        if self.before.is_empty() {
            for post in self.posts.values_mut() {
                post.steward.book().settle_foreign(node.clock.now());
            }
        }
    }

    fn tick<A: Adapter>(&mut self, node: &Node<A>, times: LeaseTimes) -> Vec<(ServiceName, Order)> {
        let now = node.clock.now();
        let state = node.state.borrow();
        if now - state.confirmed > times.blind {
            // Another may have the seat by now, and counts on this one's silence.
            return Vec::new();
        }
        let Some(config) = &state.config else {
            return Vec::new();
        };
        let even = now - self.evened > EVEN;
        if even {
            self.evened = now;
        }
        let mut orders = Vec::new();
        for service in config.services().filter(|service| service.keyed) {
            let name = &service.name;
            let post = self.posts.entry(name.clone()).or_insert_with(|| Post {
                steward: Steward::new(RangeMap::new(), LeaseBook::new(times, now)),
                version: 0,
                demand: Demand::default(),
            });
            let servers = state.registry.iter();
            let open: Vec<&Known> = servers
                .filter(|known| known.is_open() && known.entry.service == *name)
                .collect();
            let deal = have_shown_up(&open, now);
            let capacities = capacities(&open, &node.board.loads(), now);
            if even {
                // The work of a millisecond, and a tick may come with each order.
                post.demand = node.demands.borrow().seen(name, now);
            }
            let limits = BalanceLimits::STANDARD;
            let mut balance = Balance::new(limits, &capacities, &post.demand);
            let due = post
                .steward
                .tick(now, &state.registry, &mut balance, Scope { deal, even });
            if even {
                log::info!(
                    "{} service={name} highest={:.2} moves={} slices={} rate={:.0}",
                    events::BALANCE,
                    balance.highest(),
                    post.steward.moves(),
                    post.steward.map().slices().len(),
                    post.demand.of(KeyRange::ALL),
                );
            }
            orders.extend(due.into_iter().map(|order| (name.clone(), order)));
        }
        orders
    }
}

/// Whether a service's servers seem to be complete: none is new, or the first
/// has waited long enough.
fn have_shown_up(servers: &[&Known], now: Time) -> bool {
    let ages = || servers.iter().map(|known| now - known.seen);
    let newest = ages().min().unwrap_or_default();
    let oldest = ages().max().unwrap_or_default();
    newest > NEWEST || oldest > OLDEST
}

/// What servers can do, by the run times measured.
fn capacities(servers: &[&Known], loads: &LoadBook, now: Time) -> Vec<Capacity> {
    let servers: Vec<(&Known, Option<f64>)> = servers
        .iter()
        .map(|known| (*known, loads.get(&known.entry.name).run(now)))
        .collect();
    let runs: Vec<f64> = servers.iter().filter_map(|(_, run)| *run).collect();
    let mean = match runs.len() {
        0 => RUN,
        count => runs.iter().sum::<f64>() / count as f64,
    };
    let capacity = |(known, run): &(&Known, Option<f64>)| {
        let speed = (mean / run.unwrap_or(mean)).clamp(SPEEDS[0], SPEEDS[1]);
        let cold = match known.warm_up(now).is_zero() {
            true => 1.0,
            false => COLD,
        };
        Capacity {
            server: known.entry.name.clone(),
            rate: f64::from(known.entry.slots.0) * speed * cold / mean,
        }
    };
    servers.iter().map(capacity).collect()
}

/// Writes a map if the seat and the map's row are still as this planner knows
/// them.
async fn commit<A: Adapter>(
    node: &Node<A>,
    service: &ServiceName,
    map: &RangeMap,
    seat: u64,
    version: u64,
) -> Committed {
    if !*node.store.borrow() {
        return (OrderEnd::Unknown, 0);
    }
    let key = format!("{MAP}{service}");
    let Ok(value) = serde_json::to_vec(&MapWire::from(map)) else {
        return (OrderEnd::Unknown, 0);
    };
    let commit = RowCommit {
        expected: vec![
            (RowTable::Ranges, PLANNER.to_string(), seat),
            (RowTable::Ranges, key.clone(), version),
        ],
        writes: vec![(RowTable::Ranges, key, value)],
        removes: Vec::new(),
    };
    let begun = node.clock.now();
    match node.adapter.store().commit(&commit).await {
        Ok(version) => {
            node.store_answered(begun);
            node.committed(service, map, version);
            (OrderEnd::Done { handover: None }, version)
        }
        Err(StoreError::Conflict) => settle(node, service, map).await,
        Err(error) => {
            // Whether or not it was done, the next try has the same condition.
            node.store_failed("commit", &error);
            (OrderEnd::Unknown, 0)
        }
    }
}

/// After a conflict: an earlier try of the same write may have been done
/// without an answer.
async fn settle<A: Adapter>(node: &Node<A>, service: &ServiceName, map: &RangeMap) -> Committed {
    match node.adapter.store().rows(RowTable::Ranges).await {
        Ok(set) => node.take(RANGES, set, true),
        Err(error) => {
            node.store_failed("maps", &error);
            return (OrderEnd::Unknown, 0);
        }
    }
    let state = node.state.borrow();
    match state.maps.get(service) {
        Some((stored, version)) if **stored == *map => {
            (OrderEnd::Done { handover: None }, *version)
        }
        _ => (OrderEnd::Outdated, 0),
    }
}
