//! Instances, servers and the platform, in steps of virtual time.

use {
    super::{
        report::Measured,
        rows::*,
        scenario::{Scenario, What},
        way::{Kind, Way},
    },
    citron_core::{
        id::{Epoch, Revision},
        membership::{Confirmation, Member},
        ownership::*,
        table::*,
        time::Time,
    },
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{collections::BTreeMap, rc::Rc, time::Duration},
};

const STEP: Duration = Duration::from_millis(50);
pub const DOMAINS: usize = 3;
pub const INSTANCES: usize = 9;
pub const SERVERS: usize = 6;
pub const SHARDS: usize = 32;
/// A server that has not been reached for so long counts as lost.
const DETECT: Duration = Duration::from_millis(500);
/// An instance that is lost is expelled after so long.
const EXPEL: Duration = Duration::from_secs(10);
/// The pause between an instance's reads of the platform.
const READ: Duration = Duration::from_millis(400);

/// Owner of each shard, and whether it takes requests.
pub type Owners = Rc<Vec<(usize, bool)>>;

#[derive(Debug, Clone)]
struct Instance {
    revision: Revision,
    owners: Owners,
    leave: Confirmation,
    read: Time,
}

/// One run.
#[derive(Debug)]
pub struct Cluster {
    scenario: Scenario,
    way: Way,
    now: Time,
    table: Table,
    owners: Owners,
    instances: Vec<Instance>,
    /// Movers by shard, and when each saw the release.
    movers: BTreeMap<usize, (Mover, Time)>,
    planner: Option<usize>,
    /// Since when a domain has not reached a server.
    missing: BTreeMap<(usize, usize), Time>,
    /// Which servers each domain reaches, and which it counts as not lost.
    served: [[bool; SERVERS]; DOMAINS],
    kept: [Vec<usize>; DOMAINS],
    quorum: [bool; DOMAINS],
    unreachable: Vec<u64>,
    moves: u64,
    twofold: u64,
}

impl Cluster {
    /// A cluster at rest.
    pub fn new(scenario: Scenario, way: Way, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let table = first_table(way.grace);
        let owners = owners(&table);
        let instance = |_| Instance {
            revision: table.revision(),
            owners: Rc::clone(&owners),
            leave: Confirmation::default(),
            read: Time::from_micros(random.random_range(1..400_000)),
        };
        let instances = (0..INSTANCES).map(instance).collect();
        Self {
            scenario,
            way,
            now: Time::ZERO,
            table,
            owners,
            instances,
            movers: BTreeMap::new(),
            planner: None,
            missing: BTreeMap::new(),
            served: [[true; SERVERS]; DOMAINS],
            kept: Default::default(),
            quorum: [true; DOMAINS],
            unreachable: vec![0; SHARDS * DOMAINS],
            moves: 0,
            twofold: 0,
        }
    }

    /// Runs to the end; the first second only fills the instances.
    pub fn run(mut self) -> Measured {
        let end = Time::ZERO + Duration::from_secs(self.scenario.length);
        while self.now < end {
            self.now = self.now + STEP;
            self.notice();
            self.read();
            if self.way.kind != Kind::Modulo {
                self.plan();
                self.move_on();
                self.strike();
            }
            if self.now > Time::from_micros(1_000_000) {
                self.measure();
            }
        }
        self.result()
    }

    fn is(&self, what: What) -> bool {
        let at = |seconds| Time::ZERO + Duration::from_secs(seconds);
        let on = |f: &&super::scenario::Fault| self.now >= at(f.from) && self.now < at(f.to);
        let mut on = self.scenario.faults.iter().filter(on);
        on.any(|fault| fault.what == what)
    }

    fn reach(&self, a: usize, b: usize) -> bool {
        a == b || !(self.is(What::Cut(a)) || self.is(What::Cut(b)))
    }

    fn has_platform(&self, instance: usize) -> bool {
        let up = !self.is(What::Platform) && !self.is(What::Instance(instance));
        up && !self.is(What::Cut(instance % DOMAINS))
    }

    fn serves(&self, domain: usize, server: usize) -> bool {
        self.served[domain][server]
    }

