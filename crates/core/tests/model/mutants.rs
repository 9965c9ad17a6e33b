//! The rules with one of them left out or bent.

use {
    citron_core::{
        id::{Epoch, Incarnation, Revision},
        ownership::{Ack, ProtocolRules},
        time::Time,
    },
    std::time::Duration,
};

macro_rules! mutant {
    ($(#[$doc:meta])* $name:ident, $($rule:tt)*) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, Hash)]
        pub struct $name;

        impl ProtocolRules for $name {
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
    fn accepts_ack(ack: &Ack, _: Incarnation, since: Revision) -> bool {
        ack.revision >= since
    }
);
mutant!(
    /// An acknowledgement counts whatever revision it is of.
    AnyRevision,
    fn accepts_ack(ack: &Ack, listed: Incarnation, _: Revision) -> bool {
        ack.incarnation == listed
    }
);
mutant!(
    /// An expelled instance's row is struck off at once.
    RemoveAtOnce,
    fn expulsion_wait(_: Duration) -> Duration {
        Duration::ZERO
    }
);
mutant!(
    /// A read confirms from when its answer came.
    LeaseFromAnswer,
    fn lease_start(_: Time, answered: Time) -> Time {
        answered
    }
);
mutant!(
    /// A relay passes on the full span.
    FullRelayedLease,
    fn relayed_lease(_: Duration, full: Duration) -> Duration {
        full
    }
);
mutant!(
    /// A relayed leave counts as a fresh read of the platform for the grace.
    GraceFromRelay,
    fn relayed_age(_: Duration) -> Duration {
        Duration::ZERO
    }
);
mutant!(
    /// The end of a commit counts as its success.
    NoReread,
    fn skips_reread() -> bool {
        true
    }
);
mutant!(
    /// The last commit is made whatever the row is by then.
    UnconditionalCommit,
    fn final_commit_version(_: Revision) -> Revision {
        super::tables::ANY_VERSION
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
    NoClockMargin,
    fn add_clock_margin(span: Duration) -> Duration {
        span
    }
);
mutant!(
    /// A restarted server is given grants under a table read before.
    GrantUnderOldRead,
    fn may_grant_boot(_: Time, _: Time) -> bool {
        true
    }
);
mutant!(
    /// Leave that was passed on to an unlisted start is forgotten.
    IgnoreRelayedLeases,
    fn blocks_ack(_: Revision, _: Revision, _: Time, _: Time) -> bool {
        false
    }
);
mutant!(
    /// A lease is as long as a lease may be, whatever the giver's leave.
    FullServerLease,
    fn server_lease(_: Duration, full: Duration) -> Duration {
        full
    }
);
mutant!(
    /// A lease is renewed without what changed hands since.
    LeaseWithoutGrants,
    fn sends_changed_grants() -> bool {
        false
    }
);
