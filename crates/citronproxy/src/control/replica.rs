//! An instance's replica of the table, with its routing lease.

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

/// A replica of the table, with the lease that allows this instance to route by it.
///
/// A platform read renews the lease only while this incarnation is listed in the table.
/// Otherwise an instance that moves a shard, which asks the listed instances to stop
/// routing to the old owner, would not ask this one, and this one would go on routing to
/// it.
#[derive(Debug)]
pub struct Replica {
    /// Instance id and incarnation.
    pub member: Member,
    /// Failure domain of the instance.
    pub domain: DomainName,
    /// Rules of joining, leaving and expelling.
    pub membership: Membership,
    table: Table,
    /// Deleted rows with the revision of the deletion, so that relays include deletions.
    deleted: BTreeMap<RowKey, Revision>,
    route_map: Arc<RouteMap>,
    routing_lease: RoutingLease,
    relays: RelayedLeases,
    is_leaving: bool,
    durations: LeaseDurations,
}

impl Replica {
    /// Creates an empty replica without a lease.
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

    /// Lease that allows this instance to route by the table.
    pub fn routing_lease(&self) -> RoutingLease {
        self.routing_lease
    }

    /// Whether the table lists this incarnation.
    pub fn is_listed(&self) -> bool {
        <Membership>::is_listed(&self.table, &self.member)
    }

    /// Reports this instance as leaving in its status from now on.
    pub fn mark_leaving(&mut self) {
        self.is_leaving = true;
    }

    /// Snapshot for the traffic threads; `None` until there is a routing lease.
    pub fn snapshot(&self) -> Option<Snapshot> {
        let is_confirmed = self.routing_lease.read_started > Time::ZERO;
        is_confirmed.then(|| Snapshot {
            map: Arc::clone(&self.route_map),
            confirmation: self.routing_lease,
            domain: self.domain.clone(),
        })
    }

    /// Applies the changes of a platform read. Returns whether they brought a newer
    /// revision.
    ///
    /// # Errors
    /// [`TableError`] if the changes do not apply; the replica is unchanged then.
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

    /// Applies another instance's answer to a relay request that was sent at `sent`.
    /// Returns whether it brought a newer revision.
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

    /// Answers a relay request: the status with a routing lease for the rows returned,
    /// and the rows that changed after `since`.
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

    /// Whether the table has reached `revision` and no instance routes by a lease relayed
    /// from here under an older one.
    pub fn is_settled(&self, revision: Revision, now: Time) -> bool {
        self.table.revision() >= revision && self.relays.is_settled(revision, now)
    }

    /// Status of this instance. The remaining lease in it is information only; no
    /// instance may route by it.
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
