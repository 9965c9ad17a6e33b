//! Validation of operators' edits, and the commits that they produce.

use {
    citron_core::{
        id::{Epoch, Revision, ServerName, ShardBits, ShardId, Slots, Weight},
        ownership::{Assignment, Phase, Scope, begin_move},
        table::{
            BlockRow, Changes, Check, DomainRow, DomainState, Edit, EditPlan, Fencing, KeySource,
            MoveBudget, Objectives, Row, RowEdit, RowKey, ServerRow, ServerState, ServiceRow,
            Table, TableError, initial_blocks,
        },
    },
    proptest::prelude::*,
    std::{collections::BTreeMap, time::Duration},
};

fn service(name: &str) -> ServiceRow {
    ServiceRow {
        name: name.parse().unwrap(),
        operator: "authority".parse().unwrap(),
        hosts: Vec::new(),
        prefix: format!("/{name}"),
        key_source: KeySource::Segment(1),
        idempotent_methods: vec!["GET".to_string()],
        shard_bits: ShardBits::new(7).unwrap(),
        deadline: Duration::from_secs(5),
        grace: Duration::from_secs(30),
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

fn server(number: u16) -> ServerRow {
    ServerRow {
        name: format!("server-{number}").parse().unwrap(),
        service: "kegs".parse().unwrap(),
        domain: "harbour".parse().unwrap(),
        address: ([127, 0, 0, 1], 9_000 + number).into(),
        weight: Weight(100),
        rate_cap: None,
        slots: Slots(4),
        max_connections: 100,
        fencing: Fencing::Checked,
        state: ServerState::Active,
    }
}

fn domain(name: &str) -> DomainRow {
    DomainRow {
        name: name.parse().unwrap(),
        state: DomainState::Live,
        confirmers: Vec::new(),
    }
}

fn put(table: &Table, row: Row) -> RowEdit {
    let key = row.key();
    let expect = table.get(&key).map_or(Revision(0), |row| row.version);
    let row = Some(row);
    RowEdit { key, expect, row }
}

fn delete(table: &Table, key: &str) -> RowEdit {
    let (kind, name) = key.split_once('/').unwrap();
    let key = match kind {
        "service" => RowKey::Service(name.parse().unwrap()),
        "server" => RowKey::Server(name.parse().unwrap()),
        _ => RowKey::Domain(name.parse().unwrap()),
    };
    let expect = table.get(&key).map_or(Revision(0), |row| row.version);
    let row = None;
    RowEdit { key, expect, row }
}

fn plan(table: &Table, rows: Vec<RowEdit>) -> Result<EditPlan, TableError> {
    let author = "ann".to_string();
    let time = Duration::ZERO;
    Edit { author, time, rows }.plan(table)
}

fn apply(table: &mut Table, rows: Vec<RowEdit>) {
    let plan = plan(table, rows).expect("a valid edit");
    let since = table.revision();
    let revision = Revision(since.0 + 1);
    let rows = plan.commit.writes.into_iter();
    let rows = rows.map(|write| (write.key, revision, write.row)).collect();
    let changes = Changes {
        since,
        revision,
        rows,
    };
    table.apply(changes).unwrap();
}

/// Servers 1 and 2 own the shards of `kegs`, server 3 is new and owns none.
fn deployment() -> Table {
    let mut table = Table::default();
    let rows = vec![
        put(&table, Row::Domain(domain("harbour"))),
        put(&table, Row::Domain(domain("hills"))),
        put(&table, Row::Service(service("kegs"))),
        put(&table, Row::Server(server(1))),
        put(&table, Row::Server(server(2))),
    ];
    apply(&mut table, rows);
    let rows = vec![
        put(&table, Row::Service(service("sets"))),
        put(&table, Row::Server(server(3))),
    ];
    apply(&mut table, rows);
    table
}

fn server_with(number: u16, change: impl FnOnce(&mut ServerRow)) -> Row {
    let mut row = server(number);
    change(&mut row);
    Row::Server(row)
}

fn service_with(change: impl FnOnce(&mut ServiceRow)) -> Row {
    let mut row = service("kegs");
    change(&mut row);
    Row::Service(row)
}

fn owners(plan: &EditPlan) -> BTreeMap<ServerName, usize> {
    let mut owners = BTreeMap::new();
    for write in &plan.commit.writes {
        let Some(Row::Block(block)) = &write.row else {
            continue;
        };
        for shard in &block.shards {
            *owners.entry(shard.owner.clone()).or_default() += 1;
        }
    }
    owners
}

#[test]
fn broken_rules_name_row_field_and_what_is_allowed() {
    let table = deployment();
    let lost = |by: &str| DomainState::Lost {
        declared_by: by.to_string(),
    };
    let block = table
        .rows()
        .find(|(key, _)| matches!(key, RowKey::Block(..)));
    let block = block.unwrap().1.value.clone();
    let cases: Vec<(&str, Row)> = vec![
        ("system row", block),
        (
            "unknown service",
            server_with(4, |row| row.service = "nets".parse().unwrap()),
        ),
        (
            "unknown domain",
            server_with(4, |row| row.domain = "moon".parse().unwrap()),
        ),
        (
            "cap of nothing",
            server_with(3, |row| row.rate_cap = Some(0)),
        ),
        (
            "no connections",
            server_with(3, |row| row.max_connections = 0),
        ),
        ("no port", server_with(3, |row| row.address.set_port(0))),
        (
            "same address",
            server_with(4, |row| row.address = server(1).address),
        ),
        (
            "owner's address",
            server_with(1, |row| row.address.set_port(1)),
        ),
        (
            "owner's service",
            server_with(1, |row| row.service = "sets".parse().unwrap()),
        ),
        (
            "owner's domain",
            server_with(1, |row| row.domain = "hills".parse().unwrap()),
        ),
        (
            "owner's fencing",
            server_with(1, |row| row.fencing = Fencing::Unchecked),
        ),
        (
            "owner retired",
            server_with(1, |row| row.state = ServerState::Retired),
        ),
        (
            "shard count",
            service_with(|row| row.shard_bits = ShardBits::new(8).unwrap()),
        ),
        (
            "shorter grace",
            service_with(|row| row.grace = Duration::from_secs(1)),
        ),
        (
            "long grace",
            service_with(|row| row.grace = Duration::from_secs(3_601)),
        ),
        (
            "short deadline",
            service_with(|row| row.deadline = Duration::from_millis(1)),
        ),
        (
            "slow objective",
            service_with(|row| row.objectives.latency = Duration::from_secs(6)),
        ),
        (
            "low threshold",
            service_with(|row| row.move_budget.threshold_percent = 100),
        ),
        (
            "no prefix",
            service_with(|row| row.prefix = "kegs".to_string()),
        ),
        (
            "same route",
            service_with(|row| row.prefix = "/sets".to_string()),
        ),
        (
            "bad host",
            service_with(|row| row.hosts = vec!["a b".to_string()]),
        ),
        (
            "bad header",
            service_with(|row| row.key_source = KeySource::Header("a b".to_string())),
        ),
        (
            "bad method",
            service_with(|row| row.idempotent_methods = vec!["get".to_string()]),
        ),
        (
            "lost by another",
            Row::Domain(DomainRow {
                state: lost("bob"),
                ..domain("hills")
            }),
        ),
    ];
    let mut lines = Vec::new();
    for (case, row) in cases {
        let error = plan(&table, vec![put(&table, row)]).expect_err(case);
        lines.push(format!("{case}: {error}"));
    }
    for key in [
        "server/server-1",
        "service/kegs",
        "domain/harbour",
        "domain/moon",
    ] {
        let error = plan(&table, vec![delete(&table, key)]).expect_err(key);
        lines.push(format!("delete {key}: {error}"));
    }
    let drain = |number| {
        put(
            &table,
            server_with(number, |row| row.state = ServerState::Draining),
        )
    };
    let error = plan(&table, vec![drain(1), drain(2), drain(3)]).expect_err("all drained");
    lines.push(format!("all drained: {error}"));
    let error = plan(&table, vec![drain(1), drain(1)]).expect_err("twice");
    lines.push(format!("twice: {error}"));
    let error = plan(&table, Vec::new()).expect_err("empty");
    lines.push(format!("empty: {error}"));
    insta::assert_snapshot!(lines.join("\n"));
}

/// Guards against a lost update: an operator edits a row that somebody else has changed
/// since it was read, and the edit would silently revert that change. The whole edit is
/// rejected, and the error contains the current row.
#[test]
fn an_edit_of_an_older_version_is_lost_as_a_whole() {
    let mut table = deployment();
    let stale = put(&table, server_with(3, |row| row.weight = Weight(1)));
    let other = put(&table, server_with(1, |row| row.weight = Weight(1)));
    let rows = vec![put(&table, server_with(3, |row| row.weight = Weight(7)))];
    apply(&mut table, rows);
    let error = plan(&table, vec![other, stale]).unwrap_err();
    let TableError::Conflict { key, current } = error else {
        panic!("{error}");
    };
    assert_eq!(key.to_string(), "server/server-3");
    let current = current.unwrap();
    assert_eq!(current.version, Revision(3));
    assert_eq!(current.value, server_with(3, |row| row.weight = Weight(7)));
}

#[test]
fn first_servers_get_all_shards_by_weight() {
    let mut table = Table::default();
    let rows = vec![
        put(&table, Row::Domain(domain("harbour"))),
        put(&table, Row::Service(service("kegs"))),
    ];
    apply(&mut table, rows);
    let rows = vec![
        put(&table, server_with(1, |row| row.weight = Weight(100))),
        put(&table, server_with(2, |row| row.weight = Weight(300))),
        put(&table, server_with(3, |row| row.weight = Weight(0))),
        put(
            &table,
            server_with(4, |row| row.state = ServerState::Draining),
        ),
    ];
    let plan = plan(&table, rows).unwrap();
    let owners = owners(&plan);
    let counts: Vec<_> = owners
        .iter()
        .map(|(name, count)| format!("{name} {count}"))
        .collect();
    assert_eq!(counts, ["server-1 32", "server-2 96"]);
    let history = plan.commit.history.unwrap();
    assert_eq!(
        history.changes.len(),
        4,
        "the history contains only the operator's rows, not the system's"
    );
}

/// Guards against reuse of an epoch when a service and its servers are deleted in one
/// edit and created again under the same name. With a reused epoch, a backend server that
/// still has the old grant would run requests for a shard that it no longer owns.
#[test]
fn a_deleted_service_takes_its_blocks_and_epochs_are_not_used_again() {
    let mut table = deployment();
    let first = epochs(&table);
    let mut rows = vec![delete(&table, "service/kegs")];
    rows.extend((1..=3).map(|n| delete(&table, &format!("server/server-{n}"))));
    apply(&mut table, rows);
    assert!(epochs(&table).is_empty());
    let rows = vec![
        put(&table, service_with(|_| ())),
        put(&table, server_with(1, |_| ())),
    ];
    apply(&mut table, rows);
    assert!(epochs(&table).iter().min() > first.iter().max());
}

fn epochs(table: &Table) -> Vec<Epoch> {
    let blocks = table.rows().filter_map(|(_, row)| match &row.value {
        Row::Block(block) => Some(block.shards.iter().map(|shard| shard.epoch)),
        _ => None,
    });
    blocks.flatten().collect()
}

/// Guards against two edits that are each valid but together violate a rule: two
/// operators concurrently drain the last two servers of a service through different
/// instances. The precondition on the other server's row makes the later commit fail, so
/// that it is planned again and rejected.
#[test]
fn edits_that_are_valid_only_alone_check_each_other() {
    let mut table = deployment();
    let rows = vec![delete(&table, "server/server-3")];
    apply(&mut table, rows);
    let drain = |table: &Table, number| {
        let row = server_with(number, |row| row.state = ServerState::Draining);
        vec![put(table, row)]
    };
    let first = plan(&table, drain(&table, 1)).unwrap();
    let second = plan(&table, drain(&table, 2)).unwrap();
    let checked = |plan: &EditPlan, name: &str| {
        plan.checks
            .iter()
            .any(|check| check.key.to_string() == name)
    };
    assert!(checked(&first, "server/server-2"));
    assert!(checked(&second, "server/server-1"));
    assert!(checked(&first, "service/kegs") && checked(&first, "domain/harbour"));
    let rows = drain(&table, 1);
    apply(&mut table, rows);
    assert!(plan(&table, drain(&table, 2)).is_err());
}

/// Guards against a shard whose owner does not exist: an operator deletes a server that
/// owns nothing yet while a shard is moving to it.
#[test]
fn a_server_that_shards_are_moving_to_is_not_deleted() {
    let mut table = deployment();
    let to: ServerName = "server-3".parse().unwrap();
    let block = table
        .rows()
        .find(|(key, _)| matches!(key, RowKey::Block(..)));
    let Row::Block(mut block) = block.unwrap().1.value.clone() else {
        panic!()
    };
    block.shards[0].phase = Phase::Releasing { to };
    let since = table.revision();
    let revision = Revision(since.0 + 1);
    let row = Row::Block(block);
    let rows = vec![(row.key(), revision, Some(row))];
    let changes = Changes {
        since,
        revision,
        rows,
    };
    table.apply(changes).unwrap();
    let error = plan(&table, vec![delete(&table, "server/server-3")]).unwrap_err();
    assert!(error.to_string().contains("the owner of shards"), "{error}");
}

proptest! {
    #[test]
    fn every_shard_is_dealt_once_and_within_one_of_its_share(
        bits in 0_u8..=10,
        weights in prop::collection::vec(0_u32..=10_000, 1..12),
    ) {
        let mut row = service("kegs");
        row.shard_bits = ShardBits::new(bits).unwrap();
        let servers: Vec<_> = weights.iter().enumerate().map(|(number, weight)| {
            ServerRow { weight: Weight(*weight), ..server(number as u16) }
        }).collect();
        let blocks = initial_blocks(&row, &servers.iter().collect::<Vec<_>>(), Epoch(9));
        let total: u32 = weights.iter().sum();
        if total == 0 {
            prop_assert!(blocks.is_empty());
            return Ok(());
        }
        let assignments: Vec<&Assignment> = blocks.iter().flat_map(|block: &BlockRow| &block.shards).collect();
        prop_assert_eq!(assignments.len(), row.shard_bits.shard_count() as usize);
        for server in &servers {
            let own = assignments.iter().filter(|shard| shard.owner == server.name).count() as f64;
            let share = f64::from(row.shard_bits.shard_count()) * f64::from(server.weight.0) / f64::from(total);
            prop_assert!((own - share).abs() <= 1.0, "{} has {own}, its share is {share}", server.name);
        }
    }
}

/// Guards against a shard whose owner does not exist: a planner decides on a move to an
/// idle server and is suspended, an operator deletes that server, and the planner
/// resumes. Without the precondition on the server's row the commit would succeed, and
/// the keys would be unreachable.
#[test]
fn a_late_move_to_a_deleted_server_is_lost() {
    let mut table = deployment();
    let service = "kegs".parse().unwrap();
    let scope = Scope::Shard(ShardId(0));
    let late_commit = begin_move(&table, &service, scope, &"server-3".parse().unwrap()).unwrap();
    let checks = late_commit.new_owner_checks(&table);
    let rows = vec![delete(&table, "server/server-3")];
    apply(&mut table, rows);
    let has_changed =
        |check: &Check| table.get(&check.key).map(|row| row.version) != Some(check.expect);
    assert!(checks.iter().any(has_changed), "{checks:?}");
    let write = &late_commit.writes[0];
    let version = table.get(&write.key).map(|row| row.version);
    assert_eq!(
        version,
        Some(write.expect),
        "the block's version alone would not prevent the commit"
    );
}
