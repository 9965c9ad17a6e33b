//! The planner's loop.

use {
    super::{
        claim::{take_leadership, wants_leadership},
        commit::commit,
        orders::Orders,
        term::{Ended, Term},
    },
    crate::{
        edge::control::{election::Election, node::Node},
        events,
    },
    citron_core::{
        id::ServiceName,
        ranges::{LeaseTimes, Order, OrderEnd},
        time::Time,
    },
    citron_ports::Adapter,
    std::{collections::BTreeSet, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{sync::mpsc, task::spawn_local, time::timeout},
};

/// Time between two looks at everything, if nothing happens.
const TICK: Duration = Duration::from_millis(200);
/// Pause after a look, as a multiple of what it took. Each looks at every slice, and
/// where a hot range is divided hundreds of orders end within some milliseconds: a look
/// after each of them would take a small processor for seconds.
const REST: u32 = 3;
/// The longest such pause: callers wait for keys on their way.
const REST_MOST: Duration = Duration::from_millis(25);

/// Watches the leadership, and plans while this instance has it.
pub async fn run<A: Adapter>(node: Rc<Node<A>>) {
    let times = LeaseTimes::within(node.settings.lease);
    let orders = Rc::new(Orders::default());
    let (ended, mut results) = mpsc::unbounded_channel::<Ended>();
    let mut election = Election::new(node.clock.now());
    let mut term: Option<Term> = None;
    let mut rested = Time::ZERO;
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
        if term.is_none() && wants_leadership(&node, &mut election) {
            term = take_leadership(&node, &mut election, times).await;
        }
        let Some(term) = &mut term else {
            next = node.clock.now() + TICK;
            continue;
        };
        if let Some(result) = result {
            let mut renewals = true;
            let more = std::iter::from_fn(|| results.try_recv().ok());
            for result in std::iter::once(result).chain(more) {
                renewals &= matches!(result.order, Order::Grant(_));
                term.take(result, &node);
            }
            if renewals && node.clock.now() < next {
                // Nothing is due: most orders are renewals, a hundred a second.
                continue;
            }
        }
        let begun = node.clock.now();
        if begun < rested {
            next = next.min(rested);
            continue;
        }
        next = begun + TICK;
        term.settle_former(&node);
        let due = term.tick(&node, times);
        node.announce_releases(&due);
        for (service, order) in due {
            let task = Task {
                node: Rc::clone(&node),
                orders: Rc::clone(&orders),
                leadership: term.leadership.version,
                version: term.plans.get(&service).map_or(0, |plan| plan.version),
                begun,
            };
            spawn_local(task.carry_out(service, order, times, ended.clone()));
        }
        drop_unused(&node, &orders);
        let now = node.clock.now();
        rested = now + ((now - begun) * REST).min(REST_MOST);
    }
}

/// One order under way.
struct Task<A> {
    node: Rc<Node<A>>,
    orders: Rc<Orders>,
    leadership: u64,
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
            Order::Commit(map) => {
                commit(&self.node, &service, map, self.leadership, self.version).await
            }
            order => (self.orders.send(&self.node, order, &times).await, 0),
        };
        let done = matches!(end, OrderEnd::Done { .. });
        self.node.counts.count_order(&order, done);
        let result = Ended {
            service,
            leadership: self.leadership,
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

/// Gives up once another start has the leadership, or this one leaves.
fn resign_if_lost<A: Adapter>(node: &Node<A>, term: &mut Option<Term>) {
    let Some(held) = term else { return };
    let mut state = node.state.borrow_mut();
    let other = state
        .leadership
        .as_ref()
        .is_some_and(|leadership| leadership.version > held.leadership.version);
    if other || node.leaving() {
        state.planning = false;
        drop(state);
        *term = None;
        log::info!("{} this instance plans no more", events::PLANNER);
        node.hurry.notify_one();
    }
}
