//! Instances, their heartbeats, and a store that is out of reach or comes back from a copy.

use {
    citron_core::{
        freshness::HeartbeatSchedule,
        id::{Incarnation, InstanceId},
        ranges::{LeaseTimes, Tenure, Witnesses, act_limit},
        time::Time,
    },
    rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom},
    std::{collections::BTreeMap, ops::Range, time::Duration},
};

const INSTANCES: usize = 4;
/// Not zero, so that no time is before it.
const START: Time = Time::from_micros(20_000_000);
const STEP: Duration = Duration::from_millis(100);
const DURATION: Duration = Duration::from_secs(90);
/// Delay of a heartbeat, in milliseconds.
const DELAY_MAX: u64 = 400;
/// Age of a heartbeat after which its sender counts as lost.
const LIVE: Duration = Duration::from_millis(1_500);
const READ_INTERVAL: Duration = Duration::from_millis(500);
const COPY_AGE_MAX: Duration = Duration::from_secs(4);

/// Length of a cycle, and when in it a planner is replaced, in milliseconds, and a cut begins.
const CYCLE: Duration = Duration::from_secs(30);
const CLAIM_AFTER: Range<u64> = 3_000..9_500;
const CUT_AFTER: Duration = Duration::from_secs(10);

/// A safeguard that is missing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    /// Each process of a witness confirms the planner.
    AnyProcess,
    /// A successor does not wait for planners that the store has lost.
    IgnoreLost,
    /// A successor takes the planner for stopped once a single witness follows it.
    FewWitnesses,
}

/// What a walk has seen.
#[derive(Debug, Default)]
pub struct Outcome {
    /// A planner acted although its successor relied on its having stopped.
    pub has_overlap: bool,
    /// A planner acted by the confirmation of witnesses alone.
    pub was_witnessed: bool,
    /// A successor waited for less than the longest time.
    pub was_shortened: bool,
}

/// Era and number of a claim.
type Claim = (u64, u64);

#[derive(Debug, Clone)]
struct ClaimRow {
    claim: Claim,
    planner: Process,
    witnesses: Witnesses,
    /// Former planners that may not have stopped.
    before: Vec<Process>,
}

type Process = (usize, u64);

#[derive(Debug, Clone)]
struct Heartbeat {
    process: u64,
    claim: Claim,
    is_planning: bool,
    sent: Time,
}

#[derive(Debug)]
struct Term {
    row: ClaimRow,
    tenure: Tenure,
    /// Last confirmation by the store.
    by_store: Time,
    replaced: Option<ClaimRow>,
    predecessors: Vec<Process>,
    /// Time by which former planners have stopped.
    listed_until: Time,
    /// The same for those that the store lost.
    lost_until: Time,
    /// The later of these as of the claim.
    longest_until: Time,
}

#[derive(Debug, Default)]
struct Instance {
    process: u64,
    known: Option<ClaimRow>,
    era: u64,
    read_at: Time,
    restored_at: Time,
    heard: BTreeMap<usize, Heartbeat>,
    term: Option<Term>,
    paused_until: Time,
    paused_at: Time,
    reaches_store: bool,
}

pub struct World {
    rng: StdRng,
    flaw: Option<Flaw>,
    times: LeaseTimes,
    now: Time,
    processes: u64,
    claims: u64,
    era: u64,
    row: Option<ClaimRow>,
    /// All claims.
    rows: BTreeMap<Claim, ClaimRow>,
    copies: Vec<(Time, Option<ClaimRow>)>,
    cycle_started: Time,
    is_cut: bool,
    claim_after: Duration,
    /// Whether the cycle needs no further claim before its cut.
    is_claimed: bool,
    instances: Vec<Instance>,
    /// Side of the partition on which an instance is.
    sides: [usize; INSTANCES],
    in_transit: Vec<(Time, usize, usize, Heartbeat)>,
    outcome: Outcome,
}

fn name(instance: usize) -> InstanceId {
    format!("n-{instance}").parse().unwrap()
}

fn index(instance: &InstanceId) -> usize {
    instance.as_str()[2..].parse().unwrap()
}

