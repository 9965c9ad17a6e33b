//! One gate: who starts, who waits, who is refused.

use {
    citron_core::{
        admission::{
            Admission, Demand, DemandBook, Gate, GateConfig, LimitConfig, OperatorRoom, Rate,
            Release, SlotShare, Ticket, Turn, shares,
        },
        id::Slots,
        routing::Reason,
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
fn fixed(slots: f64, queue: usize) -> Gate {
    let config = GateConfig {
        queue,
        limit: LimitConfig::FIXED,
        ..GateConfig::STANDARD
    };
    Gate::new(config, SlotShare::new(slots), Time::ZERO)
}

fn arrive(gate: &mut Gate, ticket: u64, deadline: u64) -> Admission {
    gate.arrive(Ticket(ticket), at(deadline), Time::ZERO)
}

/// A burst comes to a server of two slots. The caller whose turn would come too
/// late hears so now, with the time at which a slot is likely to be free.
#[test]
fn a_wait_beyond_the_deadline_is_refused_at_once() {
    let mut gate = fixed(2.0, 64);
    assert_eq!(arrive(&mut gate, 1, 1_000), Admission::Start);
    assert_eq!(arrive(&mut gate, 2, 1_000), Admission::Start);
    assert_eq!(arrive(&mut gate, 3, 1_000), Admission::Queued);
    let late = arrive(&mut gate, 4, 21);
    let Admission::Shed { reason, wait } = late else {
        panic!("{late:?}");
    };
    assert_eq!(reason, Reason::Overloaded);
    assert!(wait >= Duration::from_millis(10) && wait <= Duration::from_millis(100));
}

/// A flood with distant deadlines must not fill the memory, nor make callers
/// wait for what they could try again elsewhere: 250 ms are 12 turns of 20 ms.
#[test]
fn the_queue_is_bounded_by_count_and_by_wait() {
    let mut by_count = fixed(100.0, 3);
    let mut by_wait = fixed(1.0, 1_000);
    for (gate, most) in [(&mut by_count, 3), (&mut by_wait, 12)] {
        for ticket in 0..500 {
            arrive(gate, ticket, 3_600_000);
        }
        assert_eq!(gate.waiting(), most);
    }
}

/// The request that has the least time left goes first, or it would fail while
/// one that can wait succeeds.
#[test]
fn the_nearest_deadline_goes_first() {
    let mut gate = fixed(1.0, 64);
    assert_eq!(arrive(&mut gate, 1, 1_000), Admission::Start);
    assert_eq!(arrive(&mut gate, 2, 900), Admission::Queued);
    assert_eq!(arrive(&mut gate, 3, 300), Admission::Queued);
    gate.end(Release::Answered, HOLD, at(20));
    assert_eq!(gate.next(at(20)), Some(Turn::Start(Ticket(3))));
    assert_eq!(gate.next(at(20)), None);
}

/// The server froze while a request waited. Its slot time is not spent on an
/// answer that nobody waits for.
#[test]
fn a_waiting_request_that_is_too_late_is_refused() {
    let mut gate = fixed(1.0, 64);
    arrive(&mut gate, 1, 1_000);
    arrive(&mut gate, 2, 100);
    gate.end(Release::Other, HOLD, at(90));
    let turn = gate.next(at(90));
    assert!(matches!(
        turn,
        Some(Turn::Shed {
            ticket: Ticket(2),
            ..
        })
    ));
}

/// A caller that left must not take a slot from one that stayed.
#[test]
fn a_caller_that_left_loses_its_place() {
    let mut gate = fixed(1.0, 64);
    arrive(&mut gate, 1, 1_000);
    arrive(&mut gate, 2, 500);
    arrive(&mut gate, 3, 600);
    gate.leave(Ticket(2), at(500));
    gate.end(Release::Answered, HOLD, at(20));
    assert_eq!(gate.next(at(20)), Some(Turn::Start(Ticket(3))));
}

/// An operator caps a server at five requests a second: the sixth caller is told
/// when to come back, though slots are free.
#[test]
fn a_cap_holds_with_free_slots() {
    let mut gate = fixed(100.0, 64);
    gate.set_cap(Some(Rate(5.0)), Time::ZERO);
    for ticket in 0..5 {
        assert_eq!(arrive(&mut gate, ticket, 1_000), Admission::Start);
    }
    let wait = Duration::from_millis(200);
    let reason = Reason::Capped;
    assert_eq!(
        arrive(&mut gate, 5, 1_000),
        Admission::Shed { reason, wait }
    );
    gate.set_cap(None, Time::ZERO);
    assert_eq!(arrive(&mut gate, 6, 1_000), Admission::Start);
}

/// A server that has just come up answers slowly; its full share at once would
/// time out the callers.
#[test]
fn a_cold_server_gets_its_share_little_by_little() {
    let started = |millis: u64| {
        let mut gate = fixed(4.0, 0);
        gate.set_cold(Time::ZERO);
        gate.set_share(SlotShare::new(4.0), at(millis));
        let arrive = |n| gate.arrive(Ticket(n), at(millis + 1_000), at(millis));
        (0..10)
            .map(arrive)
            .filter(|a| *a == Admission::Start)
            .count()
    };
    assert_eq!([0, 4_000, 20_000].map(started), [1, 3, 4]);
}

/// Tries time out, though the server still works on them. Callers with little
/// time left are told at once instead of being queued for nothing.
#[test]
fn timeouts_count_as_time_that_slots_are_held() {
    let mut gate = fixed(1.0, 64);
    for round in 0..50 {
        arrive(&mut gate, round, 10_000);
        gate.end(Release::TimedOut, Duration::from_millis(250), Time::ZERO);
    }
    arrive(&mut gate, 100, 10_000);
    assert!(matches!(
        arrive(&mut gate, 101, 100),
        Admission::Shed { .. }
    ));
}

/// Other instances fill the server more than the shares say. It refuses, and this
/// instance sends half as much until answers come again.
#[test]
fn refusals_lower_the_limit_and_answers_raise_it() {
    let mut gate = Gate::new(GateConfig::STANDARD, SlotShare::new(4.0), Time::ZERO);
    let arrivals = (0..40).map(|ticket| arrive(&mut gate, ticket, 1_000));
    let started = arrivals.filter(|a| *a == Admission::Start).count();
    assert_eq!(started, 4);
    for _ in 0..12 {
        gate.end(Release::Refused, Duration::ZERO, Time::ZERO);
        gate.next(Time::ZERO);
    }
    (0..4).for_each(|_| gate.end(Release::Other, HOLD, Time::ZERO));
    while let Some(Turn::Start(_)) = gate.next(Time::ZERO) {}
    assert_eq!(gate.running(), 2);
    for _ in 0..12 {
        gate.end(Release::Answered, HOLD, Time::ZERO);
        while let Some(Turn::Start(_)) = gate.next(Time::ZERO) {}
    }
    assert!((4..=5).contains(&gate.running()));
}

/// A server with less than a slot for this instance: 0.4 slots, each request
/// holding one for 20 ms, make 20 requests a second.
#[test]
fn a_part_of_a_slot_is_held_part_of_the_time() {
    let mut gate = fixed(0.4, 64);
    let (mut started, mut ends) = (0, at(0));
    for millis in 0..10_000 {
        let now = at(millis);
        if gate.running() > 0 && now >= ends {
            gate.end(Release::Answered, HOLD, now);
        }
        let starts = match gate.next(now) {
            Some(turn) => matches!(turn, Turn::Start(_)),
            None => gate.arrive(Ticket(millis), now + HOLD * 20, now) == Admission::Start,
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
    let mut room = OperatorRoom::new(300);
    let [flood, quiet, other] = ["flood", "quiet", "other"].map(|name| name.parse().unwrap());
    while room.enter(&flood) {}
    let quiet_held = (0..300).filter(|_| room.enter(&quiet)).count();
    let other_held = (0..300).filter(|_| room.enter(&other)).count();
    assert_eq!((room.held(&flood), quiet_held, other_held), (200, 67, 22));
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
    let parts = [4, 6].map(|side: usize| {
        let mut book = DemandBook::default();
        for peer in 1..side {
            let from = format!("instance-{peer}").parse().unwrap();
            book.hear(from, [("server-1".parse().unwrap(), demand)].into(), at(0));
        }
        let cap = Some(Rate(50.0));
        let part = book.part(&server, Slots(4), cap, demand, 10, at(0));
        let late = book.part(&server, Slots(4), cap, demand, 10, at(5_000));
        assert_eq!(late.share, SlotShare::new(0.4), "old reports do not count");
        (
            part.share.slots() * side as f64,
            part.cap.unwrap().0 * side as f64,
        )
    });
    let (slots, cap) = (parts[0].0 + parts[1].0, parts[0].1 + parts[1].1);
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
        let parts = shares(Slots(slots), &demands);
        let sum: f64 = parts.iter().map(|part| part.slots()).sum();
        prop_assert!((sum - f64::from(slots)).abs() < 1e-6);
        prop_assert_eq!(parts.first(), parts.last());
    }
}
