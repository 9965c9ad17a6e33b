//! Move notices that instances receive before the updated map.

use {
    citron_core::{
        id::{Epoch, ServerName},
        ranges::{KeyRange, MoveLog, MoveNotice, OwnerHint, RangeKey, RangeMap},
        time::Time,
    },
    std::time::Duration,
};

const KEY: RangeKey = RangeKey(7);

fn at(millis: u64) -> Time {
    Time::ZERO + Duration::from_millis(millis)
}

fn server(number: usize) -> ServerName {
    format!("s-{number}").parse().unwrap()
}

fn range() -> KeyRange {
    "0-99".parse().unwrap()
}

fn released(epoch: u64) -> MoveNotice {
    MoveNotice {
        range: range(),
        epoch: Epoch(epoch),
        hint: OwnerHint::Released,
    }
}

fn owned(epoch: u64, number: usize) -> MoveNotice {
    MoveNotice {
        hint: OwnerHint::Owned(server(number)),
        ..released(epoch)
    }
}

/// Map in which the keys have had this many owners.
fn map(owners: usize) -> RangeMap {
    let mut map = RangeMap::new();
    (1..=owners).for_each(|number| map.assign(range(), &server(number), None));
    map
}

fn find(log: &MoveLog, map: &RangeMap, now: Time) -> Option<OwnerHint> {
    log.find(KEY, map.slice(KEY), now).cloned()
}

/// Guards against requests to an owner that has released its keys, or to one that does
/// not hold them yet: one request in ten was rejected while keys moved, and each used a
/// retry from the budget.
#[test]
fn callers_follow_keys_through_a_move() {
    let (mut log, map) = (MoveLog::default(), map(1));
    assert_eq!(find(&log, &map, at(0)), None);
    log.insert(released(2), at(0));
    assert_eq!(find(&log, &map, at(10)), Some(OwnerHint::Released));
    log.insert(owned(2, 2), at(200));
    let owner = Some(OwnerHint::Owned(server(2)));
    assert_eq!(find(&log, &map, at(210)), owner);
    // A datagram that arrives out of order.
    log.insert(released(2), at(220));
    assert_eq!(find(&log, &map, at(230)), owner);
    assert_eq!(
        log.find(RangeKey(100), map.slice(RangeKey(100)), at(230)),
        None
    );
}

/// Guards against notices that are used for too long, after the map has caught up or
/// after the planner that moved the keys was lost.
#[test]
fn news_ends_with_the_map_or_by_itself() {
    let mut log = MoveLog::default();
    log.insert(owned(2, 2), at(0));
    assert_eq!(find(&log, &map(3), at(10)), None);
    assert_eq!(find(&log, &map(1), at(60_000)), None);
    log.insert(released(5), at(60_000));
    for again in 1..10 {
        log.insert(released(5), at(60_000 + again * 250));
    }
    assert_eq!(find(&log, &map(1), at(62_500)), None);
    log.insert(released(6), at(120_000));
    assert_eq!(find(&log, &map(1), at(120_010)), Some(OwnerHint::Released));
}

/// Guards against requests that reach the next owner before its grant because the map
/// naming it arrived first.
#[test]
fn a_map_that_comes_before_the_grant_is_not_followed() {
    let mut log = MoveLog::default();
    log.insert(released(2), at(0));
    assert_eq!(find(&log, &map(2), at(100)), Some(OwnerHint::Released));
    log.insert(owned(2, 2), at(150));
    let owner = Some(OwnerHint::Owned(server(2)));
    assert_eq!(find(&log, &map(2), at(160)), owner);
    log.insert(released(9), at(200));
    assert_eq!(find(&log, &map(2), at(1_500)), owner);
}
