//! Exhaustive check of the ownership protocol within small bounds: no run lets two owners
//! run requests, loses a move that was reported as done, or reuses an epoch. The
//! snapshots hold the numbers of states.

use {
    super::{search::search, setup::Setup},
    citron_core::ownership::ProductionRules,
    insta::assert_snapshot,
};

/// The number of states of an exhaustive search, or the run that violates an invariant.
fn search_report(setup: Setup) -> String {
    let found = search::<ProductionRules>(setup);
    let report = match found.violation {
        None => format!(
            "{}: no invariant violated in {} states",
            setup.name, found.states
        ),
        Some((violated, run)) => format!("{}: {violated:?} by {run:?}", setup.name),
    };
    println!("{report}");
    report
}

#[test]
fn one_move() {
    assert_snapshot!(search_report(Setup::ONE_MOVE));
}

#[test]
fn late_reads_and_a_slow_clock() {
    assert_snapshot!(search_report(Setup::SLOW_CLOCK));
}

#[test]
fn a_restarted_instance_beside_its_former_process() {
    assert_snapshot!(search_report(Setup::RESTARTED_INSTANCE));
}

#[test]
fn an_instance_that_starts_while_the_platform_is_down() {
    assert_snapshot!(search_report(Setup::RELAYED_LEASES));
}

#[test]
fn an_expelled_instance() {
    assert_snapshot!(search_report(Setup::EXPELLED_INSTANCE));
}

#[test]
fn a_silent_owner_that_checks_epochs() {
    assert_snapshot!(search_report(Setup::FENCED));
}

#[test]
fn a_silent_owner_and_a_slow_clock() {
    assert_snapshot!(search_report(Setup::FENCED_SLOW_CLOCK));
}

#[test]
fn an_owner_that_restarts() {
    assert_snapshot!(search_report(Setup::RESTARTED_SERVER));
}

#[test]
fn two_movers_and_a_second_move() {
    assert_snapshot!(search_report(Setup::TWO_MOVERS));
}
