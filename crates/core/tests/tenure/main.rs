//! Random walks through a deployment whose planners act without the store, and whose successors
//! rely on these having stopped.

mod world;

use {
    citron_core::ranges::LeaseTimes,
    insta::assert_snapshot,
    std::{fmt::Write, time::Duration},
    world::{Flaw, Outcome, World},
};

const SEEDS: u64 = 300;
/// Number of seeds among which each missing safeguard shows.
const FLAWED_SEEDS: u64 = 1_500;
/// Time allowed from the return of all machines until most requests are served.
const RECOVERY_BOUND: Duration = Duration::from_secs(15);
/// Time from the start of all instances until one of them has claimed the leadership.
const CLAIM_TIME: Duration = Duration::from_millis(2_200);

fn has_overlap(seed: u64, flaw: Flaw) -> bool {
    World::new(seed, Some(flaw)).run().has_overlap
}

/// Guards against keys with two owners, as a planner renews leases while its successor grants the
/// keys to others, and against walks in which no planner acts without the store.
#[test]
fn planners_have_stopped_when_their_successors_rely_on_it() {
    let walks = (0..SEEDS).map(|seed| World::new(seed, None).run());
    let walks: Vec<Outcome> = walks.collect();
    let is_any = |seen: fn(&Outcome) -> bool| walks.iter().any(seen);
    let mut lines = String::new();
    writeln!(lines, "overlap {}", is_any(|walk| walk.has_overlap)).unwrap();
    writeln!(lines, "witnessed {}", is_any(|walk| walk.was_witnessed)).unwrap();
    writeln!(lines, "shortened {}", is_any(|walk| walk.was_shortened)).unwrap();
    assert_snapshot!(lines, @r"
    overlap false
    witnessed true
    shortened true
    ");
}

/// Guards against walks that reach none of the cases that the safeguards are for.
#[test]
fn walks_find_each_missing_safeguard() {
    let flaws = [Flaw::AnyProcess, Flaw::IgnoreLost, Flaw::FewWitnesses];
    let is_found = |flaw| (0..FLAWED_SEEDS).any(|seed| has_overlap(seed, flaw));
    let found = flaws.map(|flaw| (flaw, is_found(flaw)));
    assert_snapshot!(format!("{found:?}"), @"[(AnyProcess, true), (IgnoreLost, true), (FewWitnesses, true)]");
}

/// Guards against waits that nobody adds up: a planner that is gone for good and a lease of a
/// server that is gone with it leave keys without an owner for longer than allowed.
#[test]
fn waits_for_a_lost_planner_and_a_lost_lease_fit_into_the_recovery_bound() {
    let witnesses = world::witnesses_of(9);
    let wait = CLAIM_TIME + witnesses.stop_delay() + LeaseTimes::STANDARD.max_validity();
    assert!(wait < RECOVERY_BOUND, "{wait:?}");
}
