//! Ways to decide ownership, weighed in focused scenarios in virtual time.
//!
//! One fixed-step loop drives the production decisions; see
//! docs/design/ALTERNATIVES.md for what is measured and what was left out.

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

/// The page that reads the table.
const PAGE: &str = include_str!("../../../../docs/design/ALTERNATIVES.md");
const TABLE_HEADER: &str = "\
| scenario                         | way                 | H, s  | worst, s | mean, s | moved | max/mean, % | overlaps |
|----------------------------------|---------------------|------:|---------:|--------:|------:|------------:|---------:|";

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

/// Every way in every scenario. No way that waits has a key with two owners
/// that would run requests; the baseline has them whenever its servers change.
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
    assert!(PAGE.contains(&table), "the page shows other figures");
    insta::assert_snapshot!(table);
    for (trial, stats) in trials.iter().zip(&results) {
        let has_lease = trial.strategy != Strategy::Modulo;
        assert!(!has_lease || stats.overlaps() == 0, "{trial:?}");
    }
}

/// Shows that overlaps are counted: without the wait for routers, a domain that
/// was cut off goes on with its keys while others have taken them over.
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

/// An instance is cut off alone and would confirm itself by its own vote, while
/// the others of its domain acknowledge and the majority's wait ends: two
/// owners. Under the rule of way (a') it stops in time.
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
