//! All checks that may reject an attempt, together.

use {
    citron_core::{
        admission::{
            Admission, AdmissionChain, AttemptEnd, AttemptRequest, QueueDecision, Rate,
            ServerQuota, SlotShare, Ticket,
        },
        crash::Fingerprint,
        id::{Revision, ServerName, ShardBits, Slots, Weight},
        routing::{ExchangeStage, FailureReason, RouteMap},
        table::{
            Changes, Fencing, KeySource, MoveBudget, Objectives, Row, ServerRow, ServerState,
            ServiceRow, Table,
        },
        time::Time,
    },
    std::time::Duration,
};

const HELD: Duration = Duration::from_millis(20);
const ANSWERED: AttemptEnd = AttemptEnd::Answered { head: HELD };

fn at(millis: u64) -> Time {
    Time::ZERO + Duration::from_millis(millis)
}

fn server(number: usize) -> ServerName {
    format!("server-{number}").parse().unwrap()
}

fn service_row() -> ServiceRow {
    ServiceRow {
        name: "sets".parse().unwrap(),
        operator: "shop".parse().unwrap(),
        hosts: Vec::new(),
        prefix: "/".to_string(),
        key_source: KeySource::Segment(0),
        idempotent_methods: vec!["GET".to_string()],
        shard_bits: ShardBits::new(2).unwrap(),
        deadline: Duration::from_secs(1),
        grace: Duration::from_secs(5),
        move_budget: MoveBudget {
            shards_per_minute: 1,
            threshold_percent: 120,
        },
        objectives: Objectives {
            failures_per_million: 1,
            latency: HELD,
            slow_per_million: 1,
        },
    }
}

fn server_row(number: usize) -> ServerRow {
    ServerRow {
        name: server(number),
        service: "sets".parse().unwrap(),
        domain: "domain-1".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        weight: Weight(100),
        rate_cap: None,
        slots: Slots(4),
        max_connections: 100,
        fencing: Fencing::Unchecked,
        state: ServerState::Active,
    }
}

/// A service of six servers with four slots each, and one instance.
fn chain() -> AdmissionChain {
    let servers = (0..6).map(|n| Row::Server(server_row(n)));
    let rows = servers.chain([Row::Service(service_row())]);
    let change = |row: Row| (row.key(), Revision(1), Some(row));
    let mut table = Table::default();
    let changes = Changes {
        since: Revision(0),
        revision: Revision(1),
        rows: rows.map(change).collect(),
    };
    table.apply(changes).unwrap();
    let mut chain = AdmissionChain::new(30);
    chain.set_map(&RouteMap::build(&table), 1, Time::ZERO);
    chain
}

fn attempt(ticket: u64, server_number: usize, millis: u64) -> AttemptRequest {
    AttemptRequest {
        service: "sets".parse().unwrap(),
        server: server(server_number),
        ticket: Ticket(ticket),
        fingerprint: Fingerprint(ticket),
        idempotent: true,
        deadline: at(millis + 1_000),
    }
}

fn reason(admission: Admission) -> Option<FailureReason> {
    match admission {
        Admission::Shed { reason, .. } => Some(reason),
        _ => None,
    }
}

/// Guards against a request that goes on crashing servers: after three crashes it is
/// rejected with 422, while another request to the same server is admitted.
#[test]
fn a_request_that_crashes_servers_is_refused() {
    let mut chain = chain();
    for millis in [0, 1_000, 2_000] {
        let bad = attempt(666, 0, millis);
        assert_eq!(chain.admit(&bad, at(millis)), Admission::Start);
        let end = AttemptEnd::Lost(ExchangeStage::Written);
        chain.end(&bad, "GET /sets/666", end, HELD, at(millis));
    }
    let refused = chain.admit(&attempt(666, 1, 3_000), at(3_000));
    assert_eq!(reason(refused), Some(FailureReason::Quarantined));
    assert_eq!(
        chain.admit(&attempt(7, 0, 3_000), at(3_000)),
        Admission::Start
    );
    assert_eq!(chain.crashes.entries(at(3_000))[0].label, "GET /sets/666");
}

