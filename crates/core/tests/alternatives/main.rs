//! Strategies for deciding ownership, compared in focused scenarios in virtual time.
//!
//! A loop with fixed time steps drives the production decision code.
//! docs/design/ALTERNATIVES.md lists what is measured and what is left out.

mod cluster;
mod driver;
mod modulo;
mod router;
mod scenario;
mod simulation;
mod stats;
mod strategy;
mod task;

use {
    citron_core::ownership::{ProductionRules, ProtocolRules},
    modulo::Modulo,
    scenario::Scenario,
    simulation::Simulation,
    stats::Stats,
    std::{thread, time::Duration},
    strategy::{Strategy, Trial},
};

/// Documentation page that must contain the result table.
const PAGE: &str = include_str!("../../../../docs/design/ALTERNATIVES.md");
const TABLE_HEADER: &str = "\
| scenario                         | way                 | H, s  | worst, s | mean, s | moved | max/mean, % | overlaps |
|----------------------------------|---------------------|------:|---------:|--------:|------:|------------:|---------:|";

/// Every strategy with each of its graces, in every scenario.
fn all_trials() -> Vec<Trial> {
    let mut trials = Vec::new();
    for scenario in Scenario::ALL {
        for strategy in Strategy::ALL {
            for grace in strategy.grace_seconds() {
                let grace = Duration::from_secs(*grace);
                trials.push(Trial {
                    scenario,
                    strategy,
                    grace,
                    accepts_single_vote: false,
                });
            }
        }
    }
    trials
}

fn run(trial: Trial) -> Stats {
    match trial.strategy {
        Strategy::Modulo => Modulo::run(trial),
        _ => Simulation::run::<ProductionRules>(trial),
    }
}

/// Row of the result table for one trial.
fn format_row(trial: &Trial, stats: &Stats) -> String {
    let grace = match trial.grace.as_secs() {
        0 => "-".to_string(),
        seconds => seconds.to_string(),
    };
    format!(
        "| {:32} | {:19} | {grace:>5} | {:8.1} | {:7.1} | {:5} | {:11} | {:8} |",
        trial.scenario.title(),
        trial.strategy.title(),
        stats.worst_outage(),
        stats.mean_outage(),
        stats.moved,
        stats.imbalance,
        stats.overlaps(),
    )
}

/// Runs every strategy in every scenario and compares the result table with the snapshot and
/// the documentation. Under a strategy that waits for leases, no key may have two owners that
/// run requests at the same time; the modulo baseline has them whenever the server set changes.
#[test]
fn strategies_in_focused_scenarios() {
    let trials = all_trials();
    let results: Vec<Stats> = thread::scope(|scope| {
        let spawn = |trial: &Trial| {
            let trial = *trial;
            scope.spawn(move || run(trial))
        };
        let threads: Vec<_> = trials.iter().map(spawn).collect();
        let results = threads.into_iter().map(|thread| thread.join().unwrap());
        results.collect()
    });
    let lines = trials.iter().zip(&results).map(|(t, s)| format_row(t, s));
    let mut table = vec![TABLE_HEADER.to_string()];
    table.extend(lines);
    let table = table.join("\n");
    assert!(
        PAGE.contains(&table),
        "docs/design/ALTERNATIVES.md differs from the measured table"
    );
    insta::assert_snapshot!(table);
    for (trial, stats) in trials.iter().zip(&results) {
        let has_lease = trial.strategy != Strategy::Modulo;
        assert!(!has_lease || stats.overlaps() == 0, "{trial:?}");
    }
}

/// Checks that overlaps are counted: if a mover does not wait for routers, a domain that is cut
/// off continues to serve its keys after other servers have become their owners.
#[test]
fn a_mover_that_does_not_wait_makes_two_owners() {
    #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
    struct SkippedWait;
    impl ProtocolRules for SkippedWait {
        fn skips_wait() -> bool {
            true
        }
    }
    let trial = Trial {
        scenario: Scenario::DomainCutOff,
        strategy: Strategy::AllAcknowledge,
        grace: Duration::from_secs(30),
        accepts_single_vote: false,
    };
    assert!(Simulation::run::<SkippedWait>(trial).overlaps() > 0);
}

/// An instance is cut off alone. If its own vote sufficed as a majority, it would confirm its
/// own lease while the other instances of its domain acknowledge the release and the wait for
/// the majority ends: two owners. With a true majority, strategy (a'), it stops in time.
#[test]
fn a_lone_vote_makes_two_owners() {
    let trial = |accepts_single_vote| Trial {
        scenario: Scenario::InstanceCutOff,
        strategy: Strategy::Majority,
        grace: Duration::from_secs(30),
        accepts_single_vote,
    };
    assert_eq!(
        Simulation::run::<ProductionRules>(trial(false)).overlaps(),
        0
    );
    assert!(Simulation::run::<ProductionRules>(trial(true)).overlaps() > 0);
}
