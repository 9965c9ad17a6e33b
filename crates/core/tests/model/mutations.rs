//! The model check bites: each rule, once bent, is caught by a run that breaks
//! a promise. The snapshot holds the shortest such run.

use {
    super::{
        mutants::*,
        search::{Found, check},
        setup::Setup,
    },
    citron_core::ownership::Rules,
    insta::assert_snapshot,
    std::fmt::Write,
};

/// The promise that the mutated rules break, the number of steps, and the run.
/// [`super::checks`] shows that the same bounds are clean under the rules in
/// force, so that the mutation is what was caught.
fn caught<R: Rules>(setup: Setup) -> String {
    let Found { broken, .. } = check::<R>(setup);
    let Some((promise, run)) = broken else {
        return "not caught".to_string();
    };
    let mut report = format!("{promise:?} in {} steps:", run.len());
    for (event, who) in run {
        write!(report, " {event} {who};").unwrap();
    }
    report
}

#[test]
fn the_wait_is_skipped() {
    assert_snapshot!(caught::<SkipWait>(Setup::PLAIN));
}

#[test]
fn an_acknowledgement_of_an_older_revision_counts() {
    assert_snapshot!(caught::<AnyRevision>(Setup::PLAIN));
}

#[test]
fn a_move_is_done_without_reading_back() {
    assert_snapshot!(caught::<NoReread>(Setup::PLAIN));
}

#[test]
fn a_release_keeps_the_epoch() {
    assert_snapshot!(caught::<SameEpoch>(Setup::PLAIN));
}

#[test]
fn a_restarted_instance_acknowledges_for_its_former_process() {
    assert_snapshot!(caught::<AnyIncarnation>(Setup::TWIN));
}

#[test]
fn a_read_confirms_from_its_answer() {
    assert_snapshot!(caught::<FromAnswer>(Setup::CLOCKS));
}

#[test]
fn waits_have_no_clock_margin() {
    assert_snapshot!(caught::<NoMargin>(Setup::CLOCKS));
}

#[test]
fn a_relay_passes_on_the_full_span() {
    assert_snapshot!(caught::<FullRelay>(Setup::RELAYS));
}

#[test]
fn grace_is_not_anchored_at_the_platform() {
    assert_snapshot!(caught::<FreshGrace>(Setup::RELAYS));
}

#[test]
fn leave_of_an_unlisted_start_is_forgotten() {
    assert_snapshot!(caught::<RelaysForgotten>(Setup::RELAYS));
}

#[test]
fn an_expelled_row_goes_without_waiting() {
    assert_snapshot!(caught::<StrikeAtOnce>(Setup::EXPEL));
}

#[test]
fn the_last_commit_is_unconditional() {
    assert_snapshot!(caught::<Unconditional>(Setup::RACE));
}

#[test]
fn a_restarted_server_is_granted_under_an_old_read() {
    assert_snapshot!(caught::<OldReadGrants>(Setup::REBOOT));
}

#[test]
fn a_lease_outlives_its_givers_leave() {
    assert_snapshot!(caught::<LongLease>(Setup::FENCED));
}

#[test]
fn a_lease_is_renewed_without_what_changed_hands() {
    assert_snapshot!(caught::<LeaseAlone>(Setup::FENCED));
}