/// Witnesses of the planner of a deployment of this size.
pub fn witnesses_of(instances: usize) -> Witnesses {
    let schedule = HeartbeatSchedule::for_instances(instances);
    let others = (1..instances).map(|other| (name(other), Incarnation(1)));
    Witnesses::new(others, act_limit(schedule, &LeaseTimes::STANDARD))
}

impl World {
    pub fn new(seed: u64, flaw: Option<Flaw>) -> Self {
        let mut world = Self {
            rng: StdRng::seed_from_u64(seed),
            flaw,
            times: LeaseTimes::STANDARD,
            now: START,
            processes: 0,
            claims: 0,
            era: 0,
            row: None,
            rows: BTreeMap::new(),
            copies: Vec::new(),
            cycle_started: START,
            is_cut: false,
            claim_after: Duration::ZERO,
            is_claimed: true,
            instances: (0..INSTANCES).map(|_| Instance::default()).collect(),
            sides: [0; INSTANCES],
            in_transit: Vec::new(),
            outcome: Outcome::default(),
        };
        (0..INSTANCES).for_each(|at| world.restart(at));
        world
    }

    pub fn run(mut self) -> Outcome {
        let end = self.now + DURATION;
        while self.now < end && !self.outcome.has_overlap {
            self.now = self.now + STEP;
            self.disturb();
            self.exchange_heartbeats();
            for at in 0..INSTANCES {
                if self.now >= self.instances[at].paused_until {
                    self.read_store(at);
                    self.update_term(at);
                }
            }
            if self.chance(200) {
                self.claim(false);
            }
            self.check();
        }
        self.outcome
    }

    fn chance(&mut self, per_mille: u32) -> bool {
        self.rng.random_range(0..1_000) < per_mille
    }

    /// Plays cycles: a calm time, a late claim in some, then a cut, in which instances start again
    /// and the store may come back from a copy.
    fn disturb(&mut self) {
        let now = self.now;
        self.copies.push((now, self.row.clone()));
        self.copies.retain(|(at, _)| now - *at <= COPY_AGE_MAX);
        if now - self.cycle_started >= CYCLE {
            self.cycle_started = now;
            self.is_cut = false;
            self.is_claimed = false;
            self.claim_after = Duration::from_millis(self.rng.random_range(CLAIM_AFTER));
            self.sides = [0; INSTANCES];
            let instances = self.instances.iter_mut();
            instances.for_each(|one| one.reaches_store = true);
        }
        let since = now - self.cycle_started;
        if since >= self.claim_after && !self.is_claimed {
            self.is_claimed = self.claim(true);
        }
        if since >= CUT_AFTER && !self.is_cut {
            self.is_cut = true;
            self.partition();
            if self.chance(500) {
                self.restore();
            }
        }
        let at = self.rng.random_range(0..INSTANCES);
        let restarts = self.is_cut && self.instances[at].term.is_none() && self.chance(30);
        if restarts || self.chance(2) {
            self.restart(at);
            // Its links may be others than those of the process before.
            if self.chance(500) {
                self.sides[at] = 1 - self.sides[at];
                self.instances[at].reaches_store = self.sides[at] == 0;
            }
        }
        if self.chance(4) {
            let at = self.rng.random_range(0..INSTANCES);
            let pause = Duration::from_millis(self.rng.random_range(0..3_000));
            self.instances[at].paused_at = now;
            self.instances[at].paused_until = now + pause;
        }
        if self.chance(1) {
            self.restore();
        }
    }

    /// Has the store come back from a copy.
    fn restore(&mut self) {
        let copy = self.copies.choose(&mut self.rng);
        self.row = copy.and_then(|(_, row)| row.clone());
        self.era += 1;
        self.copies.clear();
    }

    /// Parts the instances, with the planner on the side that does not reach the store.
    fn partition(&mut self) {
        for at in 0..INSTANCES {
            let is_planner = self.instances[at].term.is_some();
            self.sides[at] = usize::from(is_planner || self.chance(600));
            self.instances[at].reaches_store = self.sides[at] == 0;
        }
    }

    fn restart(&mut self, at: usize) {
        self.processes += 1;
        self.instances[at] = Instance {
            process: self.processes,
            reaches_store: self.instances[at].reaches_store,
            ..Instance::default()
        };
    }

