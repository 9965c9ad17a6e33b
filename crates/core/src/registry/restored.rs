//! What the registry does with a store that came back from an older copy of its rows.

use {
    super::Registry,
    crate::{
        freshness::REWRITE_TIME,
        id::{DomainName, ServerName},
        time::Time,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Time after which the store has certainly removed the entry of a server that is gone: three
/// heartbeat intervals, with a margin.
const ENTRY_EXPIRY: Duration = Duration::from_secs(4);

/// Doubt about the entry of a server that had left: a copy of the store may list it as it was
/// before.
#[derive(Debug, Clone, Copy)]
pub struct Doubt {
    /// When the doubt ends.
    pub until: Time,
    /// Whether the store lists the server as ready.
    pub is_listed: bool,
}

/// Change of an evacuation that a copy of the store implies, and when it takes effect.
#[derive(Debug, Clone, Copy)]
pub enum RestoredEvacuation {
    /// The copy has the evacuation.
    Begun { at: Time },
    /// The copy lacks the evacuation.
    Ended { at: Time, warm_up: Duration },
}

impl RestoredEvacuation {
    fn at(&self) -> Time {
        match self {
            Self::Begun { at } | Self::Ended { at, .. } => *at,
        }
    }
}

impl Registry {
    /// Handles that the store came back from an older copy of its rows. Must run before the
    /// rows of the copy are applied: it lacks the entries of servers that registered since,
    /// and lists servers that have left since as ready.
    pub fn on_store_restored(&mut self, now: Time) {
        self.on_store_recovered(now);
        let doubt = Doubt {
            until: now + ENTRY_EXPIRY,
            is_listed: false,
        };
        let left = self.iter().filter(|record| !record.is_listed());
        let names: Vec<ServerName> = left.map(|record| record.entry.name.clone()).collect();
        for name in names {
            self.doubted.insert(name, doubt);
        }
    }

    /// Takes servers back whose entries outlasted the doubt: the store would have removed
    /// them if the servers were gone. Returns whether there were any.
    pub(super) fn end_doubts(&mut self, now: Time) -> bool {
        let is_over = |doubt: &Doubt| doubt.until <= now;
        let over = self.doubted.iter().filter(|(_, doubt)| is_over(doubt));
        let listed = over.filter(|(_, doubt)| doubt.is_listed);
        let names: Vec<ServerName> = listed.map(|(name, _)| name.clone()).collect();
        self.doubted.retain(|_, doubt| !is_over(doubt));
        for name in &names {
            let stated = self.stated_leaving.get(name).copied();
            self.update(name, |record| {
                if !record.has_address_conflict() {
                    record.leaving_since = stated;
                }
            });
        }
        !names.is_empty()
    }

    /// Handles an evacuation that ended before the store came back from a copy that has it.
    /// It begins unless the operators write again.
    pub fn begin_restored_evacuation(&mut self, domain: DomainName, now: Time) {
        let change = RestoredEvacuation::Begun {
            at: now + REWRITE_TIME,
        };
        self.restored_evacuations.insert(domain, change);
    }

    /// Handles an evacuation that began before the store came back from a copy that lacks
    /// it. It ends unless the operators write again; `warm_up` is as for
    /// [`Self::end_evacuation`].
    pub fn end_restored_evacuation(&mut self, domain: DomainName, warm_up: Duration, now: Time) {
        let change = RestoredEvacuation::Ended {
            at: now + REWRITE_TIME,
            warm_up,
        };
        self.restored_evacuations.insert(domain, change);
    }

    pub(super) fn apply_restored_evacuations(&mut self, now: Time) {
        let is_due = |change: &RestoredEvacuation| change.at() <= now;
        let pending = std::mem::take(&mut self.restored_evacuations);
        let (due, pending) = pending.into_iter().partition(|(_, change)| is_due(change));
        self.restored_evacuations = pending;
        let due: BTreeMap<DomainName, RestoredEvacuation> = due;
        for (domain, change) in due {
            match change {
                RestoredEvacuation::Begun { .. } => self.evacuate(domain, now),
                RestoredEvacuation::Ended { warm_up, .. } => {
                    self.end_evacuation(&domain, warm_up, now)
                }
            }
        }
    }
}
