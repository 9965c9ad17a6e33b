//! One instance: its reads of the platform, its routing lease and its routes.

use {
    super::{
        cluster::{SERVER_COUNT, SHARD_COUNT, parse_number, service_name},
        scenario::{DOMAINS, FaultState},
        strategy::{Strategy, Trial},
    },
    citron_core::{
        id::{KeyHash, Revision, ShardId},
        membership::{Member, Membership, RoutingLease},
        ownership::{LeaseDurations, ProtocolRules, Scope, assignment},
        table::{InstanceRow, Row, RowKey, Table},
        time::Time,
    },
    std::{rc::Rc, time::Duration},
};

/// Interval between reads of the platform, or between rounds of votes.
pub const READ_INTERVAL: Duration = Duration::from_millis(400);
/// Time without an answer after which a server counts as lost; includes the probe interval.
pub const LOST_AFTER: Duration = Duration::from_millis(850);

/// A read or round of votes in progress; the answer arrives one step later.
struct PendingRead {
    started: Time,
    /// Table in the platform's answer; `None` for a round of votes.
    table: Option<Rc<Table>>,
}

/// An instance that routes requests.
pub struct Router {
    /// Number of the instance.
    pub instance: usize,
    /// Last table that was read.
    pub table: Rc<Table>,
    /// Lease under which the instance may route.
    pub lease: RoutingLease,
    /// Table revision that the instance has acknowledged.
    pub acked_revision: Revision,
    /// Whether an acknowledgement was requested, which makes the next read immediate.
    pub is_ack_requested: bool,
    /// Time of the last answer of each server to a probe.
    pub last_seen: Vec<Time>,
    /// Owner of each scope by number; the last entry is the hot key.
    routes: Vec<Option<usize>>,
    next_read: Time,
    pending: Option<PendingRead>,
}

impl Router {
    /// An instance whose first read is due at `phase`.
    pub fn new(instance: usize, table: &Rc<Table>, phase: Duration) -> Self {
        Self {
            instance,
            table: Rc::clone(table),
            lease: RoutingLease::default(),
            acked_revision: Revision(0),
            is_ack_requested: false,
            last_seen: vec![Time::ZERO; SERVER_COUNT + 1],
            routes: vec![None; SHARD_COUNT + 1],
            next_read: Time::ZERO + phase,
            pending: None,
        }
    }

    /// Acknowledges the present revision, then applies the answer of a read that was started in
    /// the previous step. Does nothing more during a round of votes.
    pub fn receive_read(&mut self, strategy: Strategy, hot: KeyHash) {
        self.acked_revision = self.table.revision();
        let Some(PendingRead { started, table }) =
            self.pending.take_if(|read| read.table.is_some())
        else {
            return;
        };
        // The lease counts from the start of the read, which is one step ago.
        let mut read = RoutingLease::from_read(started, started, LeaseDurations::default());
        if strategy == Strategy::Majority {
            read.own_domain_until = Time::ZERO;
        }
        self.lease = self.lease.merge(read);
        let table = table.unwrap();
        if table.revision() > self.table.revision() || self.routes[0].is_none() {
            self.table = table;
            self.rebuild_routes(hot);
        }
    }

    /// Ends a round of votes that was started in the previous step, and extends the lease for
    /// the own domain on a majority of `voters`. A confirmer with a newer revision votes
    /// against. Votes arrive as late as possible, which is the worst case for overlaps.
    pub fn receive_votes(&mut self, votes: usize, has_newer: bool, voters: usize) {
        if let Some(read) = self.pending.take()
            && !has_newer
            && votes > voters / 2
        {
            let end = read.started + LeaseDurations::default().routing;
            self.lease.own_domain_until = self.lease.own_domain_until.max(end);
        }
    }

    /// Whether a round of votes is in progress.
    pub fn is_voting(&self) -> bool {
        self.pending
            .as_ref()
            .is_some_and(|read| read.table.is_none())
    }

    /// Starts a read if one is due. Without access to the platform, a round of votes is started
    /// instead, under the majority strategy only.
    pub fn start_read(
        &mut self,
        strategy: Strategy,
        faults: &FaultState,
        platform_table: &Rc<Table>,
        now: Time,
    ) {
        let platform = faults.reaches_platform(self.instance);
        let due = now >= self.next_read || (self.is_ack_requested && platform);
        if !due || !(platform || strategy == Strategy::Majority) {
            return;
        }
        self.is_ack_requested = false;
        self.next_read = now + READ_INTERVAL;
        self.pending = Some(PendingRead {
            started: now,
            table: platform.then(|| Rc::clone(platform_table)),
        });
    }

    /// Records the servers that answer a probe now. With a router for each server, a server is
    /// reachable only while its router runs.
    pub fn probe_servers(&mut self, strategy: Strategy, faults: &FaultState, now: Time) {
        for server in 0..self.last_seen.len() {
            let router = strategy != Strategy::RouterPerServer || faults.is_instance_up(server);
            if router && faults.is_server_up(server) && faults.is_connected(self.instance, server) {
                self.last_seen[server] = now;
            }
        }
    }

    /// Whether a server has not answered probes for `LOST_AFTER`.
    pub fn is_lost(&self, server: usize, now: Time) -> bool {
        now - self.last_seen[server] >= LOST_AFTER
    }

    fn rebuild_routes(&mut self, hot: KeyHash) {
        for shard in 0..SHARD_COUNT {
            self.routes[shard] = routable_owner(&self.table, Scope::Shard(ShardId(shard as u32)));
        }
        let is_extracted = assignment(&self.table, &service_name(), Scope::Key(hot)).is_some();
        self.routes[SHARD_COUNT] = match is_extracted {
            true => routable_owner(&self.table, Scope::Key(hot)),
            false => self.routes[super::cluster::KeyLoads::shard_of(hot)],
        };
    }

    /// Server to which the instance routes a scope.
    pub fn owner(&self, scope: usize) -> Option<usize> {
        self.routes[scope]
    }

    /// Whether the lease and the strategy allow sending to a server now.
    pub fn may_send(&self, trial: &Trial, server: usize, now: Time) -> bool {
        let is_own_domain = server % DOMAINS == self.instance % DOMAINS;
        let may_use_server = trial.strategy != Strategy::RouterPerServer || server == self.instance;
        may_use_server && self.lease.allows(now, is_own_domain, trial.grace)
    }

    /// Whether the instance's own table lists it under this incarnation.
    pub fn is_listed<R: ProtocolRules>(&self) -> bool {
        let key = RowKey::Instance(format!("instance-{}", self.instance).parse().unwrap());
        let row: Option<&InstanceRow> = match self.table.get(&key).map(|found| &found.value) {
            Some(Row::Instance(row)) => Some(row),
            _ => None,
        };
        row.is_some_and(|row| Membership::<R>::is_listed(&self.table, &Member::from_row(row)))
    }
}

/// Owner of a scope, unless the scope is moving.
fn routable_owner(table: &Table, scope: Scope) -> Option<usize> {
    let found = assignment(table, &service_name(), scope)?.value;
    found.is_routable().then(|| parse_number(found.owner.id()))
}
