//! Simulated environment of the planners: servers, network, store and faults.

use {
    crate::{
        planner::{Claim, Planner},
        server::{HeldRange, Server, Work},
        violation::{Breach, Granter, Holder, Violation},
    },
    citron_core::{
        id::{Epoch, ServerName, StoreEra},
        ranges::{
            BalanceLimits, Balancer, Capacity, Demand, EraStart, KeyRange, LeaseTimes,
            LeaseTracker, MoveNotice, Order, OrderOutcome, OwnerHint, OwnerState, Owners,
            PlanScope, RangeMap, Reconciler, Slice,
        },
        time::{StoreClock, StoreTime, Time},
    },
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{collections::VecDeque, time::Duration},
};

/// Simulated time per step.
const STEP: Duration = Duration::from_millis(50);
/// Age of the oldest copy from which the store comes back.
const COPY_AGE_MAX: Duration = Duration::from_secs(4);
/// Longest partition, longer than a planner acts without the store and its leases last.
const PARTITION_MAX: Duration = Duration::from_secs(45);
/// Longest time from the start of a server to its registration.
const REGISTRATION_MAX: Duration = Duration::from_secs(1);
/// Duration of a series of restores.
const BURST: Duration = Duration::from_secs(3);
/// Servers started at first; a crashed or leaving one is replaced.
const SERVERS: usize = 5;

/// Safeguard that is removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    /// A new planner does not wait for grants that its predecessors may have sent.
    IgnorePreviousPlanners,
    /// A new planner waits only for its direct predecessor, although an earlier planner
    /// that was cut off may still renew after that predecessor was killed.
    OnlyLastPlanner,
    /// A planner that does not reach the store keeps renewing without limit.
    RenewWithoutStore,
    /// The planner assumes shorter leases than it grants.
    ShortLease,
    /// An unanswered release counts as done.
    AssumeReleased,
    /// A leaving server counts as having released its keys.
    AssumeLeavingEnded,
    /// A server whose process has ended counts as having released its keys.
    AssumeEndedReleased,
    /// Maps are written without checking the leadership.
    NoLeaderCheck,
    /// An unanswered commit counts as done.
    AssumeCommitted,
    /// A planner that was killed and replaced counts as never having sent grants: the new
    /// planner does not wait for leases granted by instances that are no longer listed.
    NoQuietPeriod,
    /// An unanswered grant counts as not sent.
    AssumeUnsentGrant,
    /// The end of a lost owner's lease is written too early, by the longest validity of a
    /// grant.
    EarlyExpiry,
    /// Every other planner's estimate of the store's clock is 8 s ahead.
    ClockAhead,
    /// A new planner trusts the map of a store that came back from a copy.
    TrustCopy,
    /// A new planner takes servers that are not registered for ones that hold no keys.
    TrustRegistry,
    /// A planner that lives on takes the map of the copy for its own.
    ForgetMoves,
    /// Epochs are counted on from those of the copy.
    ReuseEpochs,
    /// Commits of an earlier era match versions that are given out again.
    MatchReusedVersions,
    /// A response that belongs to another call counts as that to a release which the server has
    /// not carried out yet.
    TrustStrayResponse,
}

impl Flaw {
    pub const ALL: [Self; 19] = [
        Self::IgnorePreviousPlanners,
        Self::OnlyLastPlanner,
        Self::RenewWithoutStore,
        Self::ShortLease,
        Self::AssumeReleased,
        Self::AssumeLeavingEnded,
        Self::AssumeEndedReleased,
        Self::NoLeaderCheck,
        Self::AssumeCommitted,
        Self::NoQuietPeriod,
        Self::AssumeUnsentGrant,
        Self::EarlyExpiry,
        Self::ClockAhead,
        Self::TrustCopy,
        Self::TrustRegistry,
        Self::ForgetMoves,
        Self::ReuseEpochs,
        Self::MatchReusedVersions,
        Self::TrustStrayResponse,
    ];
}

/// Order on its way to a server.
#[derive(Debug)]
struct OrderInTransit {
    arrival: Time,
    /// Time of execution; later than the arrival if the server is delayed.
    execution: Time,
    granter: Granter,
    order: Order,
    is_answered: bool,
}

/// Commit that the store executes late, if its condition is still met then.
#[derive(Debug)]
struct DelayedCommit {
    due: Time,
    /// Era in which the commit was sent, which its condition names.
    era: StoreEra,
    planner: u64,
    map: RangeMap,
}

/// Rows of the store before they were written at some time.
#[derive(Debug, Clone)]
struct Copy {
    at: Time,
    map: RangeMap,
    leader: Claim,
}

