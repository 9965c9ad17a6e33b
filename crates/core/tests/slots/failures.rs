//! Lost, repeated and late messages, refusals, and brokers that do not answer.

use {
    crate::requests::{answer, at, busy_broker, request},
    citron_core::{
        dispatch::ReportedLoad,
        id::Slots,
        slots::{BrokerHealth, CallerAges, SlotAnswer, SlotBroker, SlotOutcome, SlotStats},
    },
    std::time::Duration,
};

/// Guards against a request that is counted twice, or forgotten, when its datagram is
/// repeated.
#[test]
fn repeated_requests() {
    let mut broker = busy_broker();
    let first = answer(&mut broker, 3, 800);
    assert_eq!(answer(&mut broker, 3, 800), first);
    assert_eq!(answer(&mut broker, 0, 800), SlotAnswer::Granted);
    let stats = SlotStats {
        leases: 3,
        queued: 1,
    };
    assert_eq!(broker.stats(), stats);
    broker.release(&0, SlotOutcome::Failed, at(1));
    // The grant is lost, and the instance asks again.
    assert_eq!(answer(&mut broker, 3, 700), SlotAnswer::Granted);
}

/// Guards against releases that free another request's slot: repeated ones, and those that
/// arrive before their request.
#[test]
fn repeated_and_reordered_releases() {
    let mut broker = busy_broker();
    assert_eq!(broker.release(&9, SlotOutcome::Unused, at(0)), []);
    for _ in 0..3 {
        broker.release(&0, SlotOutcome::Unused, at(1));
    }
    assert_eq!(broker.stats().leases, 2);
    answer(&mut broker, 3, 800);
    answer(&mut broker, 4, 800);
    broker.release(&4, SlotOutcome::Unused, at(2));
    assert_eq!(broker.stats().queued, 0, "a queued request is cancelled");
}

/// Guards against slots that are lost forever, and a late release that frees the slot of
/// the next request.
#[test]
fn late_release_after_the_end_of_the_lease() {
    let mut broker = busy_broker();
    broker.expire(at(3_099));
    assert_eq!(broker.stats().leases, 3);
    broker.expire(at(3_100));
    assert!(broker.is_idle());
    broker.request(10, request(800), at(3_101), 0.5);
    broker.release(&0, SlotOutcome::Unused, at(3_102));
    assert_eq!(broker.stats().leases, 1);
}

/// Guards against more requests at a server that does not respond at all: only where
/// requests granted later have ended does a long lease count as lost.
#[test]
fn lost_release_is_told_from_an_unresponsive_server() {
    let mut broker = busy_broker();
    broker.expire(at(2_500));
    assert_eq!(broker.stats().leases, 3);
    broker.release(&2, SlotOutcome::Unused, at(2_500));
    broker.request(3, request(800), at(2_500), 0.5);
    let span = Duration::from_millis(200);
    broker.release(&3, SlotOutcome::Ran { span, load: None }, at(2_700));
    broker.expire(at(2_701));
    assert!(broker.is_idle());
}

/// Requests that a broker grants at `millis` at a server of 4 slots.
fn granted_at(broker: &mut SlotBroker<u64>, millis: u64) -> usize {
    let before = broker.stats().leases;
    let mut request = request(800);
    request.slots = Slots(4);
    for id in 0..10 {
        broker.request(millis * 100 + id, request.clone(), at(millis), 0.5);
    }
    broker.stats().leases - before
}

fn refuse(broker: &mut SlotBroker<u64>, load: Option<ReportedLoad>, times: u64) {
    for id in 1_000_000..1_000_000 + times {
        let mut request = request(800);
        request.slots = Slots(4);
        broker.request(id, request, at(0), 0.5);
        broker.release(&id, SlotOutcome::Refused { load }, at(0));
    }
}

