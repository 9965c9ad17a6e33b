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
        ranges::{LeaseTimes, Order, OrderOutcome},
        time::Time,
    },
    citron_ports::Adapter,
    std::{rc::Rc, time::Duration},
    tokio::{sync::mpsc, task::spawn_local, time::timeout},
};

/// Time between two plans, if nothing happens.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two looks at what is due, if nothing happens.
const ORDER_INTERVAL: Duration = Duration::from_millis(25);
/// Pause after a plan or a look, as a multiple of what it took: hundreds of orders end
/// within some milliseconds, and a look after each of them would take a small processor
/// for seconds.
const REST: u32 = 3;
/// The longest such pause: callers wait for keys on their way.
const REST_MOST: Duration = Duration::from_millis(25);

/// Watches the leadership, and plans while this instance has it.
pub async fn run<A: Adapter>(node: Rc<Node<A>>) {
    let times = LeaseTimes::with_max_lease(node.settings.lease);
    let orders = Rc::new(Orders::default());
    let (ended, mut results) = mpsc::unbounded_channel::<Ended>();
    let mut election = Election::new(node.clock.now());
    let mut term: Option<Term> = None;
    let mut rested = Time::ZERO;
    let mut planned = Time::ZERO;
    let mut next = node.clock.now();
    loop {
        let event = timeout(next - node.clock.now(), next_event(&node, &mut results));
        let event = event.await.unwrap_or(Event::Timer);
        resign_if_lost(&node, &mut term);
        if term.is_none() && wants_leadership(&node, &mut election) {
            term = take_leadership(&node, &mut election, times).await;
            planned = Time::ZERO;
        }
        let Some(term) = &mut term else {
            next = node.clock.now() + PLAN_INTERVAL;
            continue;
        };
        match event {
            Event::Changed => planned = Time::ZERO,
            Event::Ended(first) => {
                let more = std::iter::from_fn(|| results.try_recv().ok());
                let ended = std::iter::once(*first).chain(more);
                ended.for_each(|ended| term.take(ended, &node));
            }
            Event::Timer => {}
        }
        let begun = node.clock.now();
        if begun < rested {
            next = rested;
            continue;
        }
        term.settle_former(&node);
        if Term::may_act(&node, &times) {
            if begun - planned >= PLAN_INTERVAL {
                term.plan(&node, times);
                drop_unused(&node, &orders);
                planned = begun;
            }
            let due = term.orders(&node);
            node.announce_releases(&due);
            for (service, order) in due {
                let task = Task {
                    node: Rc::clone(&node),
                    orders: Rc::clone(&orders),
                    leadership: term.leadership.version,
                    begun,
                };
                spawn_local(task.carry_out(service, order, times, ended.clone()));
            }
        }
        let now = node.clock.now();
        next = now + ORDER_INTERVAL;
        rested = now + ((now - begun) * REST).min(REST_MOST);
    }
}

/// What wakes the planner.
enum Event {
    /// An order has ended.
    Ended(Box<Ended>),
    /// What plans go by has changed.
    Changed,
    /// Nothing happened for a while.
    Timer,
}

async fn next_event<A: Adapter>(
    node: &Node<A>,
    results: &mut mpsc::UnboundedReceiver<Ended>,
) -> Event {
    tokio::select! {
        () = node.wake.notified() => Event::Changed,
        result = results.recv() => match result {
            Some(ended) => Event::Ended(Box::new(ended)),
            None => Event::Timer,
        },
    }
}

/// One order under way.
struct Task<A> {
    node: Rc<Node<A>>,
    orders: Rc<Orders>,
    leadership: u64,
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
            _ if self.node.clock.now() - self.begun > times.start_timeout => {
                (OrderOutcome::NotSent, 0)
            }
            Order::Commit(map) => commit(&self.node, &service, map, self.leadership).await,
            order => (self.orders.send(&self.node, order, &times).await, 0),
        };
        let done = matches!(end, OrderOutcome::Done { .. });
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
    orders.retain(|address| state.registry.at(address).next().is_some());
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
