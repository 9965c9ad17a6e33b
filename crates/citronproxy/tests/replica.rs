//! An instance's copy of the table and its routing lease, step by step in virtual time.

use {
    citron_core::{
        id::{Incarnation, Revision},
        membership::{Member, RemainingLease},
        ownership::LeaseDurations,
        table::{
            Changes, DomainRow, DomainState, InstanceRow, InstanceState, Row, RowKey, TableError,
        },
        time::Time,
    },
    citronproxy::control::Replica,
    std::time::Duration,
};

const SECOND: Duration = Duration::from_secs(1);
const START: Time = Time::from_micros(86_400_000_000);

fn member(name: &str, incarnation: u64) -> Member {
    Member {
        instance: name.parse().unwrap(),
        incarnation: Incarnation(incarnation),
    }
}

/// Row of an instance.
fn listed(name: &str, incarnation: u64, state: InstanceState) -> Row {
    let any = "127.0.0.1:1".parse().unwrap();
    Row::Instance(InstanceRow {
        id: name.parse().unwrap(),
        incarnation: Incarnation(incarnation),
        domain: "harbour".parse().unwrap(),
        traffic_address: any,
        peer_address: any,
        admin_address: any,
        state,
        revision: Revision(0),
    })
}

fn domain(name: &str) -> Row {
    Row::Domain(DomainRow {
        name: name.parse().unwrap(),
        state: DomainState::Live,
        confirmers: Vec::new(),
    })
}

fn replica(name: &str) -> Replica {
    let domain = "harbour".parse().unwrap();
    Replica::new(member(name, 1), domain, LeaseDurations::default())
}

fn changes(since: u64, revision: u64, rows: Vec<Row>) -> Changes {
    let rows = rows.into_iter();
    let rows = rows.map(|row| (row.key(), Revision(revision), Some(row)));
    Changes {
        since: Revision(since),
        revision: Revision(revision),
        rows: rows.collect(),
    }
}

/// Applies a read of the platform that started at `at` and took 100 ms.
fn read(replica: &mut Replica, at: Time, changes: Changes) {
    replica.apply_read(at, at + SECOND / 10, changes).unwrap();
}

/// An instance reads the platform while its row is missing, belongs to another incarnation, or is
/// marked as expelled. Movers do not wait for such an instance, so these reads must not extend
/// its routing lease.
#[test]
fn reads_confirm_a_listed_start_only() {
    let cases = [
        ("absent", vec![domain("harbour")], false),
        (
            "listed",
            vec![listed("entry-1", 1, InstanceState::Live)],
            true,
        ),
        (
            "leaving",
            vec![listed("entry-1", 1, InstanceState::Leaving)],
            true,
        ),
        (
            "expelled",
            vec![listed("entry-1", 1, InstanceState::Expelled)],
            false,
        ),
        (
            "another start",
            vec![listed("entry-1", 2, InstanceState::Live)],
            false,
        ),
        (
            "another name",
            vec![listed("entry-2", 1, InstanceState::Live)],
            false,
        ),
    ];
    for (name, rows, confirms) in cases {
        let mut replica = replica("entry-1");
        read(&mut replica, START, changes(0, 1, rows));
        assert_eq!(replica.snapshot().is_some(), confirms, "{name}");
        let end = replica.routing_lease().end(false, Duration::ZERO);
        let expected_end = if confirms {
            START + LeaseDurations::default().routing
        } else {
            Time::ZERO
        };
        assert_eq!(
            end, expected_end,
            "{name}: the lease counts from the start of the read"
        );
    }
}

/// Answers arrive late and out of order, and one starts after the revision of the copy. The
/// copy's revision must not decrease, and changes that leave a gap must be refused.
#[test]
fn a_copy_never_goes_back() {
    let mut replica = replica("entry-1");
    let me = listed("entry-1", 1, InstanceState::Live);
    read(
        &mut replica,
        START,
        changes(0, 5, vec![me, domain("harbour")]),
    );
    read(&mut replica, START, changes(0, 3, vec![domain("port")]));
    assert_eq!(replica.table().revision(), Revision(5));
    assert!(replica.table().get(&domain("port").key()).is_none());
    let gap = replica.apply_read(START, START, changes(7, 9, Vec::new()));
    assert!(matches!(gap, Err(TableError::Gap { .. })), "{gap:?}");
    assert_eq!(replica.table().revision(), Revision(5));
}

/// A row is deleted. An instance that has not read the deletion must learn of it by relay.
#[test]
fn deletions_are_relayed() {
    let mut near = replica("entry-1");
    let me = listed("entry-1", 1, InstanceState::Live);
    read(&mut near, START, changes(0, 1, vec![me, domain("harbour")]));
    let mut far = replica("entry-2");
    let asker = member("entry-2", 1);
    let (status, first) = near.answer_relay(&asker, Revision(0), START);
    far.apply_relay((START, START), status.remaining, first)
        .unwrap();
    let key: RowKey = domain("harbour").key();
    assert!(far.table().get(&key).is_some());
    let gone = Changes {
        since: Revision(1),
        revision: Revision(2),
        rows: vec![(key.clone(), Revision(2), None)],
    };
    read(&mut near, START, gone);
    let (status, second) = near.answer_relay(&asker, Revision(1), START);
    far.apply_relay((START, START), status.remaining, second)
        .unwrap();
    assert!(far.table().get(&key).is_none());
    assert_eq!(far.table().revision(), Revision(2));
}

/// An instance that has no row is lent a lease under revision 1. Until that lease has ended, the
/// lender must not report revision 2 as settled, since the borrower may still route by revision 1
/// and movers request no acknowledgement from it. A listed borrower acknowledges itself.
#[test]
fn a_lender_acknowledges_for_unlisted_borrowers() {
    for (borrower, holds_back) in [("entry-9", true), ("entry-2", false)] {
        let mut lender = replica("entry-1");
        let rows = ["entry-1", "entry-2"].map(|name| listed(name, 1, InstanceState::Live));
        read(&mut lender, START, changes(0, 1, rows.to_vec()));
        let now = START + SECOND / 2;
        let (status, _) = lender.answer_relay(&member(borrower, 1), Revision(0), now);
        let remaining = RemainingLease {
            any_domain: SECOND,
            age: SECOND / 2,
        };
        assert_eq!(
            status.remaining,
            Some(remaining),
            "only the remaining lease is lent"
        );
        read(&mut lender, now, changes(1, 2, vec![domain("port")]));
        assert!(lender.is_settled(Revision(1), now));
        assert_eq!(
            lender.is_settled(Revision(2), now),
            !holds_back,
            "{borrower}"
        );
        assert!(
            lender.is_settled(Revision(2), START + 2 * SECOND),
            "{borrower}"
        );
    }
}

/// A relayed lease derives from a read that started before this instance did. The lease must
/// count from the start of that read, not from the start of the instance, which would make it
/// longer.
#[test]
fn relayed_lease_is_counted_from_the_platform_read() {
    let mut replica = replica("entry-1");
    let remaining = RemainingLease {
        any_domain: SECOND / 4,
        age: 20 * SECOND,
    };
    let times = (START + SECOND, START + 3 * SECOND);
    let rows = changes(0, 1, vec![domain("harbour")]);
    replica.apply_relay(times, Some(remaining), rows).unwrap();
    let confirmation = replica.routing_lease();
    assert_eq!(confirmation.end(false, SECOND), START + SECOND * 5 / 4);
    let grace = 25 * SECOND;
    assert_eq!(confirmation.end(true, grace), START + 6 * SECOND);
}
