//! The table of results.

use {
    super::{
        cluster::Cluster,
        scenario::{SCENARIOS, Scenario},
        way::{Kind, WAYS, Way},
    },
    std::fmt::Write,
};

/// Seeds of the instances' phases of reading.
const SEEDS: [u64; 3] = [1, 2, 3];

/// What one run measured.
#[derive(Debug, Clone, Copy, Default)]
pub struct Measured {
    /// Milliseconds that a key cannot be reached, over keys and callers' domains.
    pub mean: u64,
    /// The same for the worst key and domain.
    pub worst: u64,
    /// Changes of owner, in percent of the shards.
    pub churn: u64,
    /// Shards of the fullest server over the mean, in percent.
    pub imbalance: u64,
    /// Milliseconds times shards with two owners at once.
    pub twofold: u64,
}

/// Runs everything.
pub fn table() -> String {
    let mut report = String::new();
    let head = "| scenario | way | unreachable, mean s | worst s | moved % | max/mean | two owners, shard-s |";
    writeln!(report, "{head}\n|---|---|---|---|---|---|---|").unwrap();
    for scenario in SCENARIOS {
        for way in WAYS {
            let measured = mean(scenario, way);
            let leases = way.kind != Kind::Modulo;
            assert!(
                !leases || measured.twofold == 0,
                "{} {}",
                scenario.name,
                way.name
            );
            line(&mut report, scenario, way, measured);
        }
    }
    write!(
        report,
        "Seeds {SEEDS:?}: means over them, the worst of them."
    )
    .unwrap();
    report
}

fn mean(scenario: Scenario, way: Way) -> Measured {
    let mut sum = Measured::default();
    for seed in SEEDS {
        let run = Cluster::new(scenario, way, seed).run();
        sum.mean += run.mean;
        sum.worst = sum.worst.max(run.worst);
        sum.churn += run.churn;
        sum.imbalance += run.imbalance;
        sum.twofold += run.twofold;
    }
    let count = SEEDS.len() as u64;
    Measured {
        mean: sum.mean / count,
        churn: sum.churn / count,
        imbalance: sum.imbalance / count,
        twofold: sum.twofold / count,
        ..sum
    }
}

fn line(report: &mut String, scenario: Scenario, way: Way, run: Measured) {
    let seconds = |ms: u64| format!("{}.{:02}", ms / 1_000, ms % 1_000 / 10);
    writeln!(
        report,
        "| {} | {} | {} | {} | {} | {}.{:02} | {} |",
        scenario.name,
        way.name,
        seconds(run.mean),
        seconds(run.worst),
        run.churn,
        run.imbalance / 100,
        run.imbalance % 100,
        seconds(run.twofold),
    )
    .unwrap();
}
