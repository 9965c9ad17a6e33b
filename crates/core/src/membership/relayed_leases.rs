//! Routing leases that an instance has relayed to others.

use {
    super::{Member, RemainingLease, RoutingLease},
    crate::{
        id::Revision,
        ownership::{LeaseDurations, ProductionRules, ProtocolRules},
        time::Time,
    },
    std::{collections::BTreeMap, marker::PhantomData, time::Duration},
};

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct RelayedLease {
    /// The oldest revision that the other instance may still route by.
    revision: Revision,
    until: Time,
}

/// Routing leases relayed to incarnations that the table does not list.
///
/// A mover waits for listed incarnations only. An instance that started while the
/// platform was unavailable routes by a relayed lease, unknown to the mover. If the
/// instance that relayed the lease acknowledged a release in the meantime, the scope
/// would get its new owner while the unlisted instance still routes to the old one. The
/// relaying instance therefore delays its acknowledgement until the unlisted instances
/// have acknowledged to it, or until the leases relayed to them have ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RelayedLeases<R: ProtocolRules = ProductionRules> {
    durations: LeaseDurations,
    unlisted: BTreeMap<Member, RelayedLease>,
    rules: PhantomData<R>,
}

impl<R: ProtocolRules> RelayedLeases<R> {
    /// Creates a record without relayed leases.
    pub fn new(durations: LeaseDurations) -> Self {
        Self {
            durations,
            unlisted: BTreeMap::new(),
            rules: PhantomData,
        }
    }

    /// Returns what remains of the routing lease of `revision`, the revision in force
    /// here, and records it if the asking instance is unlisted. `longest` is the longest
    /// routing lease of any service.
    pub fn relay(
        &mut self,
        requester: &Member,
        is_listed: bool,
        (revision, lease): (Revision, &RoutingLease),
        longest: Duration,
        now: Time,
    ) -> Option<RemainingLease> {
        self.unlisted.retain(|_, relayed| now < relayed.until);
        let remaining = lease.remaining_with::<R>(now, self.durations)?;
        if !is_listed {
            let end = lease.end(true, longest);
            let until = now + R::add_clock_margin(end - now);
            self.record(requester, RelayedLease { revision, until });
        }
        Some(remaining)
    }

    /// Records a relayed lease. The answer may be lost, so that an earlier one is all
    /// that the asking instance has: the older revision is kept until the instance
    /// acknowledges a newer one.
    fn record(&mut self, requester: &Member, new: RelayedLease) {
        let relayed = self.unlisted.entry(requester.clone()).or_insert(new);
        relayed.until = relayed.until.max(new.until);
    }

    /// Records an acknowledgement from an unlisted instance, which it gives as it would
    /// to a mover.
    pub fn record_ack(&mut self, requester: &Member, revision: Revision) {
        if let Some(relayed) = self.unlisted.get_mut(requester) {
            relayed.revision = relayed.revision.max(revision);
        }
    }

    /// Returns whether no instance routes by a lease relayed from here under a revision
    /// before this one.
    pub fn is_settled(&self, revision: Revision, now: Time) -> bool {
        let mut relayed = self.unlisted.values();
        !relayed.any(|relayed| R::blocks_ack(relayed.revision, revision, relayed.until, now))
    }
}
