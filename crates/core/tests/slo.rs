//! Burn rates, reachability of shards, and counts of moved shards.

use {
    citron_core::{
        id::{Epoch, Revision, ServerName, ServiceName, ShardBits, Slots, Weight},
        membership::RoutingLease,
        ownership::{Assignment, Phase},
        routing::{RouteMap, Snapshot},
        slo::{Minute, Reachability, ServiceReport, Tally, TallySeries, moved_shards},
        table::{
            BlockId, BlockRow, Changes, Fencing, KeySource, MoveBudget, Objectives, Row, ServerRow,
            ServerState, ServiceRow, Table,
        },
        time::Time,
    },
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

const NOW: Minute = Minute(10_000);

/// A period, given by its limits in minutes before [`NOW`], and the failures per minute.
type Span = (u64, u64, u64);

fn service() -> ServiceRow {
    ServiceRow {
        name: "kegs".parse().unwrap(),
        operator: "authority".parse().unwrap(),
        hosts: Vec::new(),
        prefix: "/kegs".to_string(),
        key_source: KeySource::Segment(1),
        idempotent_methods: Vec::new(),
        shard_bits: ShardBits::new(2).unwrap(),
        deadline: Duration::from_secs(5),
        grace: Duration::from_secs(10),
        move_budget: MoveBudget {
            shards_per_minute: 10,
            threshold_percent: 110,
        },
        objectives: Objectives {
            failures_per_million: 1_000,
            latency: Duration::from_millis(100),
            slow_per_million: 10_000,
        },
    }
}

fn server(number: u16, domain: &str) -> ServerRow {
    ServerRow {
        name: format!("server-{number}").parse().unwrap(),
        service: "kegs".parse().unwrap(),
        domain: domain.parse().unwrap(),
        address: ([127, 0, 0, 1], 9_000 + number).into(),
        weight: Weight(100),
        rate_cap: None,
        slots: Slots(4),
        max_connections: 100,
        fencing: Fencing::Unchecked,
        state: ServerState::Active,
    }
}

/// Four shards; server 1 is in `harbour`, server 2 in `hills`.
fn map(owners: [u16; 4], releasing: bool) -> RouteMap {
    let owner = |number: u16| {
        let name: ServerName = format!("server-{number}").parse().unwrap();
        Assignment::owned(name, Epoch(1))
    };
    let mut shards: Vec<Assignment> = owners.into_iter().map(owner).collect();
    if releasing {
        let to = "server-2".parse().unwrap();
        shards[0].phase = Phase::Releasing { to };
    }
    let block = BlockRow {
        service: "kegs".parse().unwrap(),
        block: BlockId(0),
        shards,
    };
    let rows = [
        Row::Service(service()),
        Row::Server(server(1, "harbour")),
        Row::Server(server(2, "hills")),
        Row::Block(block),
    ];
    let rows = rows
        .into_iter()
        .map(|row| (row.key(), Revision(1), Some(row)));
    let changes = Changes {
        since: Revision(0),
        revision: Revision(1),
        rows: rows.collect(),
    };
    let mut table = Table::default();
    table.apply(changes).unwrap();
    RouteMap::build(&table)
}

/// A series with 1000 requests per minute.
fn series(spans: &[Span]) -> TallySeries {
    let name: ServiceName = "kegs".parse().unwrap();
    let mut series = TallySeries::default();
    for (from, to, bad) in spans {
        for back in *from..*to {
            let tally = Tally {
                requests: 1_000,
                failed: *bad,
                ..Tally::default()
            };
            series.add(Minute(NOW.0 - back), &name, &tally);
        }
    }
    series
}

#[test]
fn alerts_need_a_long_and_a_short_window() {
    let cases: [(&str, &[Span]); 6] = [
        ("nothing counted", &[]),
        ("within budget", &[(0, 360, 1)]),
        ("two bad minutes", &[(0, 2, 100), (2, 360, 0)]),
        ("a bad quarter of an hour", &[(0, 15, 100), (15, 360, 0)]),
        ("an hour ago", &[(0, 60, 0), (60, 75, 500), (75, 360, 0)]),
        ("smouldering", &[(0, 360, 7)]),
    ];
    let lines = cases.map(|(case, spans)| {
        let report = ServiceReport::new(&series(spans), &service(), &BTreeMap::new(), NOW);
        let burns = report.failure_burn;
        format!(
            "{case}: 5m {:.1} 1h {:.1} 30m {:.1} 6h {:.1} {:?}, {} requests",
            burns.fast.0,
            burns.fast.1,
            burns.slow.0,
            burns.slow.1,
            burns.alert(),
            report.requests,
        )
    });
    insta::assert_snapshot!(lines.join("\n"));
}

/// Guards against a move that counts twice when the series of two instances are merged.
/// Both instances observe the same minute and the same move, and for one of them all
/// shards are unreachable for half of the minute. On average, a key is unreachable for a
/// quarter of it.
#[test]
fn instances_are_put_together_without_counting_a_move_twice() {
    let name: ServiceName = "kegs".parse().unwrap();
    let observer = |unreachable_seconds| {
        let tally = Tally {
            requests: 10,
            unreachable: Duration::from_secs(unreachable_seconds),
            observed: Duration::from_secs(60),
            shards_moved: 3,
            ..Tally::default()
        };
        let mut series = TallySeries::default();
        series.add(NOW, &name, &tally);
        series
    };
    let mut merged = TallySeries::default();
    merged.merge(&observer(0));
    merged.merge(&observer(30));
    let report = ServiceReport::new(&merged, &service(), &BTreeMap::new(), NOW);
    assert_eq!((report.requests, report.churn), (20, 3));
    assert_eq!(report.unavailable, Duration::from_secs(15));
}

#[test]
fn a_record_forgets_what_is_too_old() {
    let mut series = series(&[(0, 10, 0)]);
    series.drop_before(Minute(NOW.0 - 4));
    assert_eq!(series.entries().count(), 5);
}

/// A shard counts as unreachable while its owner releases it, and while the instance is
/// not permitted to route to the owner: after the lease for owners in other failure
/// domains, and after the grace period for owners in the instance's own domain.
#[test]
fn shards_are_closed_while_moving_and_without_leave() {
    let second = Duration::from_secs(1);
    let read_time = Time::from_micros(0) + second;
    let confirmation = RoutingLease {
        any_domain_until: read_time + second,
        read_started: read_time,
        own_domain_until: read_time + 100 * second,
    };
    let cases = [("at rest", false), ("one released", true)];
    let mut lines = Vec::new();
    for (case, releasing) in cases {
        let map = Arc::new(map([1, 1, 1, 2], releasing));
        let domain: citron_core::id::DomainName = "harbour".parse().unwrap();
        let reachability = Reachability::new(&map, &domain);
        let snapshot = Snapshot {
            map,
            confirmation,
            domain,
        };
        for seconds in [0, 2, 11] {
            let unreachable =
                reachability.unreachable_shares(&snapshot, read_time + seconds * second);
            let share = unreachable.values().next().unwrap();
            lines.push(format!("{case}, {seconds} s after the read: {share}"));
        }
    }
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn moved_shards_are_those_with_another_owner() {
    let before = map([1, 1, 2, 2], false);
    let after = map([1, 2, 1, 2], false);
    let kegs: ServiceName = "kegs".parse().unwrap();
    assert_eq!(moved_shards(&before, &after)[&kegs], 2);
    assert_eq!(moved_shards(&after, &after)[&kegs], 0);
    assert!(moved_shards(&RouteMap::default(), &after).is_empty());
}
