//! Everything around the planners.

use {
    crate::{planner::Planner, server::Server},
    citron_core::{
        id::ServerName,
        ranges::{
            Balance, BalanceLimits, Capacity, Demand, LeaseBook, LeaseTimes, MoveNews, Order,
            OrderEnd, OwnerHint, OwnerState, Owners, RangeMap, Reconciler, Scope,
        },
        time::{StoreClock, StoreTime, Time},
    },
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::time::Duration,
};

const STEP: Duration = Duration::from_millis(50);
const SERVERS: usize = 5;

/// A safeguard that is taken away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    /// A new planner does not wait for what the former one may have sent.
    NoForeign,
    /// A new planner knows of the one just before it only: an earlier one that
    /// was cut off may still renew when the one after it is killed.
    NoChain,
    /// A planner without the store renews for ever.
    NeverBlind,
    /// Leases are thought to be shorter than granted.
    ShortLease,
    /// A release that was not answered counts as done.
    LostRelease,
    /// A server that leaves counts as ended.
    LeavingEnded,
    /// Maps are written whoever leads.
    NoLeadership,
    /// A commit that was not answered counts as done.
    LostCommit,
    /// A planner that is killed and replaced counts as never having sent: the
    /// span for leases given by instances that are listed no more is zero.
    NoQuiet,
    /// A grant that was not answered counts as never sent.
    LostGrant,
    /// The end of a lost owner's lease is written as if it had been granted long
    /// before it was.
    EarlyExpiry,
    /// Every other planner takes the store's clock for later than it is.
    ClockAhead,
}

impl Flaw {
    pub const ALL: [Self; 12] = [
        Self::NoForeign,
        Self::NoChain,
        Self::NeverBlind,
        Self::ShortLease,
        Self::LostRelease,
        Self::LeavingEnded,
        Self::NoLeadership,
        Self::LostCommit,
        Self::NoQuiet,
        Self::LostGrant,
        Self::EarlyExpiry,
        Self::ClockAhead,
    ];
}

/// An order on its way to a server.
#[derive(Debug)]
struct Sent {
    arrives: Time,
    /// When it is carried out; later than it arrives if the server is late.
    done: Time,
    planner: u64,
    order: Order,
    answered: bool,
}

/// A commit that the store carries out late, if its condition still holds then.
#[derive(Debug)]
struct LateCommit {
    due: Time,
    planner: u64,
    map: RangeMap,
}

#[derive(Debug)]
pub struct World {
    now: Time,
    rng: ChaCha8Rng,
    flaw: Option<Flaw>,
    times: LeaseTimes,
    servers: Vec<Server>,
    /// Starts that have ended for certain, by name.
    ended: Vec<ServerName>,
    planners: Vec<Planner>,
    leader: u64,
    map: RangeMap,
    version: u64,
    sent: Vec<Sent>,
    late: Vec<LateCommit>,
    /// Releases that planners told the others of.
    news: Vec<MoveNews>,
    births: usize,
    pub commits: u64,
    /// Whether some servers get grants only, and their answers are lost.
    mutes: bool,
    /// Whether planners end when they are replaced, and none is cut off.
    kills: bool,
    /// Whether the store loses answers to commits and carries some out late.
    doubts: bool,
}

struct Listed<'a> {
    servers: &'a [Server],
    ended: &'a [ServerName],
    flaw: Option<Flaw>,
}

impl Owners for Listed<'_> {
    fn state(&self, server: &ServerName) -> OwnerState {
        if self.ended.contains(server) {
            return OwnerState::Ended;
        }
        let found = self.servers.iter().find(|known| known.name == *server);
        match found {
            Some(known) if known.up && !known.leaving => OwnerState::Serving,
            _ if self.flaw == Some(Flaw::LeavingEnded) => OwnerState::Ended,
            _ => OwnerState::Leaving,
        }
    }
}

