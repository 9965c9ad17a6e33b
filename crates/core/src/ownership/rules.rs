//! The safety rules that keep a scope from having two owners, one method for each.

use {
    super::Ack,
    crate::{
        id::{Epoch, Incarnation, Revision},
        time::Time,
    },
    std::{fmt, hash::Hash, time::Duration},
};

/// Largest clock drift allowed for, as a divisor: two clocks may differ by 1/100 of an
/// interval that both measure.
const CLOCK_DRIFT_DIVISOR: u32 = 100;

/// Safety rules of the ownership protocol. Production code uses [`ProductionRules`]; the
/// model check overrides one method at a time to show that the rule is needed.
pub trait ProtocolRules: fmt::Debug + Clone + Eq + Hash {
    /// Returns the epoch of a release. It is higher than the epoch before, so that
    /// requests and grants from before the release can be told from those after the move.
    fn release_epoch(epoch: Epoch) -> Epoch {
        Epoch(epoch.0 + 1)
    }

    /// Returns how long to wait until `span` has certainly passed on another clock.
    /// Without the margin an instance with a slow clock would still route after the wait.
    fn add_clock_margin(span: Duration) -> Duration {
        span + span / CLOCK_DRIFT_DIVISOR
    }

    /// Returns how much of `span` may be promised to a holder that measures it on another
    /// clock. Counterpart of [`Self::add_clock_margin`].
    fn subtract_clock_margin(span: Duration) -> Duration {
        span - span / CLOCK_DRIFT_DIVISOR
    }

    /// Returns whether an acknowledgement ends the wait for the listed incarnation of an
    /// instance. An acknowledgement from another incarnation does not count: the process
    /// of the listed one may be paused and resume with the old map.
    fn accepts_ack(ack: &Ack, listed: Incarnation, release: Revision) -> bool {
        ack.incarnation == listed && ack.revision >= release
    }

    /// Returns whether the new owner is committed while instances may still route to the
    /// old one.
    fn skips_wait() -> bool {
        false
    }

    /// Returns whether a move counts as done as soon as its last commit has ended,
    /// whatever the answer. The row must be read back instead: a commit whose answer was
    /// lost may never have taken effect.
    fn skips_reread() -> bool {
        false
    }

    /// Returns the row version that the last commit of a move is conditional on: that of
    /// the row which the commit was built from. Otherwise a mover that was paused would
    /// undo later moves of the scope.
    fn final_commit_version(row_version: Revision) -> Revision {
        row_version
    }

    /// Returns when a routing lease from a platform read starts: at the start of the
    /// read. Changes committed while the answer was on its way are not in the answer.
    fn lease_start(started: Time, answered: Time) -> Time {
        let _ = answered;
        started
    }

    /// Returns how much of its own routing lease an instance relays: at most what remains
    /// of it. `full` is the duration of a new lease.
    fn relayed_lease(remaining: Duration, full: Duration) -> Duration {
        let _ = full;
        remaining
    }

    /// Returns the age of the platform read that a relayed lease is based on. The grace
    /// period is counted from that read, however many times the lease has been relayed.
    fn relayed_age(age: Duration) -> Duration {
        age
    }

    /// Returns whether a lease relayed to an unlisted incarnation with revision
    /// `relayed`, and valid until `until`, prevents an acknowledgement of revision
    /// `requested`.
    fn blocks_ack(relayed: Revision, requested: Revision, until: Time, now: Time) -> bool {
        relayed < requested && now < until
    }

    /// Returns the duration of a server lease, given what remains of the routing lease of
    /// the instance that grants it. A longer server lease would outlast the wait of a
    /// move for that instance.
    fn server_lease(remaining: Duration, full: Duration) -> Duration {
        remaining.min(full)
    }

    /// Returns whether every order with a lease carries the grants that have changed,
    /// rather than the first order only.
    fn sends_changed_grants() -> bool {
        true
    }

    /// Returns how long the row of an expelled instance stays in the table. `longest` is
    /// the longest routing lease of any instance.
    fn expulsion_wait(longest: Duration) -> Duration {
        Self::add_clock_margin(longest)
    }

    /// Returns whether grants may be sent to a server process that was first seen at
    /// `first_seen`, from a table confirmed by a platform read that started at
    /// `read_started`. A restarted server has lost its revocations. A read that started
    /// after the restart was seen includes every release that the previous process
    /// accepted.
    fn may_grant_boot(first_seen: Time, read_started: Time) -> bool {
        read_started > first_seen
    }
}

/// The rules used in production.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ProductionRules;

impl ProtocolRules for ProductionRules {}