    fn exchange_heartbeats(&mut self) {
        for from in 0..INSTANCES {
            for to in 0..INSTANCES {
                let one = &self.instances[from];
                let is_sent = from != to && self.sides[from] == self.sides[to];
                if !is_sent || self.now < one.paused_until || !self.rng.random_bool(0.8) {
                    continue;
                }
                let heartbeat = Heartbeat {
                    process: one.process,
                    claim: one.known.as_ref().map_or((0, 0), |row| row.claim),
                    is_planning: one.term.is_some(),
                    sent: self.now,
                };
                let delay = Duration::from_millis(self.rng.random_range(0..DELAY_MAX));
                self.in_transit
                    .push((self.now + delay, from, to, heartbeat));
            }
        }
        let now = self.now;
        let (arrived, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.in_transit)
            .into_iter()
            .partition(|(at, _, to, _)| *at <= now && now >= self.instances[*to].paused_until);
        self.in_transit = later;
        for (at, from, to, mut heartbeat) in arrived {
            let receiver = &mut self.instances[to];
            // Counts as sent when the socket was last empty.
            heartbeat.sent = match at < receiver.paused_until {
                true => at.min(receiver.paused_at),
                false => at,
            };
            // Rows are passed on by instances that know of a later claim.
            let claim = receiver.known.as_ref().map_or((0, 0), |row| row.claim);
            if heartbeat.claim > claim && receiver.term.is_none() {
                receiver.known = self.rows.get(&heartbeat.claim).cloned();
            }
            receiver.heard.insert(from, heartbeat);
        }
    }

    /// Reads the row of the leadership.
    fn read_store(&mut self, at: usize) {
        let (now, era) = (self.now, self.era);
        let row = self.row.clone();
        let one = &mut self.instances[at];
        if !one.reaches_store || now - one.read_at < READ_INTERVAL {
            return;
        }
        one.read_at = now;
        if era > one.era {
            one.era = era;
            one.restored_at = now;
            one.term = None;
        }
        let newest = row.into_iter().chain(one.known.take());
        one.known = newest.max_by_key(|row| row.claim);
        let known = one.known.as_ref().map(|row| row.claim);
        if let Some(term) = &mut one.term {
            match known == Some(term.row.claim) {
                true => {
                    term.by_store = now;
                    term.tenure.record_store(now);
                }
                false => one.term = None,
            }
        }
    }

    fn update_term(&mut self, at: usize) {
        let (now, flaw, times) = (self.now, self.flaw, self.times);
        let one = &mut self.instances[at];
        let Some(term) = &mut one.term else { return };
        let heard = &one.heard;
        let claim = term.row.claim;
        let confirmed = |witness: &InstanceId, process: Incarnation| {
            let heartbeat = heard.get(&index(witness))?;
            let is_same = heartbeat.process == process.0 || flaw == Some(Flaw::AnyProcess);
            let confirms = is_same && heartbeat.claim == claim && !heartbeat.is_planning;
            confirms.then_some(heartbeat.sent)
        };
        term.tenure.record_witnesses(confirmed);
        let has_stopped = |process: Process| {
            process.0 == at
                || heard.get(&process.0).is_some_and(|heartbeat| {
                    let is_after = heartbeat.claim >= claim;
                    is_after && (heartbeat.process != process.1 || !heartbeat.is_planning)
                })
        };
        let is_unconfirmed = |replaced: &ClaimRow| {
            let has_ended = |witness: &InstanceId, process: Incarnation| {
                has_stopped((index(witness), process.0))
            };
            let mut processes = replaced.witnesses.processes();
            match flaw {
                Some(Flaw::FewWitnesses) => processes.any(|(name, one)| has_ended(name, one)),
                _ => !replaced.witnesses.may_confirm(has_ended),
            }
        };
        term.predecessors.retain(|process| !has_stopped(*process));
        let is_short = |replaced: &mut ClaimRow| is_unconfirmed(replaced);
        if let Some(replaced) = term.replaced.take_if(is_short) {
            let mut others = term.predecessors.iter();
            if others.all(|one| *one == replaced.planner) {
                let until = now + replaced.witnesses.stop_delay();
                term.listed_until = term.listed_until.min(until);
            }
        }
        let others_until = term.listed_until.max(term.lost_until);
        self.outcome.was_shortened |= others_until < term.longest_until;
        let end = term.tenure.end();
        let by_store = term.by_store + term.row.witnesses.act_limit();
        self.outcome.was_witnessed |= now < end && now > by_store && now < by_store + times.lease;
    }