impl World {
    pub fn new(seed: u64, flaw: Option<Flaw>) -> Self {
        let mut world = Self {
            now: Time::ZERO + Duration::from_secs(100),
            rng: ChaCha8Rng::seed_from_u64(seed),
            flaw,
            times: LeaseTimes::STANDARD,
            servers: Vec::new(),
            ended: Vec::new(),
            planners: Vec::new(),
            leader: 0,
            map: RangeMap::new(),
            version: 0,
            sent: Vec::new(),
            late: Vec::new(),
            news: Vec::new(),
            births: 0,
            commits: 0,
            mutes: false,
            kills: false,
            doubts: false,
        };
        for _ in 0..SERVERS {
            world.start_server();
        }
        world.take_over(false);
        world
    }

    /// The same with servers that for a while get nothing but the grants of some
    /// planners, and whose answers are lost: the worst a link can do to a lease.
    pub fn with_mutes(seed: u64, flaw: Option<Flaw>) -> Self {
        Self {
            mutes: true,
            ..Self::new(seed, flaw)
        }
    }

    /// The same with planners that are killed and replaced in quick succession, so
    /// that the end of a lease is written by one and read by the next.
    pub fn with_kills(seed: u64, flaw: Option<Flaw>) -> Self {
        Self {
            kills: true,
            ..Self::new(seed, flaw)
        }
    }

    /// The same with commits that are done without an answer, or done late, and planners
    /// that know of most releases of those before them.
    pub fn with_doubts(seed: u64, flaw: Option<Flaw>) -> Self {
        Self {
            doubts: true,
            ..Self::new(seed, flaw)
        }
    }

    pub fn step(&mut self) {
        self.now = self.now + STEP;
        self.disturb();
        self.deliver();
        self.commit_late();
        for at in 0..self.planners.len() {
            self.plan(at);
        }
    }

    /// No two servers hold a key.
    pub fn check(&self) -> Result<(), String> {
        let held = |server: &Server| {
            let live = server.holds.iter().filter(|hold| hold.until > self.now);
            live.cloned().collect::<Vec<_>>()
        };
        let up: Vec<&Server> = self.servers.iter().filter(|server| server.up).collect();
        for (at, one) in up.iter().enumerate() {
            for other in &up[at + 1..] {
                for (a, b) in held(one)
                    .iter()
                    .flat_map(|a| held(other).into_iter().map(move |b| (a.clone(), b)))
                {
                    if let Some(range) = a.range.common(b.range) {
                        return Err(format!(
                            "{range} is held by {} under {} and {} under {} at {}",
                            one.name, a.epoch, other.name, b.epoch, self.now
                        ));
                    }
                }
            }
        }
        Ok(())
    }

    /// Keys that some server holds, as a part of all.
    pub fn held(&self) -> f64 {
        let live = self.servers.iter().filter(|server| server.up);
        let holds = live.flat_map(|server| &server.holds);
        let keys: u32 = holds
            .filter(|hold| hold.until > self.now)
            .map(|hold| hold.range.len())
            .sum();
        f64::from(keys) / 65_536.0
    }

    fn chance(&mut self, per_mille: u32) -> bool {
        self.rng.random_range(0..1_000) < per_mille
    }

    fn disturb(&mut self) {
        if self.chance(6) {
            self.crash_server();
        }
        if self.chance(5) {
            let at = self.rng.random_range(0..self.servers.len());
            self.servers[at].leaving = true;
            self.start_server();
        }
        if self.kills {
            if self.chance(20) {
                self.take_over(true);
            }
        } else if self.chance(6) {
            // The planner is cut off; another takes over, and it does not know.
            let leader = self.leader;
            if let Some(planner) = self
                .planners
                .iter_mut()
                .find(|planner| planner.number == leader)
            {
                planner.connected = false;
            }
            self.take_over(false);
        }
        if self.chance(4) {
            self.take_over(true);
        }
        if self.chance(5) {
            self.cut_links();
        }
        if self.chance(1) {
            for planner in &mut self.planners {
                planner.connected = true;
            }
        }
    }

