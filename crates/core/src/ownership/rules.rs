//! The rules that keep a scope from having two owners, one method each.

use {
    super::Ack,
    crate::{
        id::{Epoch, Incarnation, Revision},
        time::Time,
    },
    std::{fmt, hash::Hash, time::Duration},
};

/// Clocks may run apart by one part in this many while a wait lasts.
const CLOCK_DRIFT_DIVISOR: u32 = 100;

/// The decisions that ownership rests on. The processes use [`ProductionRules`]; the
/// model check replaces one method at a time to show that it is needed.
pub trait ProtocolRules: fmt::Debug + Clone + Eq + Hash {
    /// The epoch of a release. Raised, so that a request or a grant from before
    /// it can be told from one after the move.
    fn release_epoch(epoch: Epoch) -> Epoch {
        Epoch(epoch.0 + 1)
    }

    /// How long to wait until a span has surely passed on another clock.
    /// Without the margin an instance with a slow clock would still route.
    fn add_clock_margin(span: Duration) -> Duration {
        span + span / CLOCK_DRIFT_DIVISOR
    }

    /// What may be promised of a span that another clock will measure: the
    /// other side of [`Self::add_clock_margin`].
    fn subtract_clock_margin(span: Duration) -> Duration {
        span - span / CLOCK_DRIFT_DIVISOR
    }

    /// Whether an acknowledgement ends the wait for a listed start of an
    /// instance. One of another start must not: the start that is listed may be
    /// paused and wake up with the old map.
    fn accepts_ack(ack: &Ack, listed: Incarnation, release: Revision) -> bool {
        ack.incarnation == listed && ack.revision >= release
    }

    /// Whether a scope may change hands while somebody is still waited for.
    fn skips_wait() -> bool {
        false
    }

    /// Whether a move counts as done once its last commit has ended, however.
    /// It must be read back: a commit whose answer was lost may never have
    /// taken effect.
    fn skips_reread() -> bool {
        false
    }

    /// The version that the last commit of a move is conditional on: that of
    /// the row it was built from. A mover that was paused would otherwise undo
    /// the moves that came after its own.
    fn final_commit_version(row_version: Revision) -> Revision {
        row_version
    }

    /// From when a read of the platform confirms a revision: its begin. What
    /// was committed while the answer was under way is not in the answer.
    fn lease_start(started: Time, answered: Time) -> Time {
        let _ = answered;
        started
    }

    /// What a relay passes on of its own leave: no more than what is left.
    fn relayed_lease(remaining: Duration, full: Duration) -> Duration {
        let _ = full;
        remaining
    }

    /// How old a relay says its last read of the platform is. Grace is counted
    /// from that read, however often the leave was passed on since.
    fn relayed_age(age: Duration) -> Duration {
        age
    }

    /// Whether leave that was passed on to an unlisted start under an older
    /// revision holds back an acknowledgement of `requested`.
    fn blocks_ack(relayed: Revision, requested: Revision, until: Time, now: Time) -> bool {
        relayed < requested && now < until
    }

    /// How long a lease may be, of what is left of the giver's leave. A longer
    /// one would outlast the mover's wait for the giver.
    fn server_lease(remaining: Duration, full: Duration) -> Duration {
        remaining.min(full)
    }

    /// Whether every order with a lease brings the server up to date, and not
    /// the first one only.
    fn sends_changed_grants() -> bool {
        true
    }

    /// How long an expelled instance's row stays in the table.
    fn expulsion_wait(longest: Duration) -> Duration {
        Self::add_clock_margin(longest)
    }

    /// Whether a start of a server that was first seen at `first_seen` may be given
    /// grants under a table that was confirmed by a read begun at `read_started`.
    /// A restarted server has forgotten its revocations; a read begun after the
    /// restart was seen knows every release that the earlier start accepted.
    fn may_grant_boot(first_seen: Time, read_started: Time) -> bool {
        read_started > first_seen
    }
}

/// The rules in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ProductionRules;

impl ProtocolRules for ProductionRules {}