    /// Has an instance claim the leadership, if it may; `is_forced` also while the planner is
    /// heard. Returns whether it did.
    fn claim(&mut self, is_forced: bool) -> bool {
        let (now, times) = (self.now, self.times);
        let at = self.rng.random_range(0..INSTANCES);
        let one = &self.instances[at];
        let row = self.row.as_ref().map(|row| row.claim);
        let knows_row = one.known.as_ref().map(|row| row.claim) >= row;
        let can_claim = one.reaches_store && now >= one.paused_until && one.term.is_none();
        if !can_claim || !knows_row || one.era != self.era || now - one.read_at >= READ_INTERVAL {
            return false;
        }
        let replaced = one.known.clone();
        let is_heard = replaced.as_ref().is_some_and(|row| {
            let heard = one.heard.get(&row.planner.0);
            let is_same = |heard: &&Heartbeat| heard.process == row.planner.1 && heard.is_planning;
            let heard = heard.filter(is_same);
            heard.is_some_and(|heard| now - heard.sent <= LIVE) && row.claim.0 == self.era
        });
        if is_heard && !is_forced {
            return false;
        }
        let has_stopped = |process: &Process| {
            let claim = replaced.as_ref().map_or((0, 0), |row| row.claim);
            process.0 == at
                || one.heard.get(&process.0).is_some_and(|heartbeat| {
                    heartbeat.process != process.1 && heartbeat.claim >= claim
                })
        };
        let former = replaced.iter();
        let former = former.flat_map(|row| row.before.iter().copied().chain([row.planner]));
        let predecessors: Vec<Process> = former.filter(|one| !has_stopped(one)).collect();
        let live = one
            .heard
            .iter()
            .filter(|(_, heard)| now - heard.sent <= LIVE);
        let live = live.map(|(from, heard)| (name(*from), Incarnation(heard.process)));
        let limit = act_limit(HeartbeatSchedule::for_instances(INSTANCES), &times);
        self.claims += 1;
        let row = ClaimRow {
            claim: (self.era, self.claims),
            planner: (at, one.process),
            witnesses: Witnesses::new(live, limit),
            before: predecessors.clone(),
        };
        let has_lost = one.restored_at > Time::ZERO && self.flaw != Some(Flaw::IgnoreLost);
        let lost_until = match has_lost {
            true => one.restored_at + times.outage_limit,
            false => now,
        };
        let listed_until = match predecessors.is_empty() {
            true => now,
            false => now + times.outage_limit,
        };
        let mut tenure = Tenure::new(Some(row.witnesses.clone()), &times);
        tenure.record_store(now);
        let one = &mut self.instances[at];
        one.known = Some(row.clone());
        one.term = Some(Term {
            row: row.clone(),
            tenure,
            by_store: now,
            replaced: replaced.filter(|row| predecessors.contains(&row.planner)),
            predecessors,
            listed_until,
            lost_until,
            longest_until: listed_until.max(lost_until),
        });
        self.rows.insert(row.claim, row.clone());
        self.row = Some(row);
        true
    }

    /// Looks for a planner that acts when the planner that the store names relies on its having
    /// stopped.
    fn check(&mut self) {
        let now = self.now;
        let named = self.row.as_ref().map(|row| row.claim);
        let named = named.filter(|claim| claim.0 == self.era);
        let terms = self.instances.iter().filter(|one| now >= one.paused_until);
        let terms: Vec<&Term> = terms.filter_map(|one| one.term.as_ref()).collect();
        let Some(current) = terms.iter().find(|term| Some(term.row.claim) == named) else {
            return;
        };
        let acts = |term: &&&Term| term.row.claim != current.row.claim && now < term.tenure.end();
        let is_any = terms.iter().any(|term| acts(&term));
        self.outcome.has_overlap = is_any && now >= current.listed_until.max(current.lost_until);
    }
}
