//! Cases of the first commit of a move, of membership and of the wait for the old owner.

use {
    citron_core::{
        id::{Epoch, Incarnation, KeyHash, Revision, ShardBits, ShardId},
        membership::{JoinError, Member, Membership, RoutingLease},
        ownership::{
            Ack, Assignment, BootId, GrantReply, Granter, LeaseDurations, MoveAction, MoveEvent,
            Mover, ProductionRules, Scope, begin_move,
        },
        table::*,
        time::Time,
    },
    insta::assert_snapshot,
    std::{fmt::Write as _, time::Duration},
};

const SECOND: Duration = Duration::from_secs(1);

fn server(name: &str, service: &str, state: ServerState, fencing: Fencing) -> Row {
    Row::Server(ServerRow {
        name: name.parse().unwrap(),
        service: service.parse().unwrap(),
        domain: "domain-1".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        weight: "1".parse().unwrap(),
        rate_cap: None,
        slots: "4".parse().unwrap(),
        max_connections: 4,
        fencing,
        state,
    })
}

fn instance(name: &str, domain: &str, incarnation: u64) -> InstanceRow {
    let address = "127.0.0.1:1".parse().unwrap();
    InstanceRow {
        id: name.parse().unwrap(),
        incarnation: Incarnation(incarnation),
        domain: domain.parse().unwrap(),
        traffic_address: address,
        peer_address: address,
        admin_address: address,
        state: InstanceState::Live,
        revision: Revision(0),
    }
}

fn service() -> Row {
    Row::Service(ServiceRow {
        name: "balances".parse().unwrap(),
        operator: "authority".parse().unwrap(),
        hosts: Vec::new(),
        prefix: "/".to_string(),
        key_source: KeySource::Segment(0),
        idempotent_methods: Vec::new(),
        shard_bits: ShardBits::new(2).unwrap(),
        deadline: 2 * SECOND,
        grace: 5 * SECOND,
        move_budget: MoveBudget {
            shards_per_minute: 1,
            threshold_percent: 110,
        },
        objectives: Objectives {
            failures_per_million: 1,
            latency: SECOND,
            slow_per_million: 1,
        },
    })
}

/// A table with shard 0 owned by `a`, shard 1 moving from `a` to `b`, and shards 2 and 3
/// never assigned.
fn table(fencing: Fencing) -> Table {
    let owned = Assignment::owned("a".parse().unwrap(), Epoch(4));
    let moving = Assignment {
        phase: citron_core::ownership::Phase::Releasing {
            to: "b".parse().unwrap(),
        },
        ..owned.clone()
    };
    let rows = [
        service(),
        server("a", "balances", ServerState::Active, fencing),
        server("b", "balances", ServerState::Active, fencing),
        server("old", "balances", ServerState::Draining, fencing),
        server("other", "pickups", ServerState::Active, fencing),
        Row::Block(BlockRow {
            service: "balances".parse().unwrap(),
            block: BlockId(0),
            shards: vec![owned, moving],
        }),
        Row::Instance(instance("near", "domain-1", 1)),
        Row::Instance(instance("far", "domain-2", 1)),
    ];
    let mut table = Table::default();
    apply(
        &mut table,
        rows.into_iter().map(|row| (row.key(), Some(row))),
    );
    table
}

fn apply(table: &mut Table, rows: impl Iterator<Item = (RowKey, Option<Row>)>) {
    let revision = Revision(table.revision().0 + 1);
    let rows = rows.map(|(key, row)| (key, revision, row)).collect();
    let since = table.revision();
    let changes = Changes {
        since,
        revision,
        rows,
    };
    table.apply(changes).unwrap();
}

fn commit(table: &mut Table, commit: Commit) {
    apply(table, commit.writes.into_iter().map(|w| (w.key, w.row)));
}

#[test]
fn first_commits() {
    let table = table(Fencing::Checked);
    let shard = |n| Scope::Shard(ShardId(n));
    let key = Scope::Key(KeyHash(7));
    let cases = [
        ("balances", shard(0), "b"),
        ("balances", shard(2), "b"),
        ("balances", key, "b"),
        ("balances", shard(0), "a"),
        ("balances", shard(1), "a"),
        ("balances", shard(3), "b"),
        ("balances", shard(4), "b"),
        ("balances", shard(0), "old"),
        ("balances", shard(0), "other"),
        ("balances", shard(0), "nobody"),
        ("nothing", shard(0), "b"),
    ];
    let mut report = String::new();
    for (service, scope, to) in cases {
        let result = begin_move(
            &table,
            &service.parse().unwrap(),
            scope,
            &to.parse().unwrap(),
        );
        write!(report, "{service} {scope} to {to}: ").unwrap();
        match result {
            Ok(commit) => writeln!(report, "{}", writes(&commit)).unwrap(),
            Err(error) => writeln!(report, "{error}").unwrap(),
        }
    }
    assert_snapshot!(report);
}

fn writes(commit: &Commit) -> String {
    let mut text = String::new();
    for write in &commit.writes {
        let shards = match &write.row {
            Some(Row::Block(row)) => row.shards.clone(),
            Some(Row::Override(row)) => vec![row.owner.clone()],
            _ => Vec::new(),
        };
        let shards = shards
            .iter()
            .map(|s| format!("{}@{} {:?}", s.owner, s.epoch, s.phase));
        let shards: Vec<String> = shards.collect();
        write!(
            text,
            "[{} if {}: {}]",
            write.key,
            write.expect,
            shards.join(", ")
        )
        .unwrap();
    }
    text
}