/// Guards against crashes counted without a write to a live server, and against ejections
/// for ends that say nothing about the server.
#[test]
fn only_what_tells_against_server_or_request_counts() {
    let cases = [
        (AttemptEnd::Lost(ExchangeStage::Unconnected), false, true),
        (AttemptEnd::Lost(ExchangeStage::Connected), false, true),
        (AttemptEnd::Lost(ExchangeStage::HeadPart), true, true),
        (AttemptEnd::Lost(ExchangeStage::AnswerPart), true, true),
        (AttemptEnd::TimedOut, false, true),
        (AttemptEnd::Refused, false, false),
        (AttemptEnd::Other, false, false),
        (ANSWERED, false, false),
    ];
    for (end, crash, failure) in cases {
        let mut chain = chain();
        for ticket in 0..5 {
            let attempt = attempt(ticket, 0, 0);
            assert_eq!(chain.admit(&attempt, at(0)), Admission::Start);
            chain.end(&attempt, "", end, HELD, at(0));
        }
        assert_eq!(!chain.crashes.entries(at(0)).is_empty(), crash, "{end:?}");
        assert_eq!(chain.ejected().count() == 1, failure, "{end:?}");
    }
}

/// Guards against requests sent to an ejected server, and against a full load at its
/// return: only probes reach it, and after three responses it gets a fraction of its
/// slots.
#[test]
fn an_ejected_server_is_asked_for_by_probes_only() {
    let mut chain = chain();
    for ticket in 0..5 {
        chain.admit(&attempt(ticket, 0, 0), at(0));
        chain.end(
            &attempt(ticket, 0, 0),
            "",
            AttemptEnd::TimedOut,
            HELD,
            at(0),
        );
    }
    let refused = chain.admit(&attempt(10, 0, 0), at(0));
    let wait = Duration::from_secs(1);
    let reason = FailureReason::Ejected;
    assert_eq!(refused, Admission::Shed { reason, wait });
    for probe in 1..=3 {
        let now = 1_500 * probe;
        let attempt = attempt(10 + probe, 0, now);
        assert_eq!(chain.admit(&attempt, at(now)), Admission::Start);
        chain.end(&attempt, "", ANSWERED, HELD, at(now));
    }
    assert_eq!(chain.ejected().count(), 0);
    let now = 4_600;
    let admissions = (20..30).map(|ticket| chain.admit(&attempt(ticket, 0, now), at(now)));
    assert_eq!(admissions.filter(|a| *a == Admission::Start).count(), 1);
}

/// Guards against a quota that is not applied: a freed slot goes to the queued request,
/// and requests above the rate limit are rejected.
#[test]
fn slots_and_caps_are_those_of_the_part() {
    let mut chain = chain();
    let quota = ServerQuota {
        share: SlotShare::new(1.0),
        cap: Some(Rate(2.0)),
    };
    chain.set_quota(&server(0), quota, at(0));
    let [first, second, third] = [1, 2, 3].map(|ticket| attempt(ticket, 0, 0));
    assert_eq!(chain.admit(&first, at(0)), Admission::Start);
    assert_eq!(chain.admit(&second, at(0)), Admission::Queued);
    assert_eq!(
        reason(chain.admit(&third, at(0))),
        Some(FailureReason::RateLimited)
    );
    assert_eq!(chain.next(&server(0), at(20)), None);
    chain.end(&first, "", ANSWERED, HELD, at(20));
    let decision = chain.next(&server(0), at(20));
    assert_eq!(decision, Some(QueueDecision::Start(Ticket(2))));
    let demand = chain.demands(at(200))[&server(0)];
    assert!(demand.arrivals > demand.answers && demand.answers > Rate(0.0));
}

/// Guards against an operator whose flood takes the whole instance: requests of another
/// one are admitted, and rejected ones get a time to retry.
#[test]
fn an_operator_cannot_fill_the_instance() {
    let mut chain = chain();
    let (shop, depot) = ("shop".parse().unwrap(), "depot".parse().unwrap());
    while chain.begin_request(&shop) {}
    assert!(chain.begin_request(&depot));
    assert_eq!(
        reason(AdmissionChain::operator_limit_shed()),
        Some(FailureReason::OperatorLimit)
    );
    chain.end_request(&shop);
    chain.end_request(&depot);
    assert!(chain.begin_request(&shop));
}
