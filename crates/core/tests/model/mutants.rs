//! Mutants of the protocol rules, each with one rule left out or changed.

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
    /// Commits the new owner without waiting for any instance.
    SkipWait,
    fn skips_wait() -> bool {
        true
    }
);
mutant!(
    /// Counts an acknowledgement from any incarnation.
    AnyIncarnation,
    fn accepts_ack(ack: &Ack, _: Incarnation, since: Revision) -> bool {
        ack.revision >= since
    }
);
mutant!(
    /// Counts an acknowledgement of any revision.
    AnyRevision,
    fn accepts_ack(ack: &Ack, listed: Incarnation, _: Revision) -> bool {
        ack.incarnation == listed
    }
);
mutant!(
    /// Removes the row of an expelled instance at once.
    RemoveAtOnce,
    fn expulsion_wait(_: Duration) -> Duration {
        Duration::ZERO
    }
);
mutant!(
    /// Starts a routing lease when the answer of the read arrives.
    LeaseFromAnswer,
    fn lease_start(_: Time, answered: Time) -> Time {
        answered
    }
);
mutant!(
    /// Relays the full duration of a lease.
    FullRelayedLease,
    fn relayed_lease(_: Duration, full: Duration) -> Duration {
        full
    }
);
mutant!(
    /// Counts the grace period of a relayed lease from the relay instead of the platform
    /// read.
    GraceFromRelay,
    fn relayed_age(_: Duration) -> Duration {
        Duration::ZERO
    }
);
mutant!(
    /// Takes the end of a commit as its success.
    NoReread,
    fn skips_reread() -> bool {
        true
    }
);
mutant!(
    /// Makes the last commit whatever the row's version is.
    UnconditionalCommit,
    fn final_commit_version(_: Revision) -> Revision {
        super::tables::ANY_VERSION
    }
);
mutant!(
    /// Keeps the epoch at a release.
    SameEpoch,
    fn release_epoch(epoch: Epoch) -> Epoch {
        epoch
    }
);
mutant!(
    /// Waits without a margin for clock drift.
    NoClockMargin,
    fn add_clock_margin(span: Duration) -> Duration {
        span
    }
);
mutant!(
    /// Grants to a restarted server from a table that was read before.
    GrantUnderOldRead,
    fn may_grant_boot(_: Time, _: Time) -> bool {
        true
    }
);
mutant!(
    /// Ignores leases relayed to an unlisted incarnation.
    IgnoreRelayedLeases,
    fn blocks_ack(_: Revision, _: Revision, _: Time, _: Time) -> bool {
        false
    }
);
mutant!(
    /// Grants a server lease of full duration, whatever remains of the granting
    /// instance's routing lease.
    FullServerLease,
    fn server_lease(_: Duration, full: Duration) -> Duration {
        full
    }
);
mutant!(
    /// Renews a server lease without the grants that have changed since.
    LeaseWithoutGrants,
    fn sends_changed_grants() -> bool {
        false
    }
);
