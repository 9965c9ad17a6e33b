//! One instance: its reads of the platform, its leave and its map.

use {
    super::{
        cluster::{SERVERS, SHARDS, number, service},
        scenario::{DOMAINS, Net},
        strategy::{Trial, Way},
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
pub const READ_PAUSE: Duration = Duration::from_millis(400);
/// A server that was not seen for so long counts as lost, a probe's pause
/// included.
pub const LOST_AFTER: Duration = Duration::from_millis(850);

/// A question under way; its answer comes one step later.
struct Read {
    begun: Time,
    /// What the platform answers; `None` for a round of votes.
    table: Option<Rc<Table>>,
}

pub struct Router {
    pub instance: usize,
    pub table: Rc<Table>,
    pub leave: RoutingLease,
    /// The revision that others have heard of.
    pub acked: Revision,
    /// Asked to acknowledge, so that it reads at once.
    pub asked: bool,
    /// When each server last answered.
    pub seen: Vec<Time>,
    map: Vec<Option<usize>>,
    next: Time,
    read: Option<Read>,
}

impl Router {
    pub fn new(instance: usize, table: &Rc<Table>, phase: Duration) -> Self {
        Self {
            instance,
            table: Rc::clone(table),
            leave: RoutingLease::default(),
            acked: Revision(0),
            asked: false,
            seen: vec![Time::ZERO; SERVERS + 1],
            map: vec![None; SHARDS + 1],
            next: Time::ZERO + phase,
            read: None,
        }
    }

    /// Hears the answer to the last question, if it is not a round of votes.
    pub fn hear(&mut self, way: Way, hot: KeyHash) {
        self.acked = self.table.revision();
        let Some(Read { begun, table }) = self.read.take_if(|read| read.table.is_some()) else {
            return;
        };
        // The answer is a step old; the confirmation counts from the begin.
        let mut read = RoutingLease::from_read(begun, begun, LeaseDurations::default());
        if way == Way::Majority {
            read.own_domain_until = Time::ZERO;
        }
        self.leave = self.leave.merge(read);
        let table = table.unwrap();
        if table.revision() > self.table.revision() || self.map[0].is_none() {
            self.table = table;
            self.draw(hot);
        }
    }

    /// Counts a round of votes that was begun in the last step. A confirmer
    /// that knows a newer revision votes against; its answer is as late as can
    /// be, which tells the most.
    pub fn hear_votes(&mut self, votes: usize, newer: bool, most: usize) {
        if let Some(read) = self.read.take()
            && !newer
            && votes > most / 2
        {
            let end = read.begun + LeaseDurations::default().routing;
            self.leave.own_domain_until = self.leave.own_domain_until.max(end);
        }
    }

    pub fn votes_due(&self) -> bool {
        self.read.as_ref().is_some_and(|read| read.table.is_none())
    }

    /// Begins what is due: a read, or a round of votes if cut off.
    pub fn ask(&mut self, way: Way, net: &Net, head: &Rc<Table>, now: Time) {
        let platform = net.platform(self.instance);
        let due = now >= self.next || (self.asked && platform);
        if !due || !(platform || way == Way::Majority) {
            return;
        }
        self.asked = false;
        self.next = now + READ_PAUSE;
        self.read = Some(Read {
            begun: now,
            table: platform.then(|| Rc::clone(head)),
        });
    }

    pub fn probe(&mut self, way: Way, net: &Net, now: Time) {
        for server in 0..self.seen.len() {
            let router = way != Way::Router || net.instance_up(server);
            if router && net.server_up(server) && net.link(self.instance, server) {
                self.seen[server] = now;
            }
        }
    }

    pub fn misses(&self, server: usize, now: Time) -> bool {
        now - self.seen[server] >= LOST_AFTER
    }

    fn draw(&mut self, hot: KeyHash) {
        for shard in 0..SHARDS {
            self.map[shard] = open_owner(&self.table, Scope::Shard(ShardId(shard as u32)));
        }
        let alone = assignment(&self.table, &service(), Scope::Key(hot)).is_some();
        self.map[SHARDS] = match alone {
            true => open_owner(&self.table, Scope::Key(hot)),
            false => self.map[super::cluster::Keys::shard(hot)],
        };
    }

    /// Where its map sends a scope.
    pub fn owner(&self, scope: usize) -> Option<usize> {
        self.map[scope]
    }

    /// Whether it may send to a server now.
    pub fn may(&self, trial: &Trial, server: usize, now: Time) -> bool {
        let own = server % DOMAINS == self.instance % DOMAINS;
        let mine = trial.way != Way::Router || server == self.instance;
        mine && self.leave.allows(now, own, trial.grace)
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

fn open_owner(table: &Table, scope: Scope) -> Option<usize> {
    let found = assignment(table, &service(), scope)?.value;
    found.is_routable().then(|| number(found.owner.id()))
}
