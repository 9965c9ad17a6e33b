//! A server that is silent for 10 s under load.

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
/// Seconds of the outage: its first and the one after its last.
const OUTAGE_S: (u64, u64) = (20, 30);
const END_S: u64 = 60;
/// Part of new requests whose answer counts as being back.
const RECOVERED_SHARE: f64 = 0.95;

/// What stands between the callers and the server, and how much they send.
#[derive(Debug, Clone, Copy)]
struct Case {
    name: &'static str,
    load: f64,
    resends: u32,
    is_limited: bool,
    budget: BudgetConfig,
}

/// As in the product: callers send a failed request again up to five times.
const LIMIT_AND_BUDGET: Case = Case {
    name: "whole",
    load: 0.7,
    resends: 5,
    is_limited: true,
    budget: BudgetConfig::STANDARD,
};
/// The budget alone, before a server that queues whatever it gets.
const BUDGET_ONLY: Case = Case {
    name: "budget alone",
    load: 0.35,
    resends: 1,
    is_limited: false,
    budget: BudgetConfig::STANDARD,
};
const CASES: [Case; 5] = [
    LIMIT_AND_BUDGET,
    Case {
        name: "whole, budget off",
        budget: BudgetConfig::UNLIMITED,
        ..LIMIT_AND_BUDGET
    },
    Case {
        name: "whole, limit off",
        is_limited: false,
        ..LIMIT_AND_BUDGET
    },
    BUDGET_ONLY,
    Case {
        name: "neither",
        budget: BudgetConfig::UNLIMITED,
        ..BUDGET_ONLY
    },
];

fn second(number: u64) -> Time {
    Time::from_micros(number * 1_000_000)
}

/// The server does not notice who has left.
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
        progress: Some(Duration::from_millis(250)),
        resends: case.resends,
        outage: Some((second(OUTAGE_S.0), second(OUTAGE_S.1))),
        end: second(END_S),
        seed,
    })
}

/// The lowest part of new requests answered in any five seconds, from five
/// seconds after the outage on.
fn lowest_after_outage(stats: &Stats) -> f64 {
    let windows = OUTAGE_S.1 + 5..END_S - 5;
    let parts = windows.map(|s| stats.answered_part(s..s + 5));
    parts.fold(f64::INFINITY, f64::min)
}

fn has_recovered(case: Case, seed: u64) -> bool {
    lowest_after_outage(&run(case, seed)) >= RECOVERED_SHARE
}

/// Callers see failures for 10 s and must not see them for longer. Tries time
/// out, are sent again and pile up at the server; once it is back, it works on
/// requests that nobody waits for, and new ones time out behind them. The limit
/// keeps the pile short, the budget keeps it from growing by retries.
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

/// Before a server that queues whatever it gets, with callers that send a failed
/// request again once. With the budget goodput comes back; without it each
/// request is sent three times, which keeps the server busy for nobody.
#[test]
fn without_the_budget_it_stays_down() {
    let [.., unprotected] = CASES;
    assert!(SEEDS.iter().all(|seed| has_recovered(BUDGET_ONLY, *seed)));
    assert!(SEEDS.iter().all(|seed| !has_recovered(unprotected, *seed)));
}
