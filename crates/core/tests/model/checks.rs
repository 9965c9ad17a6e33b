//! Exhaustive check of the ownership protocol at small bounds: no run within
//! them lets two owners run requests, loses a move that was reported done, or
//! reuses an epoch. The snapshots hold the numbers of states.

use {
    super::{search::check, setup::Setup},
    citron_core::ownership::Strict,
    insta::assert_snapshot,
};

/// States of an exhaustive run, or the run that breaks a promise.
fn run(setup: Setup) -> String {
    let found = check::<Strict>(setup);
    let report = match found.broken {
        None => format!(
            "{}: no promise broken in {} states",
            setup.name, found.states
        ),
        Some((promise, run)) => format!("{}: {promise:?} by {run:?}", setup.name),
    };
    println!("{report}");
    report
}

#[test]
fn one_move() {
    assert_snapshot!(run(Setup::PLAIN));
}

#[test]
fn late_reads_and_a_slow_clock() {
    assert_snapshot!(run(Setup::CLOCKS));
}

#[test]
fn a_restarted_instance_beside_its_former_process() {
    assert_snapshot!(run(Setup::TWIN));
}

#[test]
fn an_instance_that_starts_while_the_platform_is_down() {
    assert_snapshot!(run(Setup::RELAYS));
}

#[test]
fn an_expelled_instance() {
    assert_snapshot!(run(Setup::EXPEL));
}

#[test]
fn a_silent_owner_that_checks_epochs() {
    assert_snapshot!(run(Setup::FENCED));
}

#[test]
fn a_silent_owner_and_a_slow_clock() {
    assert_snapshot!(run(Setup::DRIFT));
}

#[test]
fn an_owner_that_restarts() {
    assert_snapshot!(run(Setup::REBOOT));
}

#[test]
fn two_movers_and_a_second_move() {
    assert_snapshot!(run(Setup::RACE));
}