    /// Each planner reaches other servers from now on.
    fn cut_links(&mut self) {
        let names: Vec<ServerName> = self
            .servers
            .iter()
            .map(|server| server.name.clone())
            .collect();
        for at in 0..self.planners.len() {
            let mut cut = names.clone();
            cut.retain(|_| self.chance(300));
            let (mute, cut) = match self.mutes {
                true => cut.into_iter().partition(|_| self.chance(500)),
                false => (Vec::new(), cut),
            };
            self.planners[at].cut = cut;
            self.planners[at].mute = mute;
        }
    }

    fn crash_server(&mut self) {
        let at = self.rng.random_range(0..self.servers.len());
        let restarts = self.chance(600);
        let server = &mut self.servers[at];
        server.up = false;
        let name = server.name.clone();
        if restarts {
            // Its address shows another start: this one has surely ended.
            self.ended.push(name);
        }
        self.start_server();
    }

    fn start_server(&mut self) {
        self.births += 1;
        let name = format!("s-{}", self.births).parse().unwrap();
        let slow = self.chance(500);
        self.servers.push(Server::new(name, slow));
        if self.servers.len() > SERVERS + 6 {
            let gone = self.servers.iter().position(|server| {
                let held = server.holds.iter().any(|hold| hold.until > self.now);
                (!server.up || server.leaving) && !held
            });
            if let Some(at) = gone {
                self.servers.remove(at);
            }
        }
    }

    /// Another instance leads from now on; `killed` if the former one's process has ended.
    fn take_over(&mut self, killed: bool) {
        if killed {
            let leader = self.leader;
            self.planners.retain(|planner| planner.number != leader);
        }
        self.planners
            .retain(|planner| self.now - planner.confirmed < Duration::from_secs(60));
        let former = self.leader;
        self.leader += 1;
        let doubtful = self.planners.iter().any(|planner| {
            let known = self.flaw != Some(Flaw::NoChain) || planner.number == former;
            known && !planner.stopped
        });
        let foreign = match (self.flaw, doubtful) {
            (Some(Flaw::NoForeign), _) => self.now,
            (Some(Flaw::NoQuiet), false) => Time::ZERO,
            (_, false) => self.now,
            (_, true) => self.now + self.times.blind,
        };
        let mut times = self.times;
        if self.flaw == Some(Flaw::ShortLease) {
            times.hold /= 2;
        }
        let book = LeaseBook::new(times, foreign);
        let mut reconciler = Reconciler::new(self.map.clone(), book);
        for news in std::mem::take(&mut self.news) {
            if self.doubts && self.chance(700) {
                reconciler.note_release(&news);
            }
        }
        self.planners.push(Planner {
            number: self.leader,
            reconciler,
            version: self.version,
            connected: true,
            confirmed: self.now,
            clock: StoreClock::default(),
            ends: Vec::new(),
            cut: Vec::new(),
            mute: Vec::new(),
            stopped: false,
        });
    }

    fn plan(&mut self, at: usize) {
        let now = self.now;
        let capacities = self.capacities();
        let planner = &mut self.planners[at];
        if planner.stopped {
            return;
        }
        if planner.connected {
            planner.confirmed = now;
            let ahead = match self.flaw {
                Some(Flaw::ClockAhead) if planner.number % 2 == 1 => Duration::from_secs(8),
                _ => Duration::ZERO,
            };
            planner.clock.record(now, now, store_time(now + ahead));
            if planner.number != self.leader && self.flaw != Some(Flaw::NoLeadership) {
                // It reads that another leads, and plans no more.
                planner.stopped = true;
                return;
            }
        }
        let blind = now - planner.confirmed > self.times.blind;
        if blind && self.flaw != Some(Flaw::NeverBlind) {
            return;
        }
        let (due, later): (Vec<_>, Vec<_>) = planner.ends.drain(..).partition(|end| end.0 <= now);
        planner.ends = later;
        for (_, order, end) in due {
            planner.reconciler.ended(&order, end, now);
        }
        let listed = Listed {
            servers: &self.servers,
            ended: &self.ended,
            flaw: self.flaw,
        };
        let demand = Demand::default();
        let mut balance = Balance::new(BalanceLimits::STANDARD, &capacities, &demand);
        let scope = Scope {
            deal: true,
            even: true,
        };
        let orders = {
            let clock = planner.clock.clone();
            let reconciler = &mut planner.reconciler;
            reconciler.tick(now, &clock, &listed, &mut balance, scope)
        };
        for order in orders {
            match order {
                Order::Commit(map) => self.commit(at, map),
                order => self.send(at, order),
            }
        }
    }

