//! Route maps: an incremental update gives the same map as a build from the whole table.

use {
    citron_core::{
        id::{Epoch, KeyHash, Revision, ShardBits, Slots, Weight},
        ownership::{Assignment, Phase},
        routing::RouteMap,
        table::{
            BlockId, BlockRow, Changes, Fencing, KeySource, MoveBudget, Objectives, OverrideRow,
            Row, RowKey, ServerRow, ServerState, ServiceRow, Table,
        },
    },
    proptest::prelude::*,
    std::{net::SocketAddr, time::Duration},
};

const BITS: u8 = 7;

fn service(name: &str, prefix: &str, hosts: &[&str]) -> Row {
    Row::Service(ServiceRow {
        name: name.parse().unwrap(),
        operator: "authority".parse().unwrap(),
        hosts: hosts.iter().map(|host| host.to_string()).collect(),
        prefix: prefix.to_string(),
        key_source: KeySource::Segment(1),
        idempotent_methods: Vec::new(),
        shard_bits: ShardBits::new(BITS).unwrap(),
        deadline: Duration::from_secs(1),
        grace: Duration::from_secs(1),
        move_budget: MoveBudget {
            shards_per_minute: 1,
            threshold_percent: 110,
        },
        objectives: Objectives {
            failures_per_million: 1,
            latency: Duration::from_millis(1),
            slow_per_million: 1,
        },
    })
}

fn server(number: u8, weight: u32) -> Row {
    Row::Server(ServerRow {
        name: format!("server-{number}").parse().unwrap(),
        service: "kegs".parse().unwrap(),
        domain: "harbour".parse().unwrap(),
        address: SocketAddr::from(([127, 0, 0, 1], 1_000 + u16::from(number))),
        weight: Weight(weight),
        rate_cap: None,
        slots: Slots(4),
        max_connections: 10,
        fencing: Fencing::Checked,
        state: ServerState::Active,
    })
}

fn assignment(owner: u8, epoch: u64, moving: bool) -> Assignment {
    let owned = Assignment::owned(format!("server-{owner}").parse().unwrap(), Epoch(epoch));
    let to = "server-0".parse().unwrap();
    match moving {
        true => Assignment {
            phase: Phase::Releasing { to },
            ..owned
        },
        false => owned,
    }
}

/// A row and whether it is written or deleted.
fn change() -> impl Strategy<Value = (Row, bool)> {
    let kegs = || "kegs".parse().unwrap();
    let block = (0..2_u32, 0..4_u8, 0..9_u64, any::<bool>()).prop_map(move |(b, o, e, m)| {
        Row::Block(BlockRow {
            service: kegs(),
            block: BlockId(b),
            shards: (0..64)
                .map(|n| assignment((o + n / 20) % 4, e, m))
                .collect(),
        })
    });
    let single = (0..3_u64, 0..4_u8, 0..9_u64).prop_map(move |(key, owner, epoch)| {
        Row::Override(OverrideRow {
            service: kegs(),
            key: KeyHash(key << 60),
            owner: assignment(owner, epoch, false),
        })
    });
    let row = prop_oneof![
        4 => block,
        3 => single,
        2 => (0..4_u8, 1..9_u32).prop_map(|(number, weight)| server(number, weight)),
        1 => Just(service("kegs", "/kegs", &[])),
    ];
    (row, prop::bool::weighted(0.8))
}

fn apply(table: &mut Table, row: &Row, write: bool) -> RowKey {
    let since = table.revision();
    let revision = Revision(since.0 + 1);
    let rows = vec![(row.key(), revision, write.then(|| row.clone()))];
    table
        .apply(Changes {
            since,
            revision,
            rows,
        })
        .unwrap();
    row.key()
}

/// The routes of a map as text.
fn render(map: &RouteMap) -> String {
    let mut lines = vec![map.revision.to_string()];
    for service in map.services() {
        for number in 0..1_u64 << BITS {
            let key = KeyHash(number << (64 - BITS));
            let route = service.route(key).map(|route| {
                let server = map.server(route.server);
                (
                    server.name.clone(),
                    server.weight,
                    route.epoch,
                    route.scope,
                    route.is_open,
                )
            });
            lines.push(format!("{number} {route:?}"));
        }
    }
    lines.join("\n")
}

proptest! {
    #[test]
    fn next_equals_build(changes in prop::collection::vec(change(), 1..40)) {
        let mut table = Table::default();
        let mut map = RouteMap::build(&table);
        for (row, write) in changes {
            let key = apply(&mut table, &row, write);
            map = map.with_changes(&table, &[key]);
            prop_assert_eq!(render(&map), render(&RouteMap::build(&table)));
        }
    }
}

#[test]
fn the_longest_prefix_wins_and_a_named_host_goes_first() {
    let mut table = Table::default();
    for row in [
        service("any", "/", &[]),
        service("kegs", "/kegs", &[]),
        service("named", "/kegs", &["kegs.example"]),
    ] {
        apply(&mut table, &row, true);
    }
    let map = RouteMap::build(&table);
    let found = |host, path| {
        map.service(host, path)
            .map(|found| found.row.name.to_string())
    };
    assert_eq!(found("other", "/kegs/1").as_deref(), Some("kegs"));
    assert_eq!(found("KEGS.example", "/kegs").as_deref(), Some("named"));
    assert_eq!(found("other", "/kegsack").as_deref(), Some("any"));
}