    fn notice(&mut self) {
        for domain in 0..DOMAINS {
            for server in 0..SERVERS {
                let served = self.reach(domain, server % DOMAINS) && !self.is(What::Server(server));
                self.served[domain][server] = served;
                let key = (domain, server);
                if served {
                    self.missing.remove(&key);
                } else {
                    self.missing.entry(key).or_insert(self.now);
                }
            }
            let kept = (0..SERVERS).filter(|&s| !self.is_lost(domain, s));
            self.kept[domain] = kept.collect();
            self.quorum[domain] = self.has_quorum(domain);
        }
    }

    fn is_lost(&self, domain: usize, server: usize) -> bool {
        let since = self.missing.get(&(domain, server));
        let lost = since.is_some_and(|&since| self.now - since >= DETECT);
        lost || self.is(What::Drain(server))
    }

    fn read(&mut self) {
        for number in 0..INSTANCES {
            let behind = self.instances[number].revision < self.table.revision();
            let due = self.now >= self.instances[number].read;
            if !self.has_platform(number) || !(due || behind) {
                continue;
            }
            let read = Confirmation::of_read(self.now, self.now, Spans::default());
            let instance = &mut self.instances[number];
            instance.leave = instance.leave.later(read);
            instance.read = self.now + READ;
            if behind {
                instance.revision = self.table.revision();
                instance.owners = Rc::clone(&self.owners);
            }
        }
    }

    fn apply(&mut self, commit: Commit) {
        let since = self.table.revision();
        let revision = Revision(since.0 + 1);
        for write in &commit.writes {
            let found = self.table.get(&write.key).map(|row| row.version);
            assert_eq!(found.unwrap_or_default(), write.expect);
        }
        let rows = commit.writes.into_iter();
        let rows = rows.map(|w| (w.key, revision, w.row)).collect();
        self.table
            .apply(Changes {
                since,
                revision,
                rows,
            })
            .unwrap();
        self.owners = owners(&self.table);
    }

    /// The first instance that reaches the platform moves the shards of servers
    /// that it cannot reach; another one takes its moves over, waits anew.
    fn plan(&mut self) {
        let planner = (0..INSTANCES).find(|&number| self.has_platform(number));
        if planner != self.planner {
            self.movers.clear();
            self.planner = planner;
        }
        let Some(domain) = planner.map(|number| number % DOMAINS) else {
            return;
        };
        let kept = self.kept[domain].clone();
        for shard in 0..SHARDS {
            let (owner, open) = self.owners[shard];
            if !open || kept.contains(&owner) || kept.is_empty() {
                continue;
            }
            let to = best(&kept, shard);
            let begun = begin_move(&self.table, &service_name(), scope(shard), &server_name(to));
            self.apply(begun.unwrap());
        }
    }

    fn move_on(&mut self) {
        let Some(planner) = self.planner else { return };
        for shard in 0..SHARDS {
            if self.owners[shard].1 {
                self.movers.remove(&shard);
                continue;
            }
            if !self.movers.contains_key(&shard) {
                let spans = Spans::default();
                let taken =
                    Mover::take_up(&self.table, &service_name(), scope(shard), spans, self.now);
                self.movers.insert(shard, (taken.unwrap().0, self.now));
            }
            for event in self.events(planner, shard) {
                let (mover, _) = self.movers.get_mut(&shard).unwrap();
                let actions = mover.step(&self.table, event, self.now);
                let commits = actions.into_iter().filter_map(|action| match action {
                    MoveAction::Commit(commit) => Some(commit),
                    _ => None,
                });
                for commit in commits.collect::<Vec<_>>() {
                    self.apply(commit);
                    self.moves += 1;
                }
            }
        }
    }

    fn events(&self, planner: usize, shard: usize) -> Vec<MoveEvent> {
        let (old, _) = self.owners[shard];
        let domain = planner % DOMAINS;
        let mut events = vec![MoveEvent::Tick];
        if self.serves(domain, old) {
            let epoch = Epoch(u64::MAX);
            events.push(MoveEvent::Revoked { epoch });
        }
        let missing = self.movers[&shard].0.missing();
        let acks: Vec<Member> = missing
            .into_iter()
            .filter(|m| self.acks(domain, m))
            .collect();
        events.extend(acks.into_iter().map(|member| {
            MoveEvent::Acked(Ack {
                instance: member.instance,
                incarnation: member.incarnation,
                revision: self.table.revision(),
            })
        }));
        if self.way.kind == Kind::Confirmers && self.is_confirmed(planner, shard) {
            events.push(MoveEvent::OwnerGone);
        }
        events
    }