    fn capacities(&self) -> Vec<Capacity> {
        let open = self
            .servers
            .iter()
            .filter(|server| server.up && !server.leaving);
        let capacity = |server: &Server| Capacity {
            server: server.name.clone(),
            rate: 20.0,
            takes: true,
        };
        open.map(capacity).collect()
    }

    fn commit(&mut self, at: usize, map: RangeMap) {
        let lost = self.chance(150);
        let flaw = self.flaw;
        let planner = &mut self.planners[at];
        let order = Order::Commit(map.clone());
        let leading = planner.number == self.leader || flaw == Some(Flaw::NoLeadership);
        let fits = planner.version == self.version || flaw == Some(Flaw::NoLeadership);
        if !planner.connected || (lost && flaw != Some(Flaw::LostCommit)) {
            planner
                .ends
                .push((self.now + STEP, order, OrderEnd::Unknown));
            return;
        }
        if lost {
            // Not done, and taken for done.
            planner
                .ends
                .push((self.now, order, OrderEnd::Done { handover: None }));
            return;
        }
        if !leading || !fits {
            planner.reconciler.reload(self.map.clone());
            planner.version = self.version;
            return;
        }
        let number = planner.number;
        if self.doubts && self.chance(60) {
            let due = self.now + Duration::from_millis(self.rng.random_range(500..3_000));
            let planner = number;
            return self.late.push(LateCommit { due, planner, map });
        }
        // Without an answer it is sent again, and then read back.
        let answered = match self.doubts && self.chance(60) {
            true => self.now + Duration::from_millis(self.rng.random_range(500..3_000)),
            false => self.now,
        };
        self.apply(map);
        let planner = &mut self.planners[at];
        planner.version = self.version;
        planner
            .ends
            .push((answered, order, OrderEnd::Done { handover: None }));
    }

    fn apply(&mut self, map: RangeMap) {
        self.map = match self.flaw {
            Some(Flaw::EarlyExpiry) => with_early_expiries(&map, self.times.reach()),
            _ => map,
        };
        self.version += 1;
        self.commits += 1;
    }

    /// Carries out late commits whose condition still holds.
    fn commit_late(&mut self) {
        let now = self.now;
        let late = std::mem::take(&mut self.late);
        let (due, later): (Vec<_>, Vec<_>) = late.into_iter().partition(|late| late.due <= now);
        self.late = later;
        for LateCommit { planner, map, .. } in due {
            let fenced = self.flaw != Some(Flaw::NoLeadership);
            let planners = self.planners.iter();
            let mut found = planners.filter(|known| known.number == planner);
            let fits = found
                .next()
                .is_some_and(|known| known.version == self.version);
            if fenced && (planner != self.leader || !fits) {
                self.reload(planner);
                continue;
            }
            self.apply(map.clone());
            let (version, now) = (self.version, self.now);
            let mut planners = self.planners.iter_mut();
            if let Some(known) = planners.find(|known| known.number == planner) {
                known.version = version;
                let end = OrderEnd::Done { handover: None };
                known.ends.push((now, Order::Commit(map), end));
            }
        }
    }

    fn reload(&mut self, number: u64) {
        let mut planners = self.planners.iter_mut();
        if let Some(known) = planners.find(|known| known.number == number) {
            known.reconciler.reload(self.map.clone());
            known.version = self.version;
        }
    }

