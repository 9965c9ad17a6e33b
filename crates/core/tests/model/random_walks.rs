//! Long random runs with everything in them that the exhaustive ones have apart.

use {
    super::mutants::SkipWait,
    super::{
        events::Model,
        setup::Setup,
        state::{Broken, State},
    },
    citron_core::ownership::{Rules, Strict},
    proptest::{collection::vec, prelude::*},
};

/// The longest run.
const STEPS: usize = 150;
/// Runs of each test; a run of the bent rules is found within far fewer.
const RUNS: u32 = 300;

/// Everything at once.
const WIDE: Setup = Setup {
    name: "wide",
    near: true,
    twin: true,
    relays: true,
    expel: true,
    lossy: true,
    late: true,
    moves: 3,
    movers: 2,
    slips: 1,
    held: 3,
    reads: 3,
    ticks: 14,
    ..Setup::PLAIN
};

/// The same with a first owner that checks epochs, restarts and gets late orders.
const WIDE_FENCED: Setup = Setup {
    fenced: true,
    revokes: true,
    orders: 20,
    boots: 1,
    ..WIDE
};

/// Takes one of the possible events at each step.
fn walk<R: Rules>(setup: Setup, picks: &[u16]) -> Option<(Broken, Vec<&'static str>)> {
    let model = Model::new(setup);
    let mut state = State::<R>::first(&setup);
    let mut events = Vec::new();
    for &pick in picks {
        let mut next = model.next(&state);
        if next.is_empty() {
            break;
        }
        let node = next.swap_remove(usize::from(pick) % next.len());
        events.push(node.event.0);
        state = node.state;
    }
    state.broken.map(|broken| (broken, events))
}

fn picks() -> impl Strategy<Value = Vec<u16>> {
    vec(any::<u16>(), STEPS)
}

/// The same runs on every machine.
fn config() -> ProptestConfig {
    ProptestConfig {
        cases: RUNS,
        failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn unfenced(picks in picks()) {
        prop_assert_eq!(walk::<Strict>(WIDE, &picks), None);
    }

    #[test]
    fn fenced(picks in picks()) {
        prop_assert_eq!(walk::<Strict>(WIDE_FENCED, &picks), None);
    }
}

#[test]
fn a_skipped_wait_is_caught() {
    let mut runner = prop::test_runner::TestRunner::new(config());
    let found = runner.run(&picks(), |picks| {
        prop_assert!(walk::<SkipWait>(WIDE, &picks).is_none());
        Ok(())
    });
    assert!(found.is_err());
}
