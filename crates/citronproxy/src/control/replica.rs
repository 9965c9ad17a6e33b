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
    pub member: Member,
    /// Its failure domain.
    pub domain: DomainName,
    /// Joining, leaving and being expelled.
    pub membership: Membership,
    table: Table,
    /// Rows that are gone, so that they can be relayed as gone.
    deleted: BTreeMap<RowKey, Revision>,
    route_map: Arc<RouteMap>,
    routing_lease: RoutingLease,
    relays: RelayedLeases,
    is_leaving: bool,
    durations: LeaseDurations,
}

impl Replica {
    /// A copy that knows nothing yet.
    pub fn new(member: Member, domain: DomainName, durations: LeaseDurations) -> Self {
        Self {
            member,
            domain,
            membership: Membership::new(durations),
            table: Table::default(),
            deleted: BTreeMap::new(),
            route_map: Arc::default(),
            routing_lease: RoutingLease::default(),
            relays: RelayedLeases::new(durations),
            is_leaving: false,
            durations,
        }
    }

    /// The table.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Until when it may be routed by.
    pub fn routing_lease(&self) -> RoutingLease {
        self.routing_lease
    }

    /// Whether this start is listed.
    pub fn is_listed(&self) -> bool {
        <Membership>::is_listed(&self.table, &self.member)
    }

    /// Says to others from now on that this instance is leaving.
    pub fn mark_leaving(&mut self) {
        self.is_leaving = true;
    }

    /// What traffic is to route by; `None` while nothing confirms the table.
    pub fn snapshot(&self) -> Option<Snapshot> {
        let is_confirmed = self.routing_lease.read_started > Time::ZERO;
        is_confirmed.then(|| Snapshot {
            map: Arc::clone(&self.route_map),
            confirmation: self.routing_lease,
            domain: self.domain.clone(),
        })
    }

    /// Takes the answer of a platform read. Tells whether it brought a newer
    /// revision.
    ///
    /// # Errors
    /// [`TableError`] if it does not fit this copy; nothing is changed then.
    pub fn apply_read(
        &mut self,
        started: Time,
        answered: Time,
        changes: Changes,
    ) -> Result<bool, TableError> {
        let is_newer = self.apply(changes, answered)?;
        if self.is_listed() {
            let read = RoutingLease::from_read(started, answered, self.durations);
            self.routing_lease = self.routing_lease.merge(read);
        }
        Ok(is_newer)
    }

    /// Takes another instance's answer to a question that was sent at `sent`.
    /// Tells whether it brought a newer revision.
    ///
    /// # Errors
    /// As [`Self::apply_read`].
    pub fn apply_relay(
        &mut self,
        (sent, now): (Time, Time),
        remaining: Option<RemainingLease>,
        changes: Changes,
    ) -> Result<bool, TableError> {
        let is_newer = self.apply(changes, now)?;
        if let Some(remaining) = remaining {
            let relayed = RoutingLease::from_relay(sent, remaining);
            self.routing_lease = self.routing_lease.merge(relayed);
        }
        Ok(is_newer)
    }

    /// What an asker is told of the rows after `since`, with the leave that
    /// covers just those.
    pub fn answer_relay(
        &mut self,
        asker: &Member,
        since: Revision,
        now: Time,
    ) -> (InstanceStatus, Changes) {
        let is_listed = <Membership>::is_listed(&self.table, asker);
        let longest = longest_lease(&self.table, self.durations);
        let mine = (self.table.revision(), &self.routing_lease);
        let remaining = self.relays.relay(asker, is_listed, mine, longest, now);
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
            instance: self.member.instance.clone(),
            incarnation: self.member.incarnation,
            domain: self.domain.clone(),
            revision: self.table.revision(),
            remaining: self.routing_lease.remaining(now, self.durations),
            is_leaving: self.is_leaving,
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
        self.route_map = Arc::new(self.route_map.with_changes(&self.table, &keys));
        self.membership.observe(&self.table, now);
        Ok(true)
    }
}
