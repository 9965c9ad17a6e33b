//! Leave that an instance has passed on to others.

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
    /// The oldest revision that the asker may still have in force.
    revision: Revision,
    until: Time,
}

/// What an instance gave to starts that the table does not list.
///
/// A mover waits for the listed ones only. One that started while the platform
/// was down routes on relayed time, unknown to the mover: if its giver
/// acknowledged a release meanwhile, the scope would change hands while the
/// unlisted one still routes to the old owner. So the giver holds back its own
/// acknowledgement until the unlisted ones have acknowledged to it, or until
/// what it gave them has run out.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RelayedLeases<R: ProtocolRules = ProductionRules> {
    durations: LeaseDurations,
    unlisted: BTreeMap<Member, RelayedLease>,
    rules: PhantomData<R>,
}

impl<R: ProtocolRules> RelayedLeases<R> {
    /// Nothing was given yet.
    pub fn new(durations: LeaseDurations) -> Self {
        Self {
            durations,
            unlisted: BTreeMap::new(),
            rules: PhantomData,
        }
    }

    /// What an asker is given of the confirmation of `revision`, the map in
    /// force here; `longest` is the longest leave of any service.
    pub fn relay(
        &mut self,
        asker: &Member,
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
            self.record(asker, RelayedLease { revision, until });
        }
        Some(remaining)
    }

    /// An earlier answer may be all that the asker has, as the later may be
    /// lost: the older revision stays until the asker says otherwise.
    fn record(&mut self, asker: &Member, new: RelayedLease) {
        let relayed = self.unlisted.entry(asker.clone()).or_insert(new);
        relayed.until = relayed.until.max(new.until);
    }

    /// An unlisted asker has acknowledged a revision, as to a mover.
    pub fn record_ack(&mut self, asker: &Member, revision: Revision) {
        if let Some(relayed) = self.unlisted.get_mut(asker) {
            relayed.revision = relayed.revision.max(revision);
        }
    }

    /// Whether nobody routes on leave from here under a revision before this.
    pub fn is_settled(&self, revision: Revision, now: Time) -> bool {
        let mut relayed = self.unlisted.values();
        !relayed.any(|relayed| R::blocks_ack(relayed.revision, revision, relayed.until, now))
    }
}