    fn send(&mut self, at: usize, order: Order) {
        // What is not there within the time of an order is reset and never arrives.
        let most = self.times.order.as_millis() as u64;
        let delay = match self.chance(850) {
            true => self.rng.random_range(1..10),
            false => self.rng.random_range(10..most),
        };
        let arrives = self.now + Duration::from_millis(delay);
        let late = self.chance(60);
        let done = match late {
            true => arrives + Duration::from_millis(self.rng.random_range(2_000..12_000)),
            false => arrives,
        };
        let to = match &order {
            Order::Grant(slice) => slice.owner.clone(),
            Order::Release { server, .. } => Some(server.clone()),
            Order::Commit(_) => None,
        };
        let planner = &self.planners[at];
        let cut = to.as_ref().is_some_and(|to| planner.cut.contains(to));
        let mute = to.is_some_and(|to| planner.mute.contains(&to));
        if let Order::Release { range, epoch, .. } = &order {
            self.news.push(MoveNews {
                range: *range,
                epoch: *epoch,
                place: OwnerHint::Released,
            });
        }
        let release = matches!(order, Order::Release { .. });
        let lost = cut || (mute && release) || self.chance(50);
        let answered = !late && !mute;
        if lost || !answered {
            let over = self.now + self.times.order;
            // To a server that is cut off no connection is made at all.
            let end = match cut {
                true => OrderEnd::NotSent,
                false => self.unanswered(&order),
            };
            self.planners[at].ends.push((over, order.clone(), end));
        }
        if lost {
            return;
        }
        self.sent.push(Sent {
            arrives,
            done,
            planner: self.planners[at].number,
            order,
            answered,
        });
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later): (Vec<Sent>, Vec<Sent>) =
            self.sent.drain(..).partition(|sent| sent.done <= now);
        self.sent = later;
        for sent in due {
            let end = self.carry_out(&sent);
            self.tell(&sent, end);
        }
    }

    fn carry_out(&mut self, sent: &Sent) -> OrderEnd {
        let hold = self.times.hold;
        let name = match &sent.order {
            Order::Grant(slice) => slice.owner.clone().unwrap(),
            Order::Release { server, .. } => server.clone(),
            Order::Commit(_) => return OrderEnd::Unknown,
        };
        let found = self
            .servers
            .iter_mut()
            .find(|server| server.name == name && server.up);
        let Some(server) = found else {
            return OrderEnd::NotSent;
        };
        match &sent.order {
            Order::Grant(slice) => match server.grant(slice, hold, sent.arrives) {
                true => OrderEnd::Done { handover: None },
                false => OrderEnd::Outdated,
            },
            Order::Release { range, epoch, .. } => {
                server.release(*range, *epoch);
                OrderEnd::Done {
                    handover: Some("warm".to_string()),
                }
            }
            Order::Commit(_) => OrderEnd::Unknown,
        }
    }

    fn unanswered(&self, order: &Order) -> OrderEnd {
        match (order, self.flaw) {
            (Order::Release { .. }, Some(Flaw::LostRelease)) => OrderEnd::Done { handover: None },
            (Order::Grant(_), Some(Flaw::LostGrant)) => OrderEnd::NotSent,
            _ => OrderEnd::Unknown,
        }
    }

    fn tell(&mut self, sent: &Sent, end: OrderEnd) {
        if !sent.answered {
            return;
        }
        let end = match self.chance(60) {
            true => self.unanswered(&sent.order),
            false => end,
        };
        let at = self.now;
        let planner = self
            .planners
            .iter_mut()
            .find(|planner| planner.number == sent.planner);
        if let Some(planner) = planner {
            planner.ends.push((at, sent.order.clone(), end));
        }
    }
}

fn store_time(now: Time) -> StoreTime {
    StoreTime(now.as_micros() / 1_000)
}

fn with_early_expiries(map: &RangeMap, by: Duration) -> RangeMap {
    let mut early = map.clone();
    for slice in map.slices() {
        if let Some(expiry) = slice.expiry {
            let by = by.as_millis() as u64;
            early.expire(slice.range, StoreTime(expiry.0.saturating_sub(by)));
        }
    }
    early
}
