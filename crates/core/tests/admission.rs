//! Admission control for one server.

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

/// A controller with a fixed number of slots, whatever the server responds.
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

/// Guards against clients that wait in vain in a burst at a server of two slots: a
/// request that would start too late is rejected at once, with the time until a slot
/// should be free.
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

/// Guards against a flood with distant deadlines that fills the memory, or makes clients
/// wait instead of retrying elsewhere. The limit of 250 ms equals 12 requests of 20 ms.
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

/// Guards against a request with little time left that fails while one with more time
/// succeeds.
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

/// Guards against slot time spent on a response that nobody waits for, after the server
/// froze while a request was queued.
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

/// Guards against a disconnected client that takes a slot from others.
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

/// Guards against a rate limit that is ignored while slots are free: with five requests
/// per second, the sixth is rejected with the time to retry.
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

/// Guards against timeouts at a server that has just started and responds slowly.
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

/// Guards against clients queued in vain at a server that goes on running requests that
/// timed out.
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

/// Guards against an instance that keeps its rate when other instances use more than
/// their shares: refusals halve its limit, and responses raise it again.
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

/// Guards against a fractional slot that is unused or overused: 0.4 slots with requests
/// of 20 ms make 20 requests per second.
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

/// Guards against an operator whose flood takes the capacity of others.
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

/// Guards against overload in a partition: four of ten instances are cut off, and both
/// sides have more demand than the server has slots. Together they must not exceed its
/// slots or its rate limit.
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
        assert_eq!(
            late.share,
            SlotShare::new(0.4),
            "expired reports must not count"
        );
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
    /// While slots are contended, the shares add up to the slots, and instances with
    /// equal demand get equal shares.
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
