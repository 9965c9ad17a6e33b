//! One gate: who starts, who waits, who is refused.

use {
    citron_core::{
        admission::{
            Admission, AdmissionConfig, AdmissionController, Demand, DemandTracker, LimitConfig,
            OperatorLimiter, QueueDecision, Rate, ReleaseReason, SlotShare, Ticket, shares,
        },
        id::Slots,
        routing::FailureReason,
        time::Time,
    },
    proptest::prelude::*,
    std::time::Duration,
};

const HOLD: Duration = Duration::from_millis(20);

fn at(millis: u64) -> Time {
    Time::ZERO + Duration::from_millis(millis)
}

/// A gate with just so many slots, whatever the server says.
fn fixed_controller(slots: f64, queue_max: usize) -> AdmissionController {
    let config = AdmissionConfig {
        queue_max,
        limit: LimitConfig::FIXED,
        ..AdmissionConfig::STANDARD
    };
    AdmissionController::new(config, SlotShare::new(slots), Time::ZERO)
}

fn admit(controller: &mut AdmissionController, ticket: u64, deadline: u64) -> Admission {
    controller.admit(Ticket(ticket), at(deadline), Time::ZERO)
}

/// A burst comes to a server of two slots. The caller whose turn would come too
/// late hears so now, with the time at which a slot is likely to be free.
#[test]
fn a_wait_beyond_the_deadline_is_refused_at_once() {
    let mut controller = fixed_controller(2.0, 64);
    assert_eq!(admit(&mut controller, 1, 1_000), Admission::Start);
    assert_eq!(admit(&mut controller, 2, 1_000), Admission::Start);
    assert_eq!(admit(&mut controller, 3, 1_000), Admission::Queued);
    let late = admit(&mut controller, 4, 21);
    let Admission::Shed { reason, wait } = late else {
        panic!("{late:?}");
    };
    assert_eq!(reason, FailureReason::Overloaded);
    assert!(wait >= Duration::from_millis(10) && wait <= Duration::from_millis(100));
}

/// A flood with distant deadlines must not fill the memory, nor make callers
/// wait for what they could try again elsewhere: 250 ms are 12 turns of 20 ms.
#[test]
fn the_queue_is_bounded_by_count_and_by_wait() {
    let mut by_count = fixed_controller(100.0, 3);
    let mut by_wait = fixed_controller(1.0, 1_000);
    for (controller, max) in [(&mut by_count, 3), (&mut by_wait, 12)] {
        for ticket in 0..500 {
            admit(controller, ticket, 3_600_000);
        }
        assert_eq!(controller.waiting(), max);
    }
}

/// The request that has the least time left goes first, or it would fail while
/// one that can wait succeeds.
#[test]
fn the_nearest_deadline_goes_first() {
    let mut controller = fixed_controller(1.0, 64);
    assert_eq!(admit(&mut controller, 1, 1_000), Admission::Start);
    assert_eq!(admit(&mut controller, 2, 900), Admission::Queued);
    assert_eq!(admit(&mut controller, 3, 300), Admission::Queued);
    controller.end(ReleaseReason::Answered, HOLD, at(20));
    assert_eq!(
        controller.next(at(20)),
        Some(QueueDecision::Start(Ticket(3)))
    );
    assert_eq!(controller.next(at(20)), None);
}

/// The server froze while a request waited. Its slot time is not spent on an
/// answer that nobody waits for.
#[test]
fn a_waiting_request_that_is_too_late_is_refused() {
    let mut controller = fixed_controller(1.0, 64);
    admit(&mut controller, 1, 1_000);
    admit(&mut controller, 2, 100);
    controller.end(ReleaseReason::Other, HOLD, at(90));
    let decision = controller.next(at(90));
    assert!(matches!(
        decision,
        Some(QueueDecision::Shed {
            ticket: Ticket(2),
            ..
        })
    ));
}

/// A caller that left must not take a slot from one that stayed.
#[test]
fn a_caller_that_left_loses_its_place() {
    let mut controller = fixed_controller(1.0, 64);
    admit(&mut controller, 1, 1_000);
    admit(&mut controller, 2, 500);
    admit(&mut controller, 3, 600);
    controller.cancel(Ticket(2), at(500));
    controller.end(ReleaseReason::Answered, HOLD, at(20));
    assert_eq!(
        controller.next(at(20)),
        Some(QueueDecision::Start(Ticket(3)))
    );
}

/// An operator caps a server at five requests a second: the sixth caller is told
/// when to come back, though slots are free.
#[test]
fn a_cap_holds_with_free_slots() {
    let mut controller = fixed_controller(100.0, 64);
    controller.set_cap(Some(Rate(5.0)), Time::ZERO);
    for ticket in 0..5 {
        assert_eq!(admit(&mut controller, ticket, 1_000), Admission::Start);
    }
    let wait = Duration::from_millis(200);
    let reason = FailureReason::RateLimited;
    assert_eq!(
        admit(&mut controller, 5, 1_000),
        Admission::Shed { reason, wait }
    );
    controller.set_cap(None, Time::ZERO);
    assert_eq!(admit(&mut controller, 6, 1_000), Admission::Start);
}

/// A server that has just come up answers slowly; its full share at once would
/// time out the callers.
#[test]
fn a_cold_server_gets_its_share_little_by_little() {
    let started = |millis: u64| {
        let mut controller = fixed_controller(4.0, 0);
        controller.start_warmup(Time::ZERO);
        controller.set_share(SlotShare::new(4.0), at(millis));
        let admit = |n| controller.admit(Ticket(n), at(millis + 1_000), at(millis));
        (0..10)
            .map(admit)
            .filter(|a| *a == Admission::Start)
            .count()
    };
    assert_eq!([0, 4_000, 20_000].map(started), [1, 3, 4]);
}