    fn acks(&self, domain: usize, member: &Member) -> bool {
        let number = instance_number(member);
        let alive = !self.is(What::Instance(number)) && self.reach(domain, number % DOMAINS);
        alive && self.instances[number].revision == self.table.revision()
    }

    /// A majority of the old owner's domain knows of the release for so long
    /// that whoever it confirmed before has stopped.
    fn is_confirmed(&self, planner: usize, shard: usize) -> bool {
        let (old, _) = self.owners[shard];
        let home = old % DOMAINS;
        let known = |&n: &usize| self.acks(planner % DOMAINS, &member(n));
        let known = (0..INSTANCES).filter(|n| n % DOMAINS == home).filter(known);
        let begun = self.movers[&shard].1;
        let wait = Strict::wait(Spans::default().confirm);
        known.count() >= 2 && self.now >= begun + wait
    }

    /// Lost instances are expelled, and struck off after the longest leave.
    fn strike(&mut self) {
        let longest = self.way.grace.max(Spans::default().confirm);
        let wait = EXPEL + Strict::wait(longest);
        for number in 0..INSTANCES {
            let mut faults = self.scenario.faults.iter();
            let lost = faults.find(|f| f.what == What::Instance(number));
            let due = lost.is_some_and(|f| self.now - Time::from_micros(f.from * 1_000_000) > wait);
            let key = RowKey::Instance(member(number).instance);
            let Some(version) = self.table.get(&key).map(|row| row.version).filter(|_| due) else {
                continue;
            };
            let write = Write {
                key,
                expect: version,
                row: None,
            };
            self.apply(Commit {
                writes: vec![write],
                history: None,
            });
        }
    }

    /// Where an instance sends a shard's requests now.
    fn route(&self, number: usize, shard: usize) -> Option<usize> {
        let domain = number % DOMAINS;
        if self.way.kind == Kind::Modulo {
            let kept = &self.kept[domain];
            return Some(kept[shard % kept.len()]);
        }
        let instance = &self.instances[number];
        let (server, open) = instance.owners[shard];
        let own = server % DOMAINS == domain;
        let quorum = self.way.kind != Kind::Confirmers || self.quorum[domain];
        let grace = if quorum {
            self.way.grace
        } else {
            Duration::ZERO
        };
        let leave = instance.leave.allows(self.now, own, grace);
        (open && leave).then_some(server)
    }

    fn has_quorum(&self, domain: usize) -> bool {
        let mine = (0..INSTANCES).filter(|n| n % DOMAINS == domain);
        mine.filter(|&n| !self.is(What::Instance(n))).count() >= 2
    }

    fn measure(&mut self) {
        let alive = |number: &usize| !self.is(What::Instance(*number));
        let live: Vec<usize> = (0..INSTANCES).filter(alive).collect();
        for shard in 0..SHARDS {
            let mut owners = Vec::new();
            for domain in 0..DOMAINS {
                let (mut served, mut asked) = (0, 0);
                for number in live.iter().filter(|n| **n % DOMAINS == domain) {
                    let server = self.route(*number, shard);
                    let server = server.filter(|&server| self.serves(domain, server));
                    asked += 1;
                    served += u64::from(server.is_some());
                    owners.extend(server);
                }
                let lost = STEP.as_millis() as u64 * (asked - served) / asked;
                self.unreachable[shard * DOMAINS + domain] += lost;
            }
            owners.sort_unstable();
            owners.dedup();
            if owners.len() > 1 {
                self.twofold += STEP.as_millis() as u64;
            }
        }
    }

    fn result(&self) -> Measured {
        let mut counts = [0_u64; SERVERS];
        let mut churn = self.moves;
        for shard in 0..SHARDS {
            // Modulo has no owners; what instance 1 sees stands for all.
            let now = match self.way.kind {
                Kind::Modulo => self.route(1, shard).unwrap(),
                _ => self.owners[shard].0,
            };
            counts[now] += 1;
            let moved = self.way.kind == Kind::Modulo && now != shard % SERVERS;
            churn += u64::from(moved);
        }
        let kept = self.kept[1].len() as u64;
        let total: u64 = self.unreachable.iter().sum();
        Measured {
            mean: total / self.unreachable.len() as u64,
            worst: self.unreachable.iter().copied().max().unwrap_or(0),
            churn: churn * 100 / SHARDS as u64,
            imbalance: counts.iter().max().unwrap() * 100 * kept / SHARDS as u64,
            twofold: self.twofold,
        }
    }
}
