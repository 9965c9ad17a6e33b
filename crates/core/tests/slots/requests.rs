//! Decisions on single requests.

use {
    citron_core::{
        id::{DomainName, InstanceId, ServerName, Slots},
        slots::{
            DenyReason, SlotAnswer, SlotBroker, SlotOutcome, SlotRequest, SlotStats, choose_broker,
        },
        time::Time,
    },
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

pub fn at(millis: u64) -> Time {
    Time::ZERO + Duration::from_millis(millis)
}

pub fn request(objective: u64) -> SlotRequest {
    SlotRequest {
        server: "s-1".parse().unwrap(),
        slots: Slots(2),
        priority: 0,
        objective: Duration::from_millis(objective),
        deadline: Duration::from_secs(3),
    }
}

/// A broker that has granted three requests, 0 to 2, of a server with two slots. The run
/// time is the initial one, 200 ms.
pub fn busy_broker() -> SlotBroker<u64> {
    let mut broker = SlotBroker::default();
    for id in 0..3 {
        assert_eq!(answer(&mut broker, id, 800), SlotAnswer::Granted);
    }
    broker
}

pub fn answer(broker: &mut SlotBroker<u64>, id: u64, objective: u64) -> SlotAnswer {
    let answers = broker.request(id, request(objective), at(0), 0.5);
    let own = answers.iter().find(|(of, _)| *of == id);
    own.unwrap_or_else(|| panic!("no answer: {answers:?}")).1
}

fn is_denied(answer: SlotAnswer) -> bool {
    let reason = DenyReason::Full;
    matches!(answer, SlotAnswer::Denied { reason: of, .. } if of == reason)
}

/// Guards against a request with little time left that is granted after one with more.
#[test]
fn earliest_objective_goes_first() {
    let mut broker = busy_broker();
    answer(&mut broker, 3, 2_000);
    answer(&mut broker, 4, 900);
    let answers = broker.release(&0, SlotOutcome::Unused, at(10));
    assert_eq!(answers, [(4, SlotAnswer::Granted)]);
}

/// Guards against promises to queued requests that are broken by later ones: each must
/// start 200 ms before its objective, at one grant per 100 ms.
#[test]
fn queued_requests_keep_their_time() {
    let mut broker = busy_broker();
    let queued = (3..30).filter(|id| !is_denied(answer(&mut broker, *id, 800)));
    let queued: Vec<u64> = queued.collect();
    // Each has less time left than the one before, and would go first.
    let later = (30..60).filter(|id| is_denied(answer(&mut broker, *id, 850 - 5 * id)));
    assert!(later.count() > 20);
    let mut leases = VecDeque::from([0, 1, 2]);
    let mut granted = Vec::new();
    for millis in (100..=600).step_by(100) {
        let ended = leases.pop_front().unwrap_or(u64::MAX);
        for (id, answer) in broker.release(&ended, SlotOutcome::Failed, at(millis)) {
            assert_eq!(answer, SlotAnswer::Granted, "{id} at {millis} ms");
            leases.push_back(id);
            granted.push(id);
        }
    }
    assert!(queued.iter().all(|id| granted.contains(id)), "{granted:?}");
}

/// Guards against late requests that delay others: they get slots that are free, and are
/// queued behind all others.
#[test]
fn late_requests_use_spare_capacity() {
    let mut broker = SlotBroker::default();
    assert_eq!(answer(&mut broker, 0, 0), SlotAnswer::Granted);
    assert_eq!(answer(&mut broker, 1, 0), SlotAnswer::Granted);
    assert!(matches!(answer(&mut broker, 2, 0), SlotAnswer::Queued(_)));
    assert_eq!(answer(&mut broker, 3, 900), SlotAnswer::Granted);
    assert!(matches!(answer(&mut broker, 4, 900), SlotAnswer::Queued(_)));
    let answers = broker.release(&0, SlotOutcome::Unused, at(1));
    assert_eq!(answers, [(4, SlotAnswer::Granted)]);
    assert_eq!(broker.release(&1, SlotOutcome::Unused, at(2)), []);
    let answers = broker.release(&3, SlotOutcome::Unused, at(3));
    assert_eq!(answers, [(2, SlotAnswer::Granted)]);
}

/// Guards against a grant without a purpose after the server has slowed down.
#[test]
fn queued_request_that_turns_late_is_denied() {
    let mut broker = busy_broker();
    assert!(matches!(answer(&mut broker, 3, 800), SlotAnswer::Queued(_)));
    assert_eq!(broker.expire(at(300)), []);
    let answers = broker.expire(at(620));
    assert!(is_denied(answers[0].1), "{answers:?}");
    assert_eq!(broker.stats().queued, 0);
}

/// Guards against rejected callers that return together: they are told successive times,
/// up to a third of their time left.
#[test]
fn denied_callers_return_one_after_the_other() {
    let mut broker = busy_broker();
    let times = (3..40).filter_map(|id| match answer(&mut broker, id, 800) {
        SlotAnswer::Denied { retry_after, .. } => Some(retry_after.as_millis()),
        _ => None,
    });
    let times: Vec<u128> = times.collect();
    assert!(
        times.iter().all(|time| (80..=1_000).contains(time)),
        "{times:?}"
    );
    let mut spread = times.clone();
    spread.sort_unstable();
    spread.dedup();
    assert!(spread.len() >= 5, "{times:?}");
}

/// Guards against memory that grows with a flood of requests or with servers long gone.
#[test]
fn memory_is_bounded() {
    let mut broker = SlotBroker::default();
    for id in 0..1_000 {
        broker.request(id, request(3_600_000), at(0), 0.5);
    }
    let queued = 64;
    assert_eq!(broker.stats(), SlotStats { leases: 3, queued });
    for millis in (0..4_000_000).step_by(1_000) {
        broker.expire(at(millis));
    }
    assert!(broker.is_idle());
    assert_eq!(format!("{broker:?}").matches("ServerSlots").count(), 0);
}

/// Guards against a run time that includes the wait in the server's queue, which would
/// deny requests for which there is time.
#[test]
fn run_time_excludes_the_servers_queue() {
    let mut broker = SlotBroker::default();
    let ran = |millis| SlotOutcome::Ran {
        span: Duration::from_millis(millis),
        load: None,
    };
    for id in 0..30 {
        broker.request(id, request(5_000), at(0), 0.5);
    }
    // Each request runs for 100 ms; the third one in flight waits for half a run time.
    broker.release(&0, ran(100), at(0));
    broker.release(&1, ran(100), at(0));
    for id in 2..25 {
        broker.release(&id, ran(150), at(0));
    }
    let answers = broker.request(29, request(5_000), at(0), 0.5);
    let [(29, SlotAnswer::Queued(wait))] = answers[..] else {
        panic!("{answers:?}");
    };
    // Two requests have to end before this one is granted.
    let expected = Duration::from_millis(2 * 50);
    let deviation = wait.abs_diff(expected);
    assert!(deviation < expected / 10, "{wait:?} for {expected:?}");
}

/// Guards against a single long request that lets others appear late: the expected time of
/// a request that waits for two others, twice 120 ms, must not grow by a third.
#[test]
fn a_long_request_among_many() {
    let mut broker = SlotBroker::default();
    for id in 0..21 {
        broker.request(id, request(500), at(id), 0.5);
        let millis = if id == 20 { 600 } else { 120 };
        let span = Duration::from_millis(millis);
        broker.release(&id, SlotOutcome::Ran { span, load: None }, at(id));
    }
    for id in 21..24 {
        broker.request(id, request(500), at(30), 0.5);
    }
    let answers = broker.request(24, request(320), at(30), 0.5);
    assert!(
        matches!(answers[..], [(24, SlotAnswer::Queued(_))]),
        "{answers:?}"
    );
}

/// Guards against one broker for all servers, or another one for a server after the loss
/// of an instance that was not its broker.
#[test]
fn brokers_are_spread_over_the_domain() {
    for instances in [9, 62, 300] {
        let member = |n: usize| {
            let name: InstanceId = format!("n-{n}").parse().unwrap();
            let domain: DomainName = format!("d-{}", n % 4).parse().unwrap();
            (name, domain)
        };
        let members: BTreeMap<InstanceId, DomainName> = (0..instances).map(member).collect();
        let domain: DomainName = "d-1".parse().unwrap();
        let lost: InstanceId = "n-5".parse().unwrap();
        let mut counts = BTreeMap::<&InstanceId, usize>::new();
        let servers = 73;
        for n in 0..servers {
            let server: ServerName = format!("s-{n}").parse().unwrap();
            let broker = choose_broker(&server, &domain, members.iter()).unwrap();
            assert_eq!(members[broker], domain);
            *counts.entry(broker).or_default() += 1;
            let rest = members.iter().filter(|(name, _)| **name != lost);
            let next = choose_broker(&server, &domain, rest).unwrap();
            assert!(next == broker || *broker == lost);
        }
        let near = members.values().filter(|of| **of == domain).count();
        let max = counts.values().max().unwrap();
        assert!(*max <= 3 * servers / near + 4, "{instances}: {counts:?}");
        let nowhere = "d-9".parse().unwrap();
        let server = "s-1".parse().unwrap();
        assert!(choose_broker(&server, &nowhere, members.iter()).is_some());
    }
}
