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
const CLOCK_RATE: u32 = 100;

/// The decisions that ownership rests on. The processes use [`Strict`]; the
/// model check replaces one method at a time to show that it is needed.
pub trait Rules: fmt::Debug + Clone + Eq + Hash {
    /// The epoch of a release. Raised, so that a request or a grant from before
    /// it can be told from one after the move.
    fn release_epoch(epoch: Epoch) -> Epoch {
        Epoch(epoch.0 + 1)
    }

    /// How long to wait until a span has surely passed on another clock.
    /// Without the margin an instance with a slow clock would still route.
    fn wait(span: Duration) -> Duration {
        span + span / CLOCK_RATE
    }

    /// What may be promised of a span that another clock will measure: the
    /// other side of [`Self::wait`].
    fn cut(span: Duration) -> Duration {
        span - span / CLOCK_RATE
    }

    /// Whether an acknowledgement ends the wait for a listed start of an
    /// instance. One of another start must not: the start that is listed may be
    /// paused and wake up with the old map.
    fn acked(ack: &Ack, listed: Incarnation, since: Revision) -> bool {
        ack.incarnation == listed && ack.revision >= since
    }

    /// Whether a scope may change hands while somebody is still waited for.
    fn skips_wait() -> bool {
        false
    }

    /// Whether a move counts as done once its last commit has ended, however.
    /// It must be read back: a commit whose answer was lost may never have
    /// taken effect.
    fn trusts_answer() -> bool {
        false
    }

    /// The version that the last commit of a move is conditional on: that of
    /// the row it was built from. A mover that was paused would otherwise undo
    /// the moves that came after its own.
    fn finish_version(built: Revision) -> Revision {
        built
    }

    /// From when a read of the platform confirms a revision: its begin. What
    /// was committed while the answer was under way is not in the answer.
    fn anchor(begun: Time, answered: Time) -> Time {
        let _ = answered;
        begun
    }

    /// What a relay passes on of its own leave: no more than what is left.
    fn relayed(left: Duration, full: Duration) -> Duration {
        let _ = full;
        left
    }

    /// How old a relay says its last read of the platform is. Grace is counted
    /// from that read, however often the leave was passed on since.
    fn relayed_age(age: Duration) -> Duration {
        age
    }

    /// Whether leave that was passed on to an unlisted start under an older
    /// revision holds back an acknowledgement of `asked`.
    fn holds_back(given: Revision, asked: Revision, until: Time, now: Time) -> bool {
        given < asked && now < until
    }

    /// How long a lease may be, of what is left of the giver's leave. A longer
    /// one would outlast the mover's wait for the giver.
    fn lease(left: Duration, full: Duration) -> Duration {
        left.min(full)
    }

    /// Whether every order with a lease brings the server up to date, and not
    /// the first one only.
    fn brings_up() -> bool {
        true
    }

    /// How long an expelled instance's row stays in the table.
    fn expulsion(longest: Duration) -> Duration {
        Self::wait(longest)
    }

    /// Whether a start of a server that was first seen at `seen` may be given
    /// grants under a table that was confirmed by a read begun at `platform`.
    /// A restarted server has forgotten its revocations; a read begun after the
    /// restart was seen knows every release that the earlier start accepted.
    fn grants_boot(seen: Time, platform: Time) -> bool {
        platform > seen
    }
}

/// The rules in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Strict;

impl Rules for Strict {}
