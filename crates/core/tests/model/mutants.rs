//! The rules with one of them left out or bent.

use {
    citron_core::{
        id::{Epoch, Incarnation, Revision},
        ownership::{Ack, Rules},
        time::Time,
    },
    std::time::Duration,
};

macro_rules! mutant {
    ($(#[$doc:meta])* $name:ident, $($rule:tt)*) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, Hash)]
        pub struct $name;

        impl Rules for $name {
            $($rule)*
        }
    };
}

mutant!(
    /// Commits the new owner without waiting for anybody.
    SkipWait,
    fn skips_wait() -> bool {
        true
    }
);
mutant!(
    /// An acknowledgement counts whatever start it comes from.
    AnyIncarnation,
    fn acked(ack: &Ack, _: Incarnation, since: Revision) -> bool {
        ack.revision >= since
    }
);
mutant!(
    /// An acknowledgement counts whatever revision it is of.
    AnyRevision,
    fn acked(ack: &Ack, listed: Incarnation, _: Revision) -> bool {
        ack.incarnation == listed
    }
);
mutant!(
    /// An expelled instance's row is struck off at once.
    StrikeAtOnce,
    fn expulsion(_: Duration) -> Duration {
        Duration::ZERO
    }
);
mutant!(
    /// A read confirms from when its answer came.
    FromAnswer,
    fn anchor(_: Time, answered: Time) -> Time {
        answered
    }
);
mutant!(
    /// A relay passes on the full span.
    FullRelay,
    fn relayed(_: Duration, full: Duration) -> Duration {
        full
    }
);
mutant!(
    /// A relayed leave counts as a fresh read of the platform for the grace.
    FreshGrace,
    fn relayed_age(_: Duration) -> Duration {
        Duration::ZERO
    }
);
mutant!(
    /// The end of a commit counts as its success.
    NoReread,
    fn trusts_answer() -> bool {
        true
    }
);
mutant!(
    /// The last commit is made whatever the row is by then.
    Unconditional,
    fn finish_version(_: Revision) -> Revision {
        super::tables::ANY
    }
);
mutant!(
    /// A release keeps the epoch.
    SameEpoch,
    fn release_epoch(epoch: Epoch) -> Epoch {
        epoch
    }
);
mutant!(
    /// A wait has no margin for clocks that run apart.
    NoMargin,
    fn wait(span: Duration) -> Duration {
        span
    }
);
mutant!(
    /// A restarted server is given grants under a table read before.
    OldReadGrants,
    fn grants_boot(_: Time, _: Time) -> bool {
        true
    }
);
mutant!(
    /// Leave that was passed on to an unlisted start is forgotten.
    RelaysForgotten,
    fn holds_back(_: Revision, _: Revision, _: Time, _: Time) -> bool {
        false
    }
);
mutant!(
    /// A lease is as long as a lease may be, whatever the giver's leave.
    LongLease,
    fn lease(_: Duration, full: Duration) -> Duration {
        full
    }
);
mutant!(
    /// A lease is renewed without what changed hands since.
    LeaseAlone,
    fn brings_up() -> bool {
        false
    }
);
