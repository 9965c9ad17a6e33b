//! A server that is silent for 10 s under load.

use {
    crate::{
        scenario::{Plan, Reports},
        simulation::Bench,
        stats::Stats,
    },
    citron_core::{
        admission::{GateConfig, LimitConfig},
        routing::BudgetConfig,
        time::Time,
    },
    insta::assert_snapshot,
    std::{fmt::Write, time::Duration},
};

const SEEDS: [u64; 3] = [1, 2, 3];
/// Seconds of the outage: its first and the one after its last.
const DOWN: (u64, u64) = (20, 30);
const END: u64 = 60;
/// Part of new requests whose answer counts as being back.
const BACK: f64 = 0.95;

/// What stands between the callers and the server, and how much they send.
#[derive(Debug, Clone, Copy)]
struct Case {
    name: &'static str,
    load: f64,
    resends: u32,
    limited: bool,
    budget: BudgetConfig,
}

/// As in the product: callers send a failed request again up to five times.
const WHOLE: Case = Case {
    name: "whole",
    load: 0.7,
    resends: 5,
    limited: true,
    budget: BudgetConfig::STANDARD,
};
/// The budget alone, before a server that queues whatever it gets.
const BUDGET_ALONE: Case = Case {
    name: "budget alone",
    load: 0.35,
    resends: 1,
    limited: false,
    budget: BudgetConfig::STANDARD,
};
const CASES: [Case; 5] = [
    WHOLE,
    Case {
        name: "whole, budget off",
        budget: BudgetConfig::UNLIMITED,
        ..WHOLE
    },
    Case {
        name: "whole, limit off",
        limited: false,
        ..WHOLE
    },
    BUDGET_ALONE,
    Case {
        name: "neither",
        budget: BudgetConfig::UNLIMITED,
        ..BUDGET_ALONE
    },
];

fn second(number: u64) -> Time {
    Time::from_micros(number * 1_000_000)
}

/// The server does not notice who has left.
fn run(case: Case, seed: u64) -> Stats {
    let limit = match case.limited {
        true => LimitConfig::STANDARD,
        false => LimitConfig::FIXED,
    };
    let gate = GateConfig {
        limit,
        ..GateConfig::STANDARD
    };
    Bench::run(Plan {
        slots: 4,
        load: case.load,
        gate,
        share: (!case.limited).then_some(1_000.0),
        reports: match case.limited {
            true => Reports::Heard,
            false => Reports::Unused,
        },
        budget: case.budget,
        backlog: 10_000,
        progress: Some(Duration::from_millis(250)),
        resends: case.resends,
        outage: Some((second(DOWN.0), second(DOWN.1))),
        end: second(END),
        seed,
    })
}

/// The lowest part of new requests answered in any five seconds, from five
/// seconds after the outage on.
fn lowest_after(stats: &Stats) -> f64 {
    let windows = DOWN.1 + 5..END - 5;
    let parts = windows.map(|s| stats.answered_part(s..s + 5));
    parts.fold(f64::INFINITY, f64::min)
}

fn is_back(case: Case, seed: u64) -> bool {
    lowest_after(&run(case, seed)) >= BACK
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
                stats.answered_part(10..DOWN.0),
                stats.answered_part(DOWN.0 + 1..DOWN.1),
                stats.answered_part(DOWN.1..DOWN.1 + 5),
                lowest_after(&stats),
            );
        }
    }
    assert_snapshot!(table);
    assert!(SEEDS.iter().all(|seed| is_back(WHOLE, *seed)));
}

/// Before a server that queues whatever it gets, with callers that send a failed
/// request again once. With the budget goodput comes back; without it each
/// request is sent three times, which keeps the server busy for nobody.
#[test]
fn without_the_budget_it_stays_down() {
    let [.., neither] = CASES;
    assert!(SEEDS.iter().all(|seed| is_back(BUDGET_ALONE, *seed)));
    assert!(SEEDS.iter().all(|seed| !is_back(neither, *seed)));
}