/// Checks how long a mover waits after it saw the release, by the instances that have
/// acknowledged and by whether the old owner checks epochs. The wait covers: for an
/// instance in the owner's domain the grace period, for one elsewhere the routing lease;
/// for an owner that checks epochs its server lease; for one that does not, and that does
/// not answer, the deadline of the last request.
#[test]
fn waits_of_a_mover() {
    let cases: [(Fencing, &[&str]); 6] = [
        (Fencing::Checked, &[]),
        (Fencing::Checked, &["near"]),
        (Fencing::Checked, &["near", "far"]),
        (Fencing::Unchecked, &[]),
        (Fencing::Unchecked, &["near"]),
        (Fencing::Unchecked, &["near", "far"]),
    ];
    let mut report = String::new();
    for (fencing, acks) in cases {
        let table = table(fencing);
        let seen_at = Time::from_micros(1_000_000);
        let (mut mover, _) = resume(&table, seen_at);
        for name in acks {
            let ack = Ack {
                instance: name.parse().unwrap(),
                incarnation: Incarnation(1),
                revision: table.revision(),
            };
            mover.step(&table, MoveEvent::Acked(ack), seen_at);
        }
        let wait = mover.next_wakeup().map(|at| at - seen_at);
        writeln!(report, "{fencing:?}, acknowledged by {acks:?}: {wait:?}").unwrap();
    }
    assert_snapshot!(report);
}

fn resume(table: &Table, now: Time) -> (Mover<ProductionRules>, Vec<MoveAction>) {
    let service = "balances".parse().unwrap();
    let scope = Scope::Shard(ShardId(1));
    Mover::resume(table, &service, scope, LeaseDurations::default(), now).unwrap()
}

/// Guards against a move that never completes because neither instances nor the owner
/// answer. An operator has declared the domain lost: its instances are not waited for,
/// and its server counts as terminated. If the server checks epochs, the move goes on at
/// once.
#[test]
fn a_lost_domain_ends_the_wait() {
    let mut table = table(Fencing::Checked);
    let now = Time::from_micros(1);
    let (mut mover, first) = resume(&table, now);
    let ack_requests = |actions: &[MoveAction]| {
        let asks = actions
            .iter()
            .filter(|a| matches!(a, MoveAction::RequestAck { .. }));
        asks.count()
    };
    assert_eq!(ack_requests(&first), 2);
    let lost = Row::Domain(DomainRow {
        name: "domain-1".parse().unwrap(),
        state: DomainState::Lost {
            declared_by: "operator".to_string(),
        },
        confirmers: Vec::new(),
    });
    apply(&mut table, [(lost.key(), Some(lost))].into_iter());
    let actions = mover.step(&table, MoveEvent::Tick, now);
    assert!(matches!(actions.as_slice(), [MoveAction::Commit(_)]));
}

/// Guards against a restarted instance that joins while its previous incarnation may
/// still route. It may join only once that incarnation is expelled and its routing lease
/// has ended.
#[test]
fn joining_again() {
    let mut table = table(Fencing::Checked);
    let new = instance("near", "domain-1", 2);
    let mut membership: Membership = Membership::new(LeaseDurations::default());
    let now = Time::from_micros(1);
    let id_in_use = membership.join(&table, new.clone(), now);
    assert!(matches!(id_in_use, Err(JoinError::IdInUse { .. })));

    let old = Member::from_row(&instance("near", "domain-1", 1));
    let expel = Membership::<ProductionRules>::expel(&table, &old).unwrap();
    commit(&mut table, expel);
    membership.observe(&table, now);
    let too_early = membership.join(&table, new.clone(), now + 5 * SECOND);
    assert!(matches!(too_early, Err(JoinError::LeaseNotExpired { .. })));
    assert!(
        membership
            .remove_expelled(&table, now + 5 * SECOND)
            .is_empty()
    );
    assert!(!Membership::<ProductionRules>::is_listed(&table, &old));

    let joined = membership
        .join(&table, new.clone(), now + 6 * SECOND)
        .unwrap();
    commit(&mut table, joined);
    assert!(Membership::<ProductionRules>::is_listed(
        &table,
        &Member::from_row(&new)
    ));
    assert!(Membership::<ProductionRules>::expel(&table, &old).is_none());
}

/// Guards against a next owner that can never run a request. While a shard moves to a
/// server, granters keep that server up to date. A revocation under the epoch that the
/// server is about to own the shard under would make it refuse the later grant for good.
#[test]
fn orders_leave_the_next_epoch_open() {
    let table = table(Fencing::Checked);
    let seen_at = Time::from_micros(1);
    let read = seen_at + SECOND;
    let routing_lease = RoutingLease::from_read(read, read, LeaseDurations::default());
    let mut report = String::new();
    for name in ["a", "b"] {
        let key = RowKey::Server(name.parse().unwrap());
        let Row::Server(row) = &table.get(&key).unwrap().value else {
            panic!("not a server");
        };
        let mut granter: Granter = Granter::new(LeaseDurations::default());
        let clock_query = granter.next_order(&table, row, &routing_lease, read);
        let reply = GrantReply {
            boot: BootId(1),
            clock: SECOND,
            results: Vec::new(),
        };
        granter.record_reply(&clock_query, &reply, seen_at);
        let lease_end = routing_lease.end(true, 5 * SECOND);
        let order = granter.next_order(&table, row, &routing_lease, lease_end);
        for grant in &order.grants {
            writeln!(
                report,
                "{name}: {:?} {}@{}",
                grant.kind, grant.scope, grant.epoch
            )
            .unwrap();
        }
        writeln!(report, "{name}: lease {:?}", order.lease.map(|l| l.until)).unwrap();
    }
    assert_snapshot!(report);
}