/// Tries time out, though the server still works on them. Callers with little
/// time left are told at once instead of being queued for nothing.
#[test]
fn timeouts_count_as_time_that_slots_are_held() {
    let mut controller = fixed_controller(1.0, 64);
    for round in 0..50 {
        admit(&mut controller, round, 10_000);
        controller.end(
            ReleaseReason::TimedOut,
            Duration::from_millis(250),
            Time::ZERO,
        );
    }
    admit(&mut controller, 100, 10_000);
    assert!(matches!(
        admit(&mut controller, 101, 100),
        Admission::Shed { .. }
    ));
}

/// Other instances fill the server more than the shares say. It refuses, and this
/// instance sends half as much until answers come again.
#[test]
fn refusals_lower_the_limit_and_answers_raise_it() {
    let mut controller =
        AdmissionController::new(AdmissionConfig::STANDARD, SlotShare::new(4.0), Time::ZERO);
    let arrivals = (0..40).map(|ticket| admit(&mut controller, ticket, 1_000));
    let started = arrivals.filter(|a| *a == Admission::Start).count();
    assert_eq!(started, 4);
    for _ in 0..12 {
        controller.end(ReleaseReason::Refused, Duration::ZERO, Time::ZERO);
        controller.next(Time::ZERO);
    }
    (0..4).for_each(|_| controller.end(ReleaseReason::Other, HOLD, Time::ZERO));
    while let Some(QueueDecision::Start(_)) = controller.next(Time::ZERO) {}
    assert_eq!(controller.running(), 2);
    for _ in 0..12 {
        controller.end(ReleaseReason::Answered, HOLD, Time::ZERO);
        while let Some(QueueDecision::Start(_)) = controller.next(Time::ZERO) {}
    }
    assert!((4..=5).contains(&controller.running()));
}

/// A server with less than a slot for this instance: 0.4 slots, each request
/// holding one for 20 ms, make 20 requests a second.
#[test]
fn a_part_of_a_slot_is_held_part_of_the_time() {
    let mut controller = fixed_controller(0.4, 64);
    let (mut started, mut ends) = (0, at(0));
    for millis in 0..10_000 {
        let now = at(millis);
        if controller.running() > 0 && now >= ends {
            controller.end(ReleaseReason::Answered, HOLD, now);
        }
        let starts = match controller.next(now) {
            Some(decision) => matches!(decision, QueueDecision::Start(_)),
            None => controller.admit(Ticket(millis), now + HOLD * 20, now) == Admission::Start,
        };
        if starts {
            started += 1;
            ends = now + HOLD;
        }
    }
    assert!((190..=210).contains(&started), "{started} started");
}

/// One operator sends more than the instance bears; the requests of another one
/// still find room.
#[test]
fn a_flood_of_one_operator_leaves_room_for_others() {
    let mut limiter = OperatorLimiter::new(300);
    let [flood, quiet, other] = ["flood", "quiet", "other"].map(|name| name.parse().unwrap());
    while limiter.try_acquire(&flood) {}
    let quiet_held = (0..300).filter(|_| limiter.try_acquire(&quiet)).count();
    let other_held = (0..300).filter(|_| limiter.try_acquire(&other)).count();
    assert_eq!(
        (limiter.in_progress(&flood), quiet_held, other_held),
        (200, 67, 22)
    );
}

/// Ten instances, four of them cut off from the rest. Both sides have more demand
/// than the server has slots; together they must not send more than it takes, nor
/// more than its cap.
#[test]
fn two_sides_of_a_partition_share_a_server() {
    let demand = Demand {
        arrivals: Rate(100.0),
        answers: Rate(10.0),
    };
    let server = "server-1".parse().unwrap();
    let quotas = [4, 6].map(|side: usize| {
        let mut tracker = DemandTracker::default();
        for peer in 1..side {
            let from = format!("instance-{peer}").parse().unwrap();
            tracker.record(from, [("server-1".parse().unwrap(), demand)].into(), at(0));
        }
        let cap = Some(Rate(50.0));
        let quota = tracker.quota(&server, Slots(4), cap, demand, 10, at(0));
        let late = tracker.quota(&server, Slots(4), cap, demand, 10, at(5_000));
        assert_eq!(late.share, SlotShare::new(0.4), "old reports do not count");
        (
            quota.share.slots() * side as f64,
            quota.cap.unwrap().0 * side as f64,
        )
    });
    let (slots, cap) = (quotas[0].0 + quotas[1].0, quotas[0].1 + quotas[1].1);
    assert!(
        (slots - 4.0).abs() < 1e-9 && (cap - 50.0).abs() < 1e-9,
        "{slots} {cap}"
    );
}

proptest! {
    /// While slots are short, the parts add up to the slots, and instances with
    /// the same demand get the same part.
    #[test]
    fn short_slots_are_divided_whole_and_evenly(
        rates in proptest::collection::vec(1.0..500.0_f64, 2..10),
        slots in 1..8_u32,
    ) {
        let demand = |rate: &f64| Demand { arrivals: Rate(*rate), answers: Rate(rate / 3.0) };
        let mut demands: Vec<Demand> = rates.iter().map(demand).collect();
        demands.push(demands[0]);
        let quotas = shares(Slots(slots), &demands);
        let sum: f64 = quotas.iter().map(|quota| quota.slots()).sum();
        prop_assert!((sum - f64::from(slots)).abs() < 1e-6);
        prop_assert_eq!(quotas.first(), quotas.last());
    }
}