/// Guards against a server that is kept full although others use it, and against one that
/// gets nothing for long after it has refused a request.
#[test]
fn refusals_of_a_server_used_by_others() {
    let load = "3,0,4".parse().ok();
    for (load, times, at_first, later) in [
        (None, 2, 4, (600, 6)),
        (None, 50, 4, (600, 6)),
        (load, 1, 3, (1_100, 6)),
    ] {
        let mut broker = SlotBroker::default();
        refuse(&mut broker, load, times);
        assert_eq!(granted_at(&mut broker, 100), at_first);
        let mut broker = SlotBroker::default();
        refuse(&mut broker, load, times);
        assert_eq!(granted_at(&mut broker, later.0), later.1);
    }
}

/// Guards against a server that refuses half of its requests with slots free and then gets
/// hardly any: it does not lack slots.
#[test]
fn refusals_of_a_server_with_free_slots() {
    let mut broker = SlotBroker::default();
    refuse(&mut broker, "0,0,4".parse().ok(), 50);
    assert_eq!(granted_at(&mut broker, 100), 6);
}

/// Guards against requests that all wait for a broker that does not answer, and against
/// one that is never asked again.
#[test]
fn unresponsive_broker() {
    let broker = "n-1".parse().unwrap();
    let mut health = BrokerHealth::default();
    assert!(health.should_ask(&broker, at(0)));
    assert!(health.record_silence(&broker, at(0)));
    // Requests that were sent together count once.
    assert!(!health.record_silence(&broker, at(10)));
    let mut asked = Vec::new();
    for millis in 0..20_000 {
        if health.should_ask(&broker, at(millis)) {
            asked.push(millis);
            health.record_request(&broker, at(millis));
            health.record_silence(&broker, at(millis + 60));
        }
    }
    assert_eq!(asked, [500, 1_500, 3_500, 7_500, 11_500, 15_500, 19_500]);
    assert!(health.record_answer(&broker));
    assert!(health.should_ask(&broker, at(20_000)));
    assert!(!health.record_answer(&broker));
}

/// Guards against servers without a broker for good: an instance that is gone stays in the
/// table of members of other failure domains, and another one has to take its place.
#[test]
fn a_broker_that_stays_silent_is_replaced() {
    let broker = "n-1".parse().unwrap();
    let mut health = BrokerHealth::default();
    health.record_silence(&broker, at(0));
    assert!(!health.is_lost(&broker, at(2_900)));
    health.record_request(&broker, at(2_950));
    assert!(health.is_lost(&broker, at(3_000)));
    // A request now and then finds out whether it is back.
    assert!(!health.is_lost(&broker, at(9_000)));
    health.record_answer(&broker);
    assert!(!health.is_lost(&broker, at(9_100)));
}

/// Guards against callers whose age is unknown, or taken from a timeout of long ago.
#[test]
fn callers_that_return_with_the_rest_of_their_timeout() {
    let mut ages = CallerAges::default();
    let mut observe = |timeout, millis| {
        let timeout = Duration::from_millis(timeout);
        ages.observe("views", timeout, at(millis)).as_millis()
    };
    assert_eq!(observe(3_000, 0), 0);
    assert_eq!(observe(2_400, 600), 600);
    assert_eq!(observe(2_400, 24_000), 600);
    assert_eq!(observe(2_000, 31_000), 400);
    assert_eq!(observe(2_000, 90_000), 0);
}

/// Guards against one caller with a long timeout that makes all others appear late.
#[test]
fn a_caller_with_an_unusual_timeout() {
    let mut ages = CallerAges::default();
    for millis in 0..200 {
        let timeout = if millis == 100 { 60 } else { 3 };
        let waited = ages.observe("views", Duration::from_secs(timeout), at(millis));
        assert_eq!(waited, Duration::ZERO);
    }
}

/// Guards against memory that grows with the names of routes.
#[test]
fn routes_of_caller_ages_are_bounded() {
    let mut ages = CallerAges::default();
    for n in 0..5_000 {
        ages.observe(&format!("r-{n}"), Duration::from_secs(3), at(0));
    }
    let waited = ages.observe("r-1", Duration::from_secs(1), at(0));
    assert_eq!(waited, Duration::from_secs(2));
    assert!(format!("{ages:?}").matches("\"r-").count() <= 1_024);
    ages.observe("new", Duration::from_secs(3), at(60_000));
    assert_eq!(format!("{ages:?}").matches("\"r-").count(), 0);
}
