//! A server that does not respond for 10 s under load.

use {
    crate::{
        scenario::{Reports, Scenario},
        simulation::Simulation,
        stats::Stats,
    },
    citron_core::{
        admission::{AdmissionConfig, LimitConfig},
        routing::BudgetConfig,
        time::Time,
    },
    insta::assert_snapshot,
    std::{fmt::Write, time::Duration},
};

const SEEDS: [u64; 3] = [1, 2, 3];
/// First second of the outage, and the second after its last.
const OUTAGE_S: (u64, u64) = (20, 30);
const END_S: u64 = 60;
/// Fraction of new requests answered from which the service counts as recovered.
const RECOVERED_SHARE: f64 = 0.95;

/// Protection between clients and server, and the load.
#[derive(Debug, Clone, Copy)]
struct Case {
    name: &'static str,
    load: f64,
    resends: u32,
    is_limited: bool,
    budget: BudgetConfig,
}

/// The production settings; clients send a failed request again up to five times.
const LIMIT_AND_BUDGET: Case = Case {
    name: "limit and budget",
    load: 0.7,
    resends: 5,
    is_limited: true,
    budget: BudgetConfig::STANDARD,
};
/// The retry budget alone, with a server that queues every request.
const BUDGET_ONLY: Case = Case {
    name: "budget only",
    load: 0.35,
    resends: 1,
    is_limited: false,
    budget: BudgetConfig::STANDARD,
};
const CASES: [Case; 5] = [
    LIMIT_AND_BUDGET,
    Case {
        name: "budget off",
        budget: BudgetConfig::UNLIMITED,
        ..LIMIT_AND_BUDGET
    },
    Case {
        name: "limit off",
        is_limited: false,
        ..LIMIT_AND_BUDGET
    },
    BUDGET_ONLY,
    Case {
        name: "unprotected",
        budget: BudgetConfig::UNLIMITED,
        ..BUDGET_ONLY
    },
];

fn second(number: u64) -> Time {
    Time::from_micros(number * 1_000_000)
}

/// The server does not notice clients that disconnected.
fn run(case: Case, seed: u64) -> Stats {
    let limit = match case.is_limited {
        true => LimitConfig::STANDARD,
        false => LimitConfig::FIXED,
    };
    let controller = AdmissionConfig {
        limit,
        ..AdmissionConfig::STANDARD
    };
    Simulation::run(Scenario {
        slots: 4,
        load: case.load,
        controller,
        share: (!case.is_limited).then_some(1_000.0),
        reports: match case.is_limited {
            true => Reports::Delivered,
            false => Reports::Unused,
        },
        budget: case.budget,
        backlog: 10_000,
        attempt_timeout: Some(Duration::from_millis(250)),
        resends: case.resends,
        outage: Some((second(OUTAGE_S.0), second(OUTAGE_S.1))),
        end: second(END_S),
        seed,
    })
}

/// Smallest fraction of new requests answered in any five seconds, from five seconds
/// after the outage on.
fn lowest_after_outage(stats: &Stats) -> f64 {
    let windows = OUTAGE_S.1 + 5..END_S - 5;
    let parts = windows.map(|s| stats.answered_part(s..s + 5));
    parts.fold(f64::INFINITY, f64::min)
}

fn has_recovered(case: Case, seed: u64) -> bool {
    lowest_after_outage(&run(case, seed)) >= RECOVERED_SHARE
}

/// Guards against an overload that outlasts its cause. During the outage, attempts time
/// out, are retried and pile up at the server. Afterwards it runs requests that nobody
/// waits for, while new ones time out. The concurrency limit keeps the pile short, and
/// the budget keeps retries from adding to it.
#[test]
fn goodput_is_back_five_seconds_after_an_outage() {
    let mut table = format!(
        "{:<19}load  resends  seed  before  during  1st 5 s  then, at least\n",
        "case"
    );
    for case in CASES {
        for seed in SEEDS {
            let stats = run(case, seed);
            let _ = writeln!(
                table,
                "{:<19}{:>4}  {:>7}  {seed:>4}  {:>6.3}  {:>6.3}  {:>7.3}  {:>14.3}",
                case.name,
                case.load,
                case.resends,
                stats.answered_part(10..OUTAGE_S.0),
                stats.answered_part(OUTAGE_S.0 + 1..OUTAGE_S.1),
                stats.answered_part(OUTAGE_S.1..OUTAGE_S.1 + 5),
                lowest_after_outage(&stats),
            );
        }
    }
    assert_snapshot!(table);
    assert!(
        SEEDS
            .iter()
            .all(|seed| has_recovered(LIMIT_AND_BUDGET, *seed))
    );
}

/// Shows that the budget is needed with a server that queues every request, and clients
/// that send a failed request again once. With the budget goodput recovers; without it
/// each request is sent three times, which keeps the server busy with requests that
/// nobody waits for.
#[test]
fn without_the_budget_it_stays_down() {
    let [.., unprotected] = CASES;
    assert!(SEEDS.iter().all(|seed| has_recovered(BUDGET_ONLY, *seed)));
    assert!(SEEDS.iter().all(|seed| !has_recovered(unprotected, *seed)));
}
