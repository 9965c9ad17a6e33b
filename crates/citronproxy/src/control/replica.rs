//! The instance's copy of the table, and its leave to route by it.

use {
    citron_core::{
        id::{DomainName, Revision},
        membership::{
            InstanceStatus, Member, Membership, RelayedLeases, RemainingLease, RoutingLease,
            longest_lease,
        },
        ownership::LeaseDurations,
        routing::{RouteMap, Snapshot},
        table::{Changes, RowKey, Table, TableError},
        time::Time,
    },
    std::{collections::BTreeMap, sync::Arc},
};

/// The table with what confirms it.
///
/// A read of the platform confirms only while this very start is listed. The
/// failure otherwise: whoever moves a shard asks the listed instances to stop,
/// does not know of this one, and it goes on sending to the old owner.
#[derive(Debug)]
pub struct Replica {
    /// This start of this instance.
    pub me: Member,
    /// Its failure domain.
    pub domain: DomainName,
    /// Joining, leaving and being expelled.
    pub roster: Membership,
    table: Table,
    /// Rows that are gone, so that they can be relayed as gone.
    deleted: BTreeMap<RowKey, Revision>,
    map: Arc<RouteMap>,
    confirmation: RoutingLease,
    relays: RelayedLeases,
    leaving: bool,
    spans: LeaseDurations,
}

impl Replica {
    /// A copy that knows nothing yet.
    pub fn new(me: Member, domain: DomainName, spans: LeaseDurations) -> Self {
        Self {
            me,
            domain,
            roster: Membership::new(spans),
            table: Table::default(),
            deleted: BTreeMap::new(),
            map: Arc::default(),
            confirmation: RoutingLease::default(),
            relays: RelayedLeases::new(spans),
            leaving: false,
            spans,
        }
    }

    /// The table.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Until when it may be routed by.
    pub fn confirmation(&self) -> RoutingLease {
        self.confirmation
    }

    /// Whether this start is listed.
    pub fn is_listed(&self) -> bool {
        <Membership>::is_listed(&self.table, &self.me)
    }

    /// Says to others from now on that this instance is leaving.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// What traffic is to route by; `None` while nothing confirms the table.
    pub fn snapshot(&self) -> Option<Snapshot> {
        let confirmed = self.confirmation.read_started > Time::ZERO;
        confirmed.then(|| Snapshot {
            map: Arc::clone(&self.map),
            confirmation: self.confirmation,
            domain: self.domain.clone(),
        })
    }

    /// Takes the answer of a platform read. Tells whether it brought a newer
    /// revision.
    ///
    /// # Errors
    /// [`TableError`] if it does not fit this copy; nothing is changed then.
    pub fn take_read(
        &mut self,
        begun: Time,
        answered: Time,
        changes: Changes,
    ) -> Result<bool, TableError> {
        let newer = self.apply(changes, answered)?;
        if self.is_listed() {
            let read = RoutingLease::from_read(begun, answered, self.spans);
            self.confirmation = self.confirmation.merge(read);
        }
        Ok(newer)
    }

    /// Takes another instance's answer to a question that was sent at `sent`.
    /// Tells whether it brought a newer revision.
    ///
    /// # Errors
    /// As [`Self::take_read`].
    pub fn take_relay(
        &mut self,
        (sent, now): (Time, Time),
        left: Option<RemainingLease>,
        changes: Changes,
    ) -> Result<bool, TableError> {
        let newer = self.apply(changes, now)?;
        if let Some(left) = left {
            let relayed = RoutingLease::from_relay(sent, left);
            self.confirmation = self.confirmation.merge(relayed);
        }
        Ok(newer)
    }

    /// What an asker is told of the rows after `since`, with the leave that
    /// covers just those.
    pub fn relay(
        &mut self,
        asker: &Member,
        since: Revision,
        now: Time,
    ) -> (InstanceStatus, Changes) {
        let listed = <Membership>::is_listed(&self.table, asker);
        let longest = longest_lease(&self.table, self.spans);
        let mine = (self.table.revision(), &self.confirmation);
        let remaining = self.relays.relay(asker, listed, mine, longest, now);
        let status = InstanceStatus {
            remaining,
            ..self.status(now)
        };
        (status, self.changes(since))
    }

    /// Whether nobody routes on leave from here under an older revision.
    pub fn is_settled(&self, revision: Revision, now: Time) -> bool {
        self.table.revision() >= revision && self.relays.is_settled(revision, now)
    }

    /// Where this instance stands; the leave in it is told, not passed on.
    pub fn status(&self, now: Time) -> InstanceStatus {
        InstanceStatus {
            instance: self.me.instance.clone(),
            incarnation: self.me.incarnation,
            domain: self.domain.clone(),
            revision: self.table.revision(),
            remaining: self.confirmation.remaining(now, self.spans),
            is_leaving: self.leaving,
        }
    }

    fn changes(&self, since: Revision) -> Changes {
        let rows = self.table.rows().filter(|(_, row)| row.version > since);
        let present = rows.map(|(key, row)| (key.clone(), row.version, Some(row.value.clone())));
        let deleted = self.deleted.iter().filter(|(_, at)| **at > since);
        let gone = deleted.map(|(key, at)| (key.clone(), *at, None));
        Changes {
            since,
            revision: self.table.revision(),
            rows: present.chain(gone).collect(),
        }
    }

    fn apply(&mut self, changes: Changes, now: Time) -> Result<bool, TableError> {
        if changes.revision <= self.table.revision() {
            return Ok(false);
        }
        let rows = changes.rows.iter();
        let touched: Vec<_> = rows
            .map(|(key, at, row)| (key.clone(), *at, row.is_none()))
            .collect();
        self.table.apply(changes)?;
        for (key, at, gone) in &touched {
            match gone {
                true => self.deleted.insert(key.clone(), *at),
                false => self.deleted.remove(key),
            };
        }
        let keys: Vec<RowKey> = touched.into_iter().map(|(key, ..)| key).collect();
        self.map = Arc::new(self.map.with_changes(&self.table, &keys));
        self.roster.observe(&self.table, now);
        Ok(true)
    }
}