/// Simulation of planners, servers and the store.
#[derive(Debug)]
pub struct World {
    now: Time,
    rng: ChaCha8Rng,
    flaw: Option<Flaw>,
    times: LeaseTimes,
    servers: Vec<Server>,
    /// Processes that have certainly ended, by name.
    ended: Vec<ServerName>,
    planners: Vec<Planner>,
    /// Claim that the leadership row names.
    leader: Claim,
    /// Number of claims so far.
    claims: u64,
    map: RangeMap,
    version: u64,
    in_transit: Vec<OrderInTransit>,
    delayed: Vec<DelayedCommit>,
    /// Releases that planners have announced to the other instances.
    releases: Vec<MoveNotice>,
    servers_started: usize,
    /// Number of commits executed.
    pub commits: u64,
    /// Whether some servers receive only grants, and their answers are lost.
    one_way_links: bool,
    /// Whether planners are killed when they are replaced, and none is cut off.
    planner_kills: bool,
    /// Whether the store loses answers to commits and executes some commits late.
    late_commits: bool,
    /// Whether the store comes back from a copy at times.
    restores: bool,
    /// Number of times that the store came back from a copy.
    era: StoreEra,
    /// Rows of the last seconds.
    copies: VecDeque<Copy>,
    /// Whether planners that were cut off and replaced claim again after a restore.
    replaced_planners: bool,
    /// Whether planners are partitioned from parts of the servers for a long time.
    partitions: bool,
    /// End of the partition, and the servers on the smaller side.
    partition: (Time, Vec<ServerName>),
    /// Whether restores follow one another within seconds.
    restore_bursts: bool,
    /// End of a series of restores.
    burst_until: Time,
    /// Whether servers restart under their former id, at the same address.
    same_ids: bool,
    /// Whether planners reload their map at times, and learn of orders that were sent before.
    late_outcomes: bool,
    /// Number of replaced planners that continued with their own map.
    pub replaced_resumes: u64,
    /// Keys and holder of every grant that was accepted.
    accepted: Vec<(KeyRange, Holder)>,
    violation: Option<Violation>,
    /// First commit that lowered the epoch of a key.
    pub lowered_epoch: Option<Slice>,
}

/// Listed servers as the planners see them.
struct Listed<'a> {
    servers: &'a [Server],
    ended: &'a [ServerName],
}

