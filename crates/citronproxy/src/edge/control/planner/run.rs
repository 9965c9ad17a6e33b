//! Main loop of the planner.

use {
    super::{
        claim::{claim_leadership, should_claim_leadership},
        commit::commit_map,
        load_rows,
        orders::OrderClient,
        term::{OrderResult, Term},
        wait_log::WaitLog,
    },
    crate::{
        edge::control::{
            controller::{Controller, Leadership},
            election::{Election, must_leave_planning},
        },
        events,
    },
    citron_core::{
        id::{ServiceName, StoreVersion},
        ranges::{LeaseTimes, Order, OrderOutcome},
        time::Time,
    },
    citron_ports::Adapter,
    std::{rc::Rc, time::Duration},
    tokio::{sync::mpsc, task::spawn_local, time::timeout},
};

/// Interval between two plans while no input changes.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between two checks for due orders while nothing happens.
const ORDER_INTERVAL: Duration = Duration::from_millis(25);
/// Pause after an iteration, as a multiple of its duration. Hundreds of orders complete
/// within a few milliseconds, and an iteration after each of them would occupy a small
/// processor for seconds.
const IDLE_FACTOR: u32 = 3;
/// Longest such pause: callers wait for keys that are being moved.
const IDLE_MAX: Duration = Duration::from_millis(25);

/// Claims the leadership when it is vacant, and plans while this instance has it.
pub async fn run<A: Adapter>(controller: Rc<Controller<A>>) {
    let lease_times = LeaseTimes::with_max_lease(controller.settings.lease_max);
    let orders = Rc::new(OrderClient::default());
    let (result_sender, mut results) = mpsc::unbounded_channel::<OrderResult>();
    let mut election = Election::new(controller.clock.now());
    let mut term: Option<Term> = None;
    let mut wait_log = WaitLog::default();
    let mut idle_until = Time::ZERO;
    let mut planned_at = Time::ZERO;
    let mut next_wake = controller.clock.now();
    loop {
        let event = timeout(
            next_wake - controller.clock.now(),
            next_event(&controller, &mut results),
        );
        let event = event.await.unwrap_or(Event::Timer);
        resign_if_lost(&controller, &mut term);
        let holds_leadership = term
            .as_ref()
            .is_some_and(|term| controller.is_in_force(&term.leadership));
        if !holds_leadership && should_claim_leadership(&controller, &mut election) {
            let claimed =
                claim_leadership(&controller, &mut election, lease_times, &mut term).await;
            term = claimed.or(term);
            planned_at = Time::ZERO;
        }
        let Some(term) = term
            .as_mut()
            .filter(|term| controller.is_in_force(&term.leadership))
        else {
            wait_log.clear(&controller);
            next_wake = controller.clock.now() + PLAN_INTERVAL;
            continue;
        };
        match event {
            Event::InputChanged => planned_at = Time::ZERO,
            Event::OrderFinished(first_result) => {
                let more_results = std::iter::from_fn(|| results.try_recv().ok());
                let finished = std::iter::once(*first_result).chain(more_results);
                finished.for_each(|result| term.apply_order_result(result, &controller));
            }
            Event::Timer => {}
        }
        let iteration_start = controller.clock.now();
        if iteration_start < idle_until {
            next_wake = idle_until;
            continue;
        }
        term.settle_predecessors(&controller, &lease_times);
        if term.may_act(&controller) {
            if iteration_start - planned_at >= PLAN_INTERVAL {
                term.plan(&controller, lease_times);
                wait_log.update(&controller, term);
                load_rows::write_due(&controller, term);
                drop_unused_connections(&controller, &orders);
                planned_at = iteration_start;
            }
            let due_orders = term.due_orders(&controller);
            controller.announce_releases(&due_orders);
            for (service, order) in due_orders {
                let task = OrderTask {
                    controller: Rc::clone(&controller),
                    orders: Rc::clone(&orders),
                    leadership: term.leadership.clone(),
                    decided_at: iteration_start,
                };
                spawn_local(task.run(service, order, lease_times, result_sender.clone()));
            }
        }
        term.log_key_events(&controller);
        let now = controller.clock.now();
        next_wake = now + ORDER_INTERVAL;
        idle_until = now + ((now - iteration_start) * IDLE_FACTOR).min(IDLE_MAX);
    }
}

/// Event that wakes the planner.
enum Event {
    /// An order has completed.
    OrderFinished(Box<OrderResult>),
    /// Configuration, servers, maps or demand have changed.
    InputChanged,
    /// No event occurred until the next wake-up time.
    Timer,
}

async fn next_event<A: Adapter>(
    controller: &Controller<A>,
    results: &mut mpsc::UnboundedReceiver<OrderResult>,
) -> Event {
    tokio::select! {
        () = controller.plan_trigger.notified() => Event::InputChanged,
        result = results.recv() => match result {
            Some(result) => Event::OrderFinished(Box::new(result)),
            None => Event::Timer,
        },
    }
}

/// An order in progress.
struct OrderTask<A> {
    controller: Rc<Controller<A>>,
    orders: Rc<OrderClient>,
    leadership: Leadership,
    decided_at: Time,
}

impl<A: Adapter> OrderTask<A> {
    async fn run(
        self,
        service: ServiceName,
        order: Order,
        lease_times: LeaseTimes,
        result_sender: mpsc::UnboundedSender<OrderResult>,
    ) {
        let (end, version) = match &order {
            // The process was suspended after the order was decided. Leases are counted
            // from that moment; a grant sent now would outlast its lease as counted here.
            _ if self.controller.clock.now() - self.decided_at > lease_times.start_timeout => {
                (OrderOutcome::NotSent, StoreVersion::NONE)
            }
            Order::Commit(map) => {
                commit_map(&self.controller, &service, map, &self.leadership).await
            }
            order => (
                self.orders
                    .send(&self.controller, &self.leadership, order, &lease_times)
                    .await,
                StoreVersion::NONE,
            ),
        };
        let is_done = matches!(end, OrderOutcome::Done { .. });
        self.controller.metrics.count_order(&order, is_done);
        let result = OrderResult {
            service,
            leadership_version: self.leadership.version,
            order,
            end,
            version,
        };
        // The planner's loop, which owns the receiver, outlives its tasks.
        let _ = result_sender.send(result);
    }
}

fn drop_unused_connections<A: Adapter>(controller: &Controller<A>, orders: &OrderClient) {
    let state = controller.state.borrow();
    orders.retain(|address| state.registry.servers_at(address).next().is_some());
}

/// Ends the term if another incarnation has the leadership, if this instance is leaving, or
/// if its orders reach no server and those of another instance do: the leases that it granted
/// would end one after the other, and no instance could serve their keys.
fn resign_if_lost<A: Adapter>(controller: &Controller<A>, term: &mut Option<Term>) {
    let Some(held) = term else { return };
    let now = controller.clock.now();
    let reach = controller.shared.reach().state(now);
    let mut state = controller.state.borrow_mut();
    let must_leave = must_leave_planning(&state, reach, now);
    let is_replaced = state
        .leadership
        .as_ref()
        .is_some_and(|leadership| leadership.claim > held.leadership.claim);
    if is_replaced || must_leave || controller.is_leaving() {
        state.is_planning = false;
        drop(state);
        *term = None;
        let reason = match (is_replaced, must_leave) {
            (true, _) => "another one has claimed the leadership",
            (_, true) => "half of the servers or more do not respond to it, and do to others",
            (false, false) => "it is leaving",
        };
        log::info!(
            "{} this instance is no longer the planner: {reason}",
            events::PLANNER
        );
        controller.heartbeat_trigger.notify_one();
    }
}
