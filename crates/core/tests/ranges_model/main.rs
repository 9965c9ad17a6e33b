//! Random walks of planners, servers and a store, in virtual time.
//!
//! Checked after each step: no key is held by two servers at once, and a server
//! takes keys only under an epoch above all with which others had them. Planners
//! are cut off from the store, killed and replaced; servers crash, start again,
//! leave, and carry orders out late; answers are lost; clocks are 2% slow.

mod planner;
mod server;
mod world;

use {
    std::thread,
    world::{Flaw, World},
};

/// Walks of the correct rules; one of 100 before showed a fault at seed 99.
const SEEDS: u64 = 120;
/// Walks of each flaw at most.
const MAX_FLAW_SEEDS: u64 = 600;
/// Steps of 50 ms: a minute.
const STEPS: u32 = 1_200;

fn is_caught(seed: u64, flaw: Flaw) -> bool {
    let mut world = match flaw {
        // One answer that is lost is made good by the next grant, and a planner without the
        // store is harmless to servers that its successor reaches.
        Flaw::AssumeUnsentGrant | Flaw::RenewWithoutStore => {
            World::with_one_way_links(seed, Some(flaw))
        }
        Flaw::EarlyExpiry | Flaw::ClockAhead => World::with_planner_kills(seed, Some(flaw)),
        _ => World::new(seed, Some(flaw)),
    };
    (0..STEPS).any(|_| {
        world.step();
        world.check().is_err()
    })
}

/// What the correct rules did in a walk.
struct WalkResult {
    commits: u64,
    /// Keys held, as a part of all, on average over the steps.
    held_share: f64,
}

fn correct_walk(seed: u64, mut world: World) -> WalkResult {
    let mut held_share = 0.0;
    for _ in 0..STEPS {
        world.step();
        let checked = world.check();
        checked.unwrap_or_else(|what| panic!("seed {seed}: {what}"));
        held_share += world.held_share();
    }
    WalkResult {
        commits: world.commits,
        held_share: held_share / f64::from(STEPS),
    }
}

#[test]
fn no_key_is_held_twice() {
    let plain = (0..SEEDS).map(|seed| correct_walk(seed, World::new(seed, None)));
    let one_way = (0..SEEDS).map(|seed| correct_walk(seed, World::with_one_way_links(seed, None)));
    let killed = (0..SEEDS).map(|seed| correct_walk(seed, World::with_planner_kills(seed, None)));
    let late = (0..SEEDS).map(|seed| correct_walk(seed, World::with_late_commits(seed, None)));
    let walks: Vec<WalkResult> = plain.chain(one_way).chain(killed).chain(late).collect();
    // Walks in which nothing happens, or in which nobody holds anything, prove nothing.
    let commits: u64 = walks.iter().map(|walk| walk.commits).sum();
    let held_share: f64 =
        walks.iter().map(|walk| walk.held_share).sum::<f64>() / walks.len() as f64;
    assert!(commits > 20 * SEEDS, "{commits} commits");
    assert!(
        held_share > 0.5,
        "{held_share} of the keys are held on average"
    );
}

/// Each flaw takes one safeguard away. A model that does not notice would not
/// notice its loss in the product either.
#[test]
fn every_flaw_is_caught() {
    let caught = |flaw| (0..MAX_FLAW_SEEDS).find(|seed| is_caught(*seed, flaw));
    let found = thread::scope(|scope| {
        let search = |flaw| scope.spawn(move || (flaw, caught(flaw)));
        let searches: Vec<_> = Flaw::ALL.into_iter().map(search).collect();
        let joined = searches.into_iter().map(|search| search.join().unwrap());
        joined.collect::<Vec<_>>()
    });
    let missed: Vec<_> = found.iter().filter(|(_, seed)| seed.is_none()).collect();
    assert!(
        missed.is_empty(),
        "unnoticed in {MAX_FLAW_SEEDS} walks: {found:?}"
    );
}
