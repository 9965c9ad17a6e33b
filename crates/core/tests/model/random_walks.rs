//! Long random runs that combine all events, which the exhaustive searches check
//! separately.

use {
    super::mutants::SkipWait,
    super::{
        events::Model,
        setup::Setup,
        state::{State, Violation},
    },
    citron_core::ownership::{ProductionRules, ProtocolRules},
    proptest::{collection::vec, prelude::*},
};

/// Maximum number of steps of a run.
const MAX_STEPS: usize = 150;
/// Runs of each test. For the mutant of the rules, a violation is found within far fewer.
const WALKS: u32 = 300;

/// All events at once.
const ALL_EVENTS: Setup = Setup {
    name: "all events",
    is_same_domain: true,
    has_unlisted: true,
    relays_leases: true,
    expels: true,
    loses_answers: true,
    begins_late: true,
    moves: 3,
    movers: 2,
    missed_ticks: 1,
    delayed_requests: 3,
    delayed_reads: 3,
    max_ticks: 14,
    ..Setup::ONE_MOVE
};

/// The same with a first owner that checks epochs, restarts and gets late orders.
const ALL_EVENTS_FENCED: Setup = Setup {
    is_fenced: true,
    can_revoke: true,
    orders: 20,
    restarts: 1,
    ..ALL_EVENTS
};

/// Takes one of the possible events at each step.
fn random_walk<R: ProtocolRules>(
    setup: Setup,
    choices: &[u16],
) -> Option<(Violation, Vec<&'static str>)> {
    let model = Model::new(setup);
    let mut state = State::<R>::initial(&setup);
    let mut events = Vec::new();
    for &choice in choices {
        let mut next = model.successors(&state);
        if next.is_empty() {
            break;
        }
        let node = next.swap_remove(usize::from(choice) % next.len());
        events.push(node.event.0);
        state = node.state;
    }
    state.violation.map(|violation| (violation, events))
}

fn choices() -> impl Strategy<Value = Vec<u16>> {
    vec(any::<u16>(), MAX_STEPS)
}

/// A configuration with a fixed seed, so that the runs are the same on every machine.
fn config() -> ProptestConfig {
    ProptestConfig {
        cases: WALKS,
        failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn unfenced(choices in choices()) {
        prop_assert_eq!(random_walk::<ProductionRules>(ALL_EVENTS, &choices), None);
    }

    #[test]
    fn fenced(choices in choices()) {
        prop_assert_eq!(random_walk::<ProductionRules>(ALL_EVENTS_FENCED, &choices), None);
    }
}

#[test]
fn a_skipped_wait_is_caught() {
    let mut runner = prop::test_runner::TestRunner::new(config());
    let found = runner.run(&choices(), |choices| {
        prop_assert!(random_walk::<SkipWait>(ALL_EVENTS, &choices).is_none());
        Ok(())
    });
    assert!(found.is_err());
}
