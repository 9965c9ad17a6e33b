//! One instance: its reads of the platform, its leave and its map.

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

/// The pause between two reads of the platform, or two rounds of votes.
pub const READ_INTERVAL: Duration = Duration::from_millis(400);
/// A server that was not seen for so long counts as lost, a probe's pause
/// included.
pub const LOST_AFTER: Duration = Duration::from_millis(850);

/// A question under way; its answer comes one step later.
struct PendingRead {
    started: Time,
    /// What the platform answers; `None` for a round of votes.
    table: Option<Rc<Table>>,
}

pub struct Router {
    pub instance: usize,
    pub table: Rc<Table>,
    pub lease: RoutingLease,
    /// The revision that others have heard of.
    pub acked_revision: Revision,
    /// Asked to acknowledge, so that it reads at once.
    pub is_ack_requested: bool,
    /// When each server last answered.
    pub last_seen: Vec<Time>,
    routes: Vec<Option<usize>>,
    next_read: Time,
    pending: Option<PendingRead>,
}

impl Router {
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

    /// Hears the answer to the last question, if it is not a round of votes.
    pub fn receive_read(&mut self, strategy: Strategy, hot: KeyHash) {
        self.acked_revision = self.table.revision();
        let Some(PendingRead { started, table }) =
            self.pending.take_if(|read| read.table.is_some())
        else {
            return;
        };
        // The answer is a step old; the confirmation counts from the begin.
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

    /// Counts a round of votes that was begun in the last step. A confirmer
    /// that knows a newer revision votes against; its answer is as late as can
    /// be, which tells the most.
    pub fn receive_votes(&mut self, votes: usize, has_newer: bool, voters: usize) {
        if let Some(read) = self.pending.take()
            && !has_newer
            && votes > voters / 2
        {
            let end = read.started + LeaseDurations::default().routing;
            self.lease.own_domain_until = self.lease.own_domain_until.max(end);
        }
    }

    pub fn is_voting(&self) -> bool {
        self.pending
            .as_ref()
            .is_some_and(|read| read.table.is_none())
    }

    /// Begins what is due: a read, or a round of votes if cut off.
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

    pub fn probe_servers(&mut self, strategy: Strategy, faults: &FaultState, now: Time) {
        for server in 0..self.last_seen.len() {
            let router = strategy != Strategy::RouterPerServer || faults.is_instance_up(server);
            if router && faults.is_server_up(server) && faults.is_connected(self.instance, server) {
                self.last_seen[server] = now;
            }
        }
    }

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

    /// Where its map sends a scope.
    pub fn owner(&self, scope: usize) -> Option<usize> {
        self.routes[scope]
    }

    /// Whether it may send to a server now.
    pub fn may_send(&self, trial: &Trial, server: usize, now: Time) -> bool {
        let is_own_domain = server % DOMAINS == self.instance % DOMAINS;
        let may_use_server = trial.strategy != Strategy::RouterPerServer || server == self.instance;
        may_use_server && self.lease.allows(now, is_own_domain, trial.grace)
    }

    /// Its own row, while the table that it knows lists it.
    pub fn is_listed<R: ProtocolRules>(&self) -> bool {
        let key = RowKey::Instance(format!("instance-{}", self.instance).parse().unwrap());
        let row: Option<&InstanceRow> = match self.table.get(&key).map(|found| &found.value) {
            Some(Row::Instance(row)) => Some(row),
            _ => None,
        };
        row.is_some_and(|row| Membership::<R>::is_listed(&self.table, &Member::from_row(row)))
    }
}

fn routable_owner(table: &Table, scope: Scope) -> Option<usize> {
    let found = assignment(table, &service_name(), scope)?.value;
    found.is_routable().then(|| parse_number(found.owner.id()))
}
