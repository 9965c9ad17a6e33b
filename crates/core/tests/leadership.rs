//! Failure detection for the holder of the leadership and for the store, in virtual time.

use {
    citron_core::{
        freshness::{HEARTBEAT_TIMEOUT, HolderLiveness, StoreHealth},
        id::StoreVersion,
        time::Time,
    },
    std::time::Duration,
};

fn at(millis: u64) -> Time {
    Time::ZERO + Duration::from_millis(millis)
}

/// Guards against a chain of takeovers when all instances start together: each instance
/// that has not yet received a heartbeat from the new planner would claim the leadership
/// in turn.
#[test]
fn a_claim_is_a_sign_of_life() {
    let mut instances: Vec<HolderLiveness> = (0..985).map(|_| HolderLiveness::new(at(0))).collect();
    // The claim is made 1.6 s after the start, and the last instance receives the
    // claimant's first heartbeat 1.2 s later.
    let is_lost = |liveness: &mut HolderLiveness, millis: u64| {
        liveness.record_claim(StoreVersion(230), at(millis));
        liveness.is_lost(None, at(millis))
    };
    for millis in (1_600..2_800).step_by(200) {
        let claims = instances
            .iter_mut()
            .filter_map(|liveness| is_lost(liveness, millis).then_some(()));
        assert_eq!(claims.count(), 0, "at {millis} ms");
    }
}

/// Guards against a late takeover: a failed holder counts as lost right after the
/// timeout.
#[test]
fn a_holder_that_falls_silent_is_lost_in_time() {
    let mut liveness = HolderLiveness::new(at(0));
    liveness.record_claim(StoreVersion(7), at(100));
    let last_heartbeat = at(5_000);
    assert!(!liveness.is_lost(Some(last_heartbeat), last_heartbeat + HEARTBEAT_TIMEOUT));
    assert!(liveness.is_lost(
        Some(last_heartbeat),
        last_heartbeat + HEARTBEAT_TIMEOUT + Duration::from_millis(1)
    ));
}

/// Guards against a change of planner whenever a single answer of the store is lost,
/// while most calls are answered.
#[test]
fn single_lost_answers_do_not_lose_the_store() {
    let mut health = StoreHealth::default();
    // Two reads per second are answered. Four in ten writes fail, and the failures come
    // between the reads.
    for step in 0..60 {
        let now = at(step * 250);
        match step % 2 {
            0 => health.record_answer(now),
            _ => health.record_failure(now),
        }
        assert!(health.is_up(), "at {now}");
    }
}

/// Guards against late detection of an unreachable store: the first read that fails after
/// a network partition is enough.
#[test]
fn a_cut_loses_the_store_with_the_first_read_that_fails() {
    let mut health = StoreHealth::default();
    health.record_answer(at(0));
    // The next read begins half a second later and times out after 0.6 s.
    health.record_failure(at(1_100));
    assert!(!health.is_up());
}

/// Guards against a change of planner because a write got no response while a busy processor
/// delayed the reads.
#[test]
fn writes_alone_do_not_lose_the_store() {
    let mut health = StoreHealth::default();
    health.record_answer(at(0));
    health.record_failed_write(at(1_200));
    health.record_failed_write(at(2_000));
    assert!(health.is_up());
    health.record_failed_read(at(1_500), at(2_100));
    assert!(!health.is_up());
}

/// Guards against late detection of an unreachable store: a write that fails after a read has
/// failed need not wait for another read.
#[test]
fn a_write_confirms_a_failed_read() {
    let mut health = StoreHealth::default();
    health.record_answer(at(0));
    health.record_failed_read(at(500), at(600));
    assert!(health.is_up());
    health.record_failed_write(at(1_100));
    assert!(!health.is_up());
    health.record_answer(at(1_200));
    health.record_failed_write(at(2_500));
    assert!(health.is_up());
}

/// Guards against a change of planner because a long poll got no response, while later reads did.
#[test]
fn a_read_that_began_before_the_last_answer_does_not_lose_the_store() {
    let mut health = StoreHealth::default();
    health.record_answer(at(12_000));
    health.record_failed_read(at(0), at(13_500));
    assert!(health.is_up());
}