impl Owners for Listed<'_> {
    fn state(&self, server: &ServerName) -> OwnerState {
        if self.ended.contains(server) {
            return OwnerState::Ended;
        }
        let found = self.servers.iter().find(|known| known.listed == *server);
        match found {
            Some(known) if known.is_up && !known.is_leaving && !known.is_unlisted => {
                OwnerState::Serving
            }
            _ => OwnerState::Leaving,
        }
    }

    fn is_registered(&self, server: &ServerName) -> bool {
        let found = self.servers.iter().find(|known| known.listed == *server);
        let is_ended = self.ended.contains(server);
        !is_ended && found.is_some_and(|known| known.is_up && !known.is_unlisted)
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
            leader: Claim(0),
            claims: 0,
            map: RangeMap::new(),
            version: 0,
            in_transit: Vec::new(),
            delayed: Vec::new(),
            releases: Vec::new(),
            servers_started: 0,
            commits: 0,
            one_way_links: false,
            planner_kills: false,
            late_commits: false,
            restores: false,
            era: StoreEra(0),
            copies: VecDeque::new(),
            replaced_planners: false,
            partitions: false,
            partition: (Time::ZERO, Vec::new()),
            restore_bursts: false,
            burst_until: Time::ZERO,
            same_ids: false,
            late_outcomes: false,
            replaced_resumes: 0,
            accepted: Vec::new(),
            violation: None,
            lowered_epoch: None,
        };
        for _ in 0..SERVERS {
            world.start_server();
        }
        world.take_over(false);
        world
    }

    /// Creates a world in which, for a while, some servers receive only the grants of
    /// some planners and their answers are lost: the worst case of a network link for
    /// leases.
    pub fn with_one_way_links(seed: u64, flaw: Option<Flaw>) -> Self {
        Self {
            one_way_links: true,
            ..Self::new(seed, flaw)
        }
    }

    /// Creates a world in which planners are killed and replaced in quick succession, so
    /// that the end of a lease is written by one planner and read by the next.
    pub fn with_planner_kills(seed: u64, flaw: Option<Flaw>) -> Self {
        Self {
            planner_kills: true,
            ..Self::new(seed, flaw)
        }
    }

    /// Creates a world in which commits are executed without an answer or late, and
    /// planners know most releases of their predecessors.
    pub fn with_late_commits(seed: u64, flaw: Option<Flaw>) -> Self {
        Self {
            late_commits: true,
            ..Self::new(seed, flaw)
        }
    }

    /// Creates a world in which the store comes back from copies up to [`COPY_AGE_MAX`] old,
    /// and planners are killed or cut off meanwhile.
    pub fn with_restores(seed: u64, flaw: Option<Flaw>) -> Self {
        Self {
            restores: true,
            late_commits: true,
            ..Self::new(seed, flaw)
        }
    }

    /// Creates a world with restores after which planners that were cut off and replaced, and
    /// that the copy names, claim again.
    pub fn with_replaced_planners(seed: u64, flaw: Option<Flaw>) -> Self {
        Self {
            replaced_planners: true,
            ..Self::with_restores(seed, flaw)
        }
    }

    /// Creates a world in which planners are partitioned from parts of the servers for up to
    /// [`PARTITION_MAX`]: some reach only the servers that the others do not reach.
    pub fn with_partitions(seed: u64, flaw: Option<Flaw>) -> Self {
        Self {
            partitions: true,
            ..Self::new(seed, flaw)
        }
    }

    /// Creates a world with partitions in which planners are killed before they reach all servers
    /// to which their predecessors have sent grants.
    pub fn with_kills_in_partitions(seed: u64, flaw: Option<Flaw>) -> Self {
        Self {
            partitions: true,
            ..Self::with_planner_kills(seed, flaw)
        }
    }

    /// Creates a world with partitions in which restores of the store follow one another within
    /// seconds, before servers have answered the releases of a fence.
    pub fn with_restore_bursts(seed: u64, flaw: Option<Flaw>) -> Self {
        Self {
            partitions: true,
            restore_bursts: true,
            ..Self::with_restores(seed, flaw)
        }
    }

    /// Creates a world in which servers restart under their former id at the same address.
    /// Planners learn of it up to [`REGISTRATION_MAX`] later; until then their orders to the
    /// former process reach the new one.
    pub fn with_same_ids(seed: u64, flaw: Option<Flaw>) -> Self {
        Self {
            same_ids: true,
            ..Self::new(seed, flaw)
        }
    }

    /// Creates a world in which planners reload their map while orders are in progress, whose
    /// outcomes are reported later, and links fail for moments.
    pub fn with_late_outcomes(seed: u64, flaw: Option<Flaw>) -> Self {
        Self {
            late_outcomes: true,
            ..Self::new(seed, flaw)
        }
    }

    /// Advances the simulation by [`STEP`].
    pub fn step(&mut self) {
        self.now = self.now + STEP;
        self.inject_faults();
        self.register_servers();
        self.deliver();
        self.update_violation(self.now);
        self.begin_work();
        self.apply_delayed_commits();
        for index in 0..self.planners.len() {
            self.plan(index);
        }
    }

    /// Whether two servers have held the same key or worked on it, or an epoch has not risen from
    /// one to the next.
    pub fn has_violation(&self) -> bool {
        self.violation.is_some()
    }

    /// The violation after its end, at the latest after the end of all leases.
    pub fn violation_at_end(&mut self) -> Option<Violation> {
        let ends = self.now + self.times.max_validity();
        while self.now < ends {
            self.step();
        }
        self.violation.clone()
    }

    /// Lets servers begin requests.
    fn begin_work(&mut self) {
        let now = self.now;
        for server in self.servers.iter_mut().filter(|server| server.is_up) {
            if self.rng.random_range(0..1_000) >= 300 {
                continue;
            }
            let Some(key) = server.begin_work(&mut self.rng, now) else {
                continue;
            };
            let Some(violation) = &mut self.violation else {
                continue;
            };
            let is_within = key.intersection(violation.range).is_some() && now < violation.until;
            let holders = violation.holders.iter().zip(&mut violation.has_begun);
            holders
                .filter(|(holder, _)| is_within && holder.server == server.name)
                .for_each(|(_, has_begun)| *has_begun = true);
        }
    }

    /// Until when a server holds keys of a range, as far as is known.
    fn held_until(&self, server: &ServerName, range: KeyRange) -> Time {
        let mut up = self.servers.iter().filter(|known| known.is_up);
        let found = up.find(|known| known.name == *server);
        let held = found.into_iter().flat_map(|known| &known.held);
        let held = held.filter(|held| held.range.intersection(range).is_some());
        held.map(|held| held.until).max().unwrap_or_default()
    }

    /// Updates the end of a double hold after a change at `at`.
    fn update_violation(&mut self, at: Time) {
        let Some(Violation {
            breach: Breach::HeldTwice,
            range,
            holders: [one, other],
            until,
            ..
        }) = &self.violation
        else {
            return;
        };
        // A later double hold of the same keys is another one.
        if *until <= at {
            return;
        }
        let held = self.held_until(&one.server, *range);
        let ends = held.min(self.held_until(&other.server, *range)).max(at);
        if let Some(violation) = &mut self.violation {
            violation.until = ends;
        }
    }

    /// Share of all keys that some server holds.
    pub fn held_share(&self) -> f64 {
        let up_servers = self.servers.iter().filter(|server| server.is_up);
        let ranges = up_servers.flat_map(|server| &server.held);
        let keys: u32 = ranges
            .filter(|range| range.until > self.now)
            .map(|held| held.range.len())
            .sum();
        f64::from(keys) / 65_536.0
    }

    /// True with a probability of `per_mille` in 1,000.
    fn chance(&mut self, per_mille: u32) -> bool {
        self.rng.random_range(0..1_000) < per_mille
    }

    fn inject_faults(&mut self) {
        // Each new planner waits anew for the leases of those before it.
        let (cuts, kills) = match self.partitions {
            true => (3, 1),
            false => (6, 4),
        };
        if self.chance(6) {
            self.crash_server();
        }
        if self.chance(5) {
            let at = self.rng.random_range(0..self.servers.len());
            self.servers[at].is_leaving = true;
            self.start_server();
        }
        if self.restores && self.chance(5) {
            let at = self.rng.random_range(0..self.servers.len());
            self.servers[at].is_unlisted = true;
            self.start_server();
        }
        if self.planner_kills {
            // In a partition, the end of a lease takes longer to be written.
            let kills = if self.partitions { 4 } else { 20 };
            if self.chance(kills) {
                self.take_over(true);
            }
        } else if self.chance(cuts) {
            // The planner is cut off and does not know that another takes over.
            let is_isolated = self.replaced_planners && self.chance(700);
            if let Some(planner) = self.leading_planner() {
                planner.is_connected = false;
                planner.is_isolated = is_isolated;
            }
            self.take_over(false);
        }
        if self.chance(kills) {
            self.take_over(true);
        }
        if self.partitions {
            self.partition_links();
        } else if self.chance(if self.late_outcomes { 30 } else { 5 }) {
            self.cut_links();
        }
        if self.late_outcomes && self.chance(15) {
            self.reload_newest();
        }
        let is_burst = self.now < self.burst_until;
        let restores = match self.restore_bursts {
            true if is_burst => 40,
            true => 2,
            false if self.replaced_planners => 2,
            false => 8,
        };
        if self.restores && self.chance(restores) {
            if self.restore_bursts && !is_burst {
                self.burst_until = self.now + BURST;
            }
            self.restore_store();
        }
        if self.chance(1) {
            for planner in &mut self.planners {
                planner.is_connected = true;
                planner.is_isolated = false;
            }
        }
        let leader = self.leader;
        let in_touch = self.planners.iter_mut().filter(|known| !known.is_isolated);
        in_touch.for_each(|planner| planner.heard_claim = leader);
    }

    /// The planner that the leadership row names, if its process lives.
    fn leading_planner(&mut self) -> Option<&mut Planner> {
        let leader = self.leader;
        let mut planners = self.planners.iter_mut();
        planners.find(|planner| planner.claim == leader)
    }

    /// Brings the store back from a copy. A planner that the copy names and that is there to
    /// see that may go on with its own map; otherwise another instance takes over with what it
    /// remembers.
    fn restore_store(&mut self) {
        let copy = self.pick_copy();
        let (newest, replaced) = (self.map.clone(), self.leader);
        if let Some(copy) = self.copies.get(copy) {
            self.map = copy.map.clone();
            self.leader = copy.leader;
        }
        self.copies.clear();
        self.version += 1;
        self.era = StoreEra(self.era.0 + 1);
        let (copied, flaw) = (self.map.clone(), self.flaw);
        if self.may_resume() && self.chance(600) {
            if self.leader != replaced {
                self.replaced_resumes += 1;
                self.disturb_planner(replaced);
            }
            return self.resume();
        }
        if self.chance(500) {
            self.planners.retain(|planner| planner.claim != replaced);
        }
        self.take_over(false);
        let remembered = match self.chance(500) {
            true => copied.newest_of(&newest),
            false => copied,
        };
        let floor = self.floor();
        let Some(planner) = self.planners.last_mut() else {
            return;
        };
        planner.reconciler.reload(remembered);
        if flaw != Some(Flaw::TrustCopy) {
            begin_fence(&mut planner.reconciler, flaw, floor, self.now);
        }
    }

    /// Index of the copy from which the store comes back; beyond the last one for its newest
    /// rows.
    fn pick_copy(&mut self) -> usize {
        let is_replaced = |planner: &&Planner| planner.is_isolated && planner.claim != self.leader;
        let replaced = self.planners.iter().rfind(is_replaced);
        let names = |copy: &Copy| replaced.is_some_and(|known| known.claim == copy.leader);
        match self.copies.iter().rposition(names) {
            Some(index) if self.replaced_planners => index,
            _ => self.rng.random_range(0..=self.copies.len()),
        }
    }

    /// Whether the planner that the copy names is there to claim again, and continues with its
    /// own map: it has missed no era and heard of no later claim.
    fn may_resume(&mut self) -> bool {
        let (era, may_return) = (self.era, self.replaced_planners);
        self.leading_planner().is_some_and(|planner| {
            let is_back = planner.is_connected || (may_return && planner.is_isolated);
            let is_unbroken = planner.era.0 + 1 == era.0 && planner.heard_claim <= planner.claim;
            is_back && is_unbroken && !planner.is_stopped
        })
    }

    /// Ends the planner with this claim, cuts it off, or lets it read that it is replaced.
    fn disturb_planner(&mut self, claim: Claim) {
        match self.rng.random_range(0..3) {
            0 => self.planners.retain(|planner| planner.claim != claim),
            1 => {
                let mut planners = self.planners.iter_mut();
                if let Some(planner) = planners.find(|planner| planner.claim == claim) {
                    planner.is_connected = false;
                }
            }
            _ => {}
        }
    }

    /// Has the planner that the row names claim the leadership again and continue with its own
    /// map.
    fn resume(&mut self) {
        let claimant = self.leader;
        let claim = self.next_claim();
        let (floor, now, era, version) = (self.floor(), self.now, self.era, self.version);
        let copied = self.map.clone();
        let forgets_moves = self.flaw == Some(Flaw::ForgetMoves);
        let outage_limit = self.times.outage_limit;
        let may_act = |known: &Planner| !known.is_stopped && known.claim != claimant;
        let others_until = match self.planners.iter().any(may_act) {
            true => now + outage_limit,
            false => now,
        };
        let mut planners = self.planners.iter_mut();
        let Some(planner) = planners.find(|planner| planner.claim == claimant) else {
            return;
        };
        // Orders of its former claim may still be carried out, but count no more.
        planner.outcomes.clear();
        if planner.is_isolated {
            let number = planner.number;
            let sent = self.in_transit.iter_mut();
            sent.filter(|sent| sent.granter.planner == number)
                .for_each(|sent| sent.is_answered = false);
        }
        planner.claim = claim;
        planner.heard_claim = claim;
        planner.era = era;
        planner.version = version;
        planner.is_connected = true;
        planner.is_isolated = false;
        let era_start = EraStart {
            floor,
            former_until: planner.confirmed + outage_limit,
            others_until,
        };
        planner.confirmed = now;
        planner.reconciler.resume(era_start, now);
        if forgets_moves {
            planner.reconciler.reload(copied);
        }
    }

    /// Writes the leadership row.
    fn next_claim(&mut self) -> Claim {
        self.record_copy();
        self.claims += 1;
        self.leader = Claim(self.claims);
        self.leader
    }

    /// Lowest epoch of the current era.
    fn floor(&self) -> Epoch {
        match self.flaw {
            Some(Flaw::ReuseEpochs) => Epoch(0),
            _ => Epoch::first_of(self.era),
        }
    }

    /// Changes which servers each planner reaches.
    fn cut_links(&mut self) {
        let names: Vec<ServerName> = self
            .servers
            .iter()
            .map(|server| server.name.clone())
            .collect();
        for index in 0..self.planners.len() {
            let mut unreachable = names.clone();
            unreachable.retain(|_| self.chance(300));
            let (one_way, unreachable) = match self.one_way_links {
                true => unreachable.into_iter().partition(|_| self.chance(500)),
                false => (Vec::new(), unreachable),
            };
            self.planners[index].unreachable = unreachable;
            self.planners[index].one_way = one_way;
        }
    }

    /// Begins and ends partitions. Planners and servers that appear meanwhile are on the larger
    /// side.
    fn partition_links(&mut self) {
        if self.now < self.partition.0 {
            return;
        }
        for planner in &mut self.planners {
            planner.unreachable.clear();
        }
        if !self.chance(8) {
            return;
        }
        // Between two series of restores, fences are to end.
        let longest = match self.restore_bursts {
            true => PARTITION_MAX / 6,
            false => PARTITION_MAX,
        };
        let millis = self.rng.random_range(0..=longest.as_millis() as u64);
        let names = self.servers.iter().map(|server| server.name.clone());
        let names: Vec<ServerName> = names.collect();
        let (small, large): (Vec<_>, Vec<_>) = names.into_iter().partition(|_| self.chance(250));
        for index in 0..self.planners.len() {
            self.planners[index].unreachable = match self.chance(700) {
                true => large.clone(),
                false => small.clone(),
            };
        }
        self.partition = (self.now + Duration::from_millis(millis), small);
    }

    fn crash_server(&mut self) {
        let at = self.rng.random_range(0..self.servers.len());
        let restarts = self.chance(600);
        if self.same_ids && restarts && self.servers[at].is_up {
            return self.restart_server(at);
        }
        let now = self.now;
        let server = &mut self.servers[at];
        server.is_up = false;
        server.ended = Some(now);
        let name = server.name.clone();
        if restarts {
            // A later process at the same address proves that this one has ended.
            self.ended.push(name);
        }
        self.start_server();
    }

    /// Replaces a server by a new process with the same id, which knows nothing of before.
    fn restart_server(&mut self, at: usize) {
        self.servers_started += 1;
        let former = &self.servers[at];
        let name = format!("{}@{}", former.name.id(), self.servers_started);
        let millis = self
            .rng
            .random_range(0..=REGISTRATION_MAX.as_millis() as u64);
        let has_slow_clock = self.rng.random_range(0..1_000) < 500;
        let listed = former.listed.clone();
        let mut server = Server::new(name.parse().unwrap(), has_slow_clock);
        server.listed = listed;
        server.started = self.now;
        server.registers = self.now + Duration::from_millis(millis);
        self.servers[at] = server;
    }

    /// Registers servers that have started. A later process at the same address proves that the
    /// former one has ended.
    fn register_servers(&mut self) {
        let now = self.now;
        let started = self.servers.iter_mut();
        for server in started.filter(|server| server.listed != server.name) {
            if server.is_up && server.registers <= now {
                self.ended.push(server.listed.clone());
                server.listed = server.name.clone();
            }
        }
    }

    fn start_server(&mut self) {
        self.servers_started += 1;
        let name = format!("s-{}", self.servers_started).parse().unwrap();
        let has_slow_clock = self.chance(500);
        self.servers.push(Server::new(name, has_slow_clock));
        if self.servers.len() > SERVERS + 6 {
            let removable = self.servers.iter().position(|server| {
                let is_holding = server.held.iter().any(|range| range.until > self.now);
                let has_left = server.is_leaving || server.is_unlisted;
                (!server.is_up || has_left) && !is_holding
            });
            if let Some(at) = removable {
                self.servers.remove(at);
            }
        }
    }

    /// Makes another instance the leader; `is_killed` if the process of the former leader
    /// has ended.
    fn take_over(&mut self, is_killed: bool) {
        let former = self.leader;
        if is_killed {
            self.planners.retain(|planner| planner.claim != former);
        }
        self.planners
            .retain(|planner| self.now - planner.confirmed < Duration::from_secs(60));
        let claim = self.next_claim();
        let may_still_act = self.planners.iter().any(|planner| {
            let known = self.flaw != Some(Flaw::OnlyLastPlanner) || planner.claim == former;
            known && !planner.is_stopped
        });
        let previous_until = match (self.flaw, may_still_act) {
            (Some(Flaw::IgnorePreviousPlanners), _) => self.now,
            (Some(Flaw::NoQuietPeriod), false) => Time::ZERO,
            (_, false) => self.now,
            (_, true) => self.now + self.times.outage_limit,
        };
        let mut times = self.times;
        if self.flaw == Some(Flaw::ShortLease) {
            times.lease /= 2;
        }
        let leases = LeaseTracker::new(times, previous_until);
        let mut reconciler = Reconciler::new(self.map.clone(), leases).with_floor(self.floor());
        if self.has_unfenced_map() {
            begin_fence(&mut reconciler, self.flaw, self.floor(), self.now);
        }
        for notice in std::mem::take(&mut self.releases) {
            if self.late_commits && self.chance(700) {
                reconciler.restore_release(&notice);
            }
        }
        let unreachable = match self.now < self.partition.0 {
            true => self.partition.1.clone(),
            false => Vec::new(),
        };
        self.planners.push(Planner {
            number: claim.0,
            claim,
            heard_claim: claim,
            era: self.era,
            reconciler,
            version: self.version,
            is_connected: true,
            is_isolated: false,
            confirmed: self.now,
            clock: StoreClock::default(),
            outcomes: Vec::new(),
            unreachable,
            one_way: Vec::new(),
            is_stopped: false,
        });
    }

    /// Whether no planner of this era has written its map yet.
    fn has_unfenced_map(&self) -> bool {
        self.flaw != Some(Flaw::TrustCopy) && !self.map.is_above(self.floor())
    }

    fn plan(&mut self, index: usize) {
        let now = self.now;
        let capacities = self.capacities();
        let planner = &mut self.planners[index];
        if planner.is_stopped {
            return;
        }
        if planner.is_connected {
            planner.confirmed = now;
            let ahead = match self.flaw {
                Some(Flaw::ClockAhead) if planner.number % 2 == 1 => Duration::from_secs(8),
                _ => Duration::ZERO,
            };
            planner.clock.record(now, now, store_time(now + ahead));
            if planner.claim != self.leader && self.flaw != Some(Flaw::NoLeaderCheck) {
                // It reads that another instance leads, and stops planning.
                planner.is_stopped = true;
                return;
            }
        }
        let is_cut_off = now - planner.confirmed > self.times.outage_limit;
        if is_cut_off && self.flaw != Some(Flaw::RenewWithoutStore) {
            return;
        }
        let (due, later): (Vec<_>, Vec<_>) =
            planner.outcomes.drain(..).partition(|entry| entry.0 <= now);
        planner.outcomes = later;
        for (_, order, outcome) in due {
            planner.reconciler.complete(&order, outcome, now);
        }
        let listed = Listed {
            servers: &self.servers,
            ended: &self.ended,
        };
        let demand = Demand::default();
        let mut balancer = Balancer::new(BalanceLimits::STANDARD, &capacities, &demand);
        let scope = PlanScope {
            may_assign: true,
            may_rebalance: true,
        };
        let orders = {
            let clock = planner.clock.clone();
            let reconciler = &mut planner.reconciler;
            let retention = self.times.max_holding();
            let known = |server: &&Server| server.ended.is_none_or(|at| now - at <= retention);
            let names = self.servers.iter().filter(known);
            let names = names.filter(|server| !server.is_unlisted);
            reconciler.fence_servers(names.map(|server| &server.listed), &listed, now);
            reconciler.tick(now, &clock, &listed, &mut balancer, scope)
        };
        for order in orders {
            match order {
                Order::Commit(map) => self.commit(index, map),
                order => self.send(index, order),
            }
        }
    }

    fn capacities(&self) -> Vec<Capacity> {
        let open = self
            .servers
            .iter()
            .filter(|server| server.is_up && !server.is_leaving && !server.is_unlisted);
        let capacity = |server: &Server| Capacity {
            server: server.listed.clone(),
            rate: 20.0,
            accepts_keys: true,
        };
        open.map(capacity).collect()
    }

    fn commit(&mut self, index: usize, map: RangeMap) {
        let is_lost = self.chance(150);
        let flaw = self.flaw;
        let planner = &mut self.planners[index];
        let order = Order::Commit(map.clone());
        let is_leading = planner.claim == self.leader || flaw == Some(Flaw::NoLeaderCheck);
        let is_current_version =
            planner.version == self.version || flaw == Some(Flaw::NoLeaderCheck);
        if !planner.is_connected || (is_lost && flaw != Some(Flaw::AssumeCommitted)) {
            planner
                .outcomes
                .push((self.now + STEP, order, OrderOutcome::Unknown));
            return;
        }
        if is_lost {
            // Not executed, but taken for done.
            planner
                .outcomes
                .push((self.now, order, OrderOutcome::Done { handover: None }));
            return;
        }
        if !is_leading || !is_current_version {
            planner.reconciler.reload(self.map.clone());
            planner.version = self.version;
            return;
        }
        let number = planner.number;
        if self.late_commits && self.chance(60) {
            let due = self.now + Duration::from_millis(self.rng.random_range(500..3_000));
            let planner = number;
            let era = self.era;
            return self.delayed.push(DelayedCommit {
                due,
                era,
                planner,
                map,
            });
        }
        // A commit without an answer is sent again and then read back.
        let answered = match self.late_commits && self.chance(60) {
            true => self.now + Duration::from_millis(self.rng.random_range(500..3_000)),
            false => self.now,
        };
        self.apply(map);
        let planner = &mut self.planners[index];
        planner.version = self.version;
        planner
            .outcomes
            .push((answered, order, OrderOutcome::Done { handover: None }));
    }

    fn apply(&mut self, map: RangeMap) {
        self.record_copy();
        let mut written = map.slices().iter();
        let lowered = written.find(|slice| slice.epoch < self.map.max_epoch(slice.range));
        self.lowered_epoch = self.lowered_epoch.take().or(lowered.cloned());
        self.map = match self.flaw {
            Some(Flaw::EarlyExpiry) => expire_early(&map, self.times.max_validity()),
            _ => map,
        };
        self.version += 1;
        self.commits += 1;
    }

    /// Keeps the rows as they are before a write.
    fn record_copy(&mut self) {
        let at = self.now;
        self.copies.retain(|copy| at - copy.at < COPY_AGE_MAX);
        self.copies.push_back(Copy {
            at,
            map: self.map.clone(),
            leader: self.leader,
        });
    }

    /// Executes delayed commits whose condition is still met.
    fn apply_delayed_commits(&mut self) {
        let now = self.now;
        let delayed = std::mem::take(&mut self.delayed);
        let (due, later): (Vec<_>, Vec<_>) =
            delayed.into_iter().partition(|commit| commit.due <= now);
        self.delayed = later;
        for DelayedCommit {
            era, planner, map, ..
        } in due
        {
            let is_checked = self.flaw != Some(Flaw::NoLeaderCheck);
            // The versions that its condition names may have been given out again.
            let is_former = era != self.era;
            if is_former && self.flaw != Some(Flaw::MatchReusedVersions) {
                continue;
            }
            let mut planners = self.planners.iter();
            let found = planners.find(|known| known.number == planner);
            let meets_condition = is_former
                || found.is_some_and(|known| {
                    known.version == self.version && known.claim == self.leader
                });
            if is_checked && !meets_condition {
                self.reload(planner);
                continue;
            }
            self.apply(map.clone());
            let (version, now) = (self.version, self.now);
            let mut planners = self.planners.iter_mut();
            if let Some(known) = planners.find(|known| known.number == planner) {
                known.version = version;
                let outcome = OrderOutcome::Done { handover: None };
                known.outcomes.push((now, Order::Commit(map), outcome));
            }
        }
    }

    /// Has the leading planner start again from the newest map that it knows, while orders are
    /// in progress.
    fn reload_newest(&mut self) {
        let stored = self.map.clone();
        let Some(planner) = self.leading_planner() else {
            return;
        };
        if planner.is_connected && !planner.reconciler.is_commit_open() {
            let newest = stored.newest_of(planner.reconciler.map());
            planner.reconciler.reload(newest);
        }
    }

    fn reload(&mut self, number: u64) {
        let mut planners = self.planners.iter_mut();
        if let Some(known) = planners.find(|known| known.number == number) {
            known.reconciler.reload(self.map.clone());
            known.version = self.version;
        }
    }

    fn send(&mut self, index: usize, order: Order) {
        // Orders that have not arrived within their timeout are reset and never arrive.
        let max_delay = self.times.order_timeout.as_millis() as u64;
        let delay = match self.chance(850) {
            true => self.rng.random_range(1..10),
            false => self.rng.random_range(10..max_delay),
        };
        let arrival = self.now + Duration::from_millis(delay);
        let is_late = self.chance(60);
        let execution = match is_late {
            true => arrival + Duration::from_millis(self.rng.random_range(2_000..12_000)),
            false => arrival,
        };
        let to = match &order {
            Order::Grant { slice, .. } => slice.owner.clone(),
            Order::Release { server, .. } | Order::Probe { server } => Some(server.clone()),
            Order::Commit(_) => None,
        };
        let planner = &self.planners[index];
        let is_unlisted = |to: &ServerName| {
            let mut servers = self.servers.iter();
            servers.any(|known| known.listed == *to && known.is_unlisted)
        };
        let is_unreachable = to
            .as_ref()
            .is_some_and(|to| planner.unreachable.contains(to) || is_unlisted(to));
        let is_one_way = to.is_some_and(|to| planner.one_way.contains(&to));
        if let Order::Release { range, epoch, .. } = &order {
            self.releases.push(MoveNotice {
                range: *range,
                epoch: *epoch,
                hint: OwnerHint::Released,
            });
        }
        let is_release = matches!(order, Order::Release { .. });
        if let Order::Release { server, .. } = &order
            && self.counts_as_released(server)
        {
            let outcome = OrderOutcome::Done { handover: None };
            let outcomes = &mut self.planners[index].outcomes;
            return outcomes.push((self.now, order, outcome));
        }
        let granter = planner.granter();
        let is_lost = is_unreachable || (is_one_way && is_release) || self.chance(50);
        let is_answered = !is_late && !is_one_way;
        let is_stray = self.flaw == Some(Flaw::TrustStrayResponse) && is_release && is_late;
        if is_stray && !is_lost {
            let outcome = OrderOutcome::Done { handover: None };
            self.planners[index]
                .outcomes
                .push((arrival, order.clone(), outcome));
        } else if is_lost || !is_answered {
            let timeout = self.now + self.times.order_timeout;
            // No connection is made to a server that cannot be reached.
            let outcome = match is_unreachable {
                true => OrderOutcome::NotSent,
                false => self.unanswered(&order),
            };
            self.planners[index]
                .outcomes
                .push((timeout, order.clone(), outcome));
        }
        if is_lost {
            return;
        }
        self.in_transit.push(OrderInTransit {
            arrival,
            execution,
            granter,
            order,
            is_answered,
        });
    }

    /// Whether a release is not sent and counts as done.
    fn counts_as_released(&self, server: &ServerName) -> bool {
        let listed = Listed {
            servers: &self.servers,
            ended: &self.ended,
        };
        match self.flaw {
            Some(Flaw::AssumeLeavingEnded) => listed.state(server) == OwnerState::Leaving,
            Some(Flaw::AssumeEndedReleased) => listed.state(server) == OwnerState::Ended,
            _ => false,
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (mut due, later): (Vec<OrderInTransit>, Vec<OrderInTransit>) = self
            .in_transit
            .drain(..)
            .partition(|sent| sent.execution <= now);
        self.in_transit = later;
        due.sort_by_key(|sent| sent.execution);
        for sent in due {
            let (outcome, answered) = self.carry_out(&sent);
            self.answer(&sent, outcome, answered);
            self.update_violation(sent.execution);
        }
    }

    /// Executes an order. Returns its outcome and the time of the response.
    fn carry_out(&mut self, sent: &OrderInTransit) -> (OrderOutcome, Time) {
        let lease = self.times.lease;
        let now = self.now;
        let name = match &sent.order {
            Order::Grant { slice, .. } => slice.owner.clone().unwrap(),
            Order::Release { server, .. } | Order::Probe { server } => server.clone(),
            Order::Commit(_) => return (OrderOutcome::Unknown, now),
        };
        let found = self
            .servers
            .iter_mut()
            .find(|server| server.name.id() == name.id() && server.is_up);
        let Some(server) = found else {
            return (OrderOutcome::NotSent, now);
        };
        if server.started > sent.arrival {
            return (OrderOutcome::Unknown, now);
        }
        match &sent.order {
            Order::Grant { slice, .. } => {
                if !server.grant(slice, lease, sent.arrival, sent.granter) {
                    return (OrderOutcome::Outdated, now);
                }
                let holder = Holder {
                    server: server.name.clone(),
                    epoch: slice.epoch,
                    granter: sent.granter,
                };
                self.record_accepted(slice.range, holder, sent);
                (OrderOutcome::Done { handover: None }, now)
            }
            Order::Release { range, epoch, .. } => {
                let work_end = server.release(*range, *epoch);
                let handover = Some("warm".to_string());
                (OrderOutcome::Done { handover }, now.max(work_end))
            }
            Order::Probe { .. } => (OrderOutcome::Done { handover: None }, now),
            Order::Commit(_) => (OrderOutcome::Unknown, now),
        }
    }

    /// Checks a grant against the holds, the work and the epochs of other servers. The epoch of
    /// a grant that was executed late may be below them: its lease counts from its arrival.
    fn record_accepted(&mut self, range: KeyRange, next: Holder, sent: &OrderInTransit) {
        let is_late = sent.execution > sent.arrival;
        let since = sent.execution;
        let own_until = self.held_until(&next.server, range);
        let violation = |breach, range, former, until| Violation {
            breach,
            range,
            holders: [former, next.clone()],
            since,
            until,
            has_begun: [false, false],
        };
        let is_other = |server: &&Server| server.is_up && server.name != next.server;
        let others: Vec<&Server> = self.servers.iter().filter(is_other).collect();
        let holder = |server: &Server, hold: &HeldRange| Holder {
            server: server.name.clone(),
            epoch: hold.epoch,
            granter: hold.granter,
        };
        let held = others.iter().find_map(|server| {
            let mut held = server.held.iter();
            let overlap = held.find_map(|held| Some((held, held.range.intersection(range)?)))?;
            let until = overlap.0.until.min(own_until);
            let former = holder(server, overlap.0);
            (until > since).then(|| violation(Breach::HeldTwice, overlap.1, former, until))
        });
        let at_work = others.iter().find_map(|server| {
            let is_on_keys = |work: &&Work| work.key.intersection(range).is_some();
            let mut work = server.work.iter().filter(is_on_keys);
            let work = work.find(|work| work.end().min(own_until) > since)?;
            let former = holder(server, &work.hold);
            Some(violation(Breach::StillAtWork, work.key, former, work.end()))
        });
        let is_above = |(taken, other): &&(KeyRange, Holder)| {
            other.server.id() != next.server.id()
                && other.epoch >= next.epoch
                && taken.intersection(range).is_some()
        };
        let conflict = self.accepted.iter().find(is_above);
        let low_epoch = conflict.filter(|_| !is_late).map(|(taken, former)| {
            let range = taken.intersection(range).unwrap_or(range);
            violation(Breach::LowEpoch, range, former.clone(), since)
        });
        let found = held.or(at_work).or(low_epoch);
        self.violation = self.violation.take().or(found);
        let is_known = |(taken, other): &(KeyRange, Holder)| {
            *taken == range && other.server == next.server && other.epoch == next.epoch
        };
        if !self.accepted.iter().any(is_known) {
            self.accepted.push((range, next));
        }
    }

    /// What a planner concludes about an order without an answer.
    fn unanswered(&self, order: &Order) -> OrderOutcome {
        match (order, self.flaw) {
            (Order::Release { .. }, Some(Flaw::AssumeReleased)) => {
                OrderOutcome::Done { handover: None }
            }
            (Order::Grant { .. }, Some(Flaw::AssumeUnsentGrant)) => OrderOutcome::NotSent,
            _ => OrderOutcome::Unknown,
        }
    }

    /// Reports the outcome of an order to its planner, or loses the answer.
    fn answer(&mut self, sent: &OrderInTransit, outcome: OrderOutcome, at: Time) {
        if !sent.is_answered {
            return;
        }
        let outcome = match self.chance(60) {
            true => self.unanswered(&sent.order),
            false => outcome,
        };
        let planner = self
            .planners
            .iter_mut()
            .find(|planner| planner.number == sent.granter.planner);
        if let Some(planner) = planner {
            planner.outcomes.push((at, sent.order.clone(), outcome));
        }
    }
}

/// Has a new planner fence the servers.
fn begin_fence(reconciler: &mut Reconciler, flaw: Option<Flaw>, floor: Epoch, now: Time) {
    if flaw != Some(Flaw::TrustRegistry) {
        return reconciler.fence();
    }
    let own_grants_only = EraStart {
        floor,
        former_until: Time::ZERO,
        others_until: Time::ZERO,
    };
    reconciler.resume(own_grants_only, now);
}

fn store_time(now: Time) -> StoreTime {
    StoreTime(now.as_micros() / 1_000)
}

/// The map with every lease end moved earlier by `by`.
fn expire_early(map: &RangeMap, by: Duration) -> RangeMap {
    let mut early = map.clone();
    for slice in map.slices() {
        if let Some(expiry) = slice.expiry {
            let by = by.as_millis() as u64;
            early.set_expiry(slice.range, StoreTime(expiry.0.saturating_sub(by)));
        }
    }
    early
}
