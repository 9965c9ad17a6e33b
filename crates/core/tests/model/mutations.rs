//! Checks the model check itself: for each mutant of the rules it finds a run that
//! violates an invariant. The snapshots hold the shortest such run.

use {
    super::{
        mutants::*,
        search::{SearchResult, search},
        setup::Setup,
    },
    citron_core::ownership::ProtocolRules,
    insta::assert_snapshot,
    std::fmt::Write,
};

/// The invariant that the mutant violates, the number of steps, and the run.
/// [`super::checks`] shows that the same bounds have no violation under the production
/// rules, so the mutation is what was found.
fn shortest_violation<R: ProtocolRules>(setup: Setup) -> String {
    let SearchResult { violation, .. } = search::<R>(setup);
    let Some((violated, run)) = violation else {
        return "no violation found".to_string();
    };
    let mut report = format!("{violated:?} in {} steps:", run.len());
    for (event, who) in run {
        write!(report, " {event} {who};").unwrap();
    }
    report
}

#[test]
fn the_wait_is_skipped() {
    assert_snapshot!(shortest_violation::<SkipWait>(Setup::ONE_MOVE));
}

#[test]
fn an_acknowledgement_of_an_older_revision_counts() {
    assert_snapshot!(shortest_violation::<AnyRevision>(Setup::ONE_MOVE));
}

#[test]
fn a_move_is_done_without_reading_back() {
    assert_snapshot!(shortest_violation::<NoReread>(Setup::ONE_MOVE));
}

#[test]
fn a_release_keeps_the_epoch() {
    assert_snapshot!(shortest_violation::<SameEpoch>(Setup::ONE_MOVE));
}

#[test]
fn a_restarted_instance_acknowledges_for_its_former_process() {
    assert_snapshot!(shortest_violation::<AnyIncarnation>(
        Setup::RESTARTED_INSTANCE
    ));
}

#[test]
fn a_read_confirms_from_its_answer() {
    assert_snapshot!(shortest_violation::<LeaseFromAnswer>(Setup::SLOW_CLOCK));
}

#[test]
fn waits_have_no_clock_margin() {
    assert_snapshot!(shortest_violation::<NoClockMargin>(Setup::SLOW_CLOCK));
}

#[test]
fn a_relay_passes_on_the_full_span() {
    assert_snapshot!(shortest_violation::<FullRelayedLease>(
        Setup::RELAYED_LEASES
    ));
}

#[test]
fn grace_is_not_anchored_at_the_platform() {
    assert_snapshot!(shortest_violation::<GraceFromRelay>(Setup::RELAYED_LEASES));
}

#[test]
fn leave_of_an_unlisted_start_is_forgotten() {
    assert_snapshot!(shortest_violation::<IgnoreRelayedLeases>(
        Setup::RELAYED_LEASES
    ));
}

#[test]
fn an_expelled_row_goes_without_waiting() {
    assert_snapshot!(shortest_violation::<RemoveAtOnce>(Setup::EXPELLED_INSTANCE));
}

#[test]
fn the_last_commit_is_unconditional() {
    assert_snapshot!(shortest_violation::<UnconditionalCommit>(Setup::TWO_MOVERS));
}

#[test]
fn a_restarted_server_is_granted_under_an_old_read() {
    assert_snapshot!(shortest_violation::<GrantUnderOldRead>(
        Setup::RESTARTED_SERVER
    ));
}

#[test]
fn a_lease_outlives_its_givers_leave() {
    assert_snapshot!(shortest_violation::<FullServerLease>(Setup::FENCED));
}

#[test]
fn a_lease_is_renewed_without_what_changed_hands() {
    assert_snapshot!(shortest_violation::<LeaseWithoutGrants>(Setup::FENCED));
}
