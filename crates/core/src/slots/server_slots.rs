//! Slots of one server: leases, queue and estimates.

use {
    super::{
        DenyReason, SlotAnswer, SlotConfig, SlotOutcome, SlotRequest, grant_shares::GrantShares,
        outlook::Outlook, recent_demand::RecentDemand, retry_times::RetryTimes, run_time::RunTime,
        shared_use::SharedUse,
    },
    crate::{dispatch::run_share, id::Slots, time::Time},
    std::{collections::BTreeMap, fmt::Debug, time::Duration},
};

/// Slots of one process start of a server.
#[derive(Debug)]
pub struct ServerSlots<R> {
    config: SlotConfig,
    slots: Slots,
    leases: BTreeMap<R, Lease>,
    /// Requests that can meet their objective, by objective, then late ones by arrival.
    queue: Vec<Queued<R>>,
    run_time: RunTime,
    shared_use: SharedUse,
    grants: GrantShares,
    demand: RecentDemand,
    retry_times: RetryTimes,
    last_request: Time,
    /// Time of the latest grant whose request the server has completed.
    completed_grant: Time,
}

#[derive(Debug)]
struct Lease {
    granted: Time,
    end: Time,
    /// Fraction of the request's time at the server during which it runs.
    run_share: f64,
    /// Slowdown of the server at the time of the grant.
    slowdown: f64,
}

#[derive(Debug, Clone)]
struct Queued<R> {
    id: R,
    priority: u32,
    objective: Time,
    deadline: Time,
    /// The request cannot meet its objective and gets only slots that are free.
    is_late: bool,
    /// Time at which a late request is denied.
    late_until: Time,
}

impl<R: Debug + Clone + Ord> ServerSlots<R> {
    pub fn new(config: SlotConfig, slots: Slots) -> Self {
        Self {
            run_time: RunTime::new(config.initial_run_time),
            config,
            slots,
            leases: BTreeMap::new(),
            queue: Vec::new(),
            shared_use: SharedUse::default(),
            grants: GrantShares::default(),
            demand: RecentDemand::default(),
            retry_times: RetryTimes::default(),
            last_request: Time::ZERO,
            completed_grant: Time::ZERO,
        }
    }

    pub fn is_idle(&self) -> bool {
        self.leases.is_empty() && self.queue.is_empty()
    }

    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    pub fn last_request(&self) -> Time {
        self.last_request
    }

    /// Current answer of a granted or queued request.
    pub fn answer(&self, id: &R, now: Time) -> Option<SlotAnswer> {
        if self.leases.contains_key(id) {
            return Some(SlotAnswer::Granted);
        }
        let position = self.queue.iter().position(|queued| queued.id == *id)?;
        let ahead = self.leases.len() + position;
        let wait = self
            .outlook(now)
            .wait_for_grant(ahead, self.queue[position].is_late);
        Some(SlotAnswer::Queued(Duration::from_secs_f64(wait)))
    }

    /// Decides on a new request. The answers include its own.
    pub fn request(
        &mut self,
        id: R,
        request: &SlotRequest,
        now: Time,
        random: f64,
    ) -> Vec<(R, SlotAnswer)> {
        self.last_request = now;
        self.slots = request.slots;
        self.retry_times.set_random(random);
        let mut answers = self.proceed(now);
        let outlook = self.outlook(now);
        let late_wait_max = self.late_wait_max(request.deadline);
        let entry = Queued {
            id: id.clone(),
            priority: request.priority,
            objective: now + request.objective,
            deadline: now + request.deadline,
            is_late: !outlook.is_in_time(0, now + request.objective, 1.0),
            late_until: now + late_wait_max,
        };
        if !entry.is_late {
            self.demand.record(now);
        }
        let fits = match entry.is_late {
            true => self.queue_late(entry.clone(), late_wait_max, &outlook),
            false => self.queue_in_time(entry.clone(), &outlook, &mut answers),
        };
        if !fits {
            answers.push(self.deny(entry, DenyReason::Full, &outlook));
            return answers;
        }
        answers.extend(self.proceed(now));
        if !answers.iter().any(|(of, _)| *of == id) {
            let answer = self.answer(&id, now);
            answers.extend(answer.map(|answer| (id, answer)));
        }
        answers
    }

    /// Ends a lease or cancels a queued request.
    pub fn release(&mut self, id: &R, outcome: SlotOutcome, now: Time) -> Vec<(R, SlotAnswer)> {
        match self.leases.remove(id) {
            Some(lease) => self.record(&lease, outcome, now),
            None => self.queue.retain(|queued| queued.id != *id),
        }
        self.proceed(now)
    }

    /// Ends the leases whose release is overdue. Returns their ids.
    pub fn end_leases(&mut self, now: Time) -> Vec<R> {
        let lost_after = self.run_time.estimate(now) * self.config.lost_after_runs;
        let lost_after = Duration::from_secs_f64(lost_after);
        let is_over = |lease: &Lease| {
            let is_overtaken = lease.granted < self.completed_grant;
            now >= lease.end || is_overtaken && now - lease.granted > lost_after
        };
        let over = self.leases.iter().filter(|(_, lease)| is_over(lease));
        let over: Vec<R> = over.map(|(id, _)| id.clone()).collect();
        for id in &over {
            self.leases.remove(id);
        }
        over
    }

    /// Grants what there are slots for, and denies queued requests that can no longer meet
    /// their objective.
    pub fn proceed(&mut self, now: Time) -> Vec<(R, SlotAnswer)> {
        let mut answers = Vec::new();
        if self.queue.is_empty() {
            return answers;
        }
        let outlook = self.outlook(now);
        let mut position = 0;
        while position < self.queue.len() {
            let queued = &self.queue[position];
            let ahead = self.leases.len() + position;
            let limit = match queued.is_late {
                true => outlook.slots as usize,
                false => outlook.limit,
            };
            let may_grant = position == 0 && self.leases.len() < limit;
            let is_possible = match queued.is_late {
                true => now < queued.late_until && outlook.is_in_time(0, queued.deadline, 1.0),
                false => outlook.is_in_time(ahead, queued.objective, 1.0),
            };
            if !is_possible {
                let queued = self.queue.remove(position);
                answers.push(self.deny(queued, DenyReason::Full, &outlook));
            } else if may_grant {
                let queued = self.queue.remove(position);
                answers.push(self.grant(queued, now));
            } else {
                position += 1;
            }
        }
        answers
    }

    fn outlook(&self, now: Time) -> Outlook {
        let others = self.shared_use.requests(self.slots, now);
        // Keeps the server busy while a release and the next grant travel.
        let spare = (self.slots.0 / 2).max(1);
        Outlook {
            now,
            run_time: self.run_time.estimate(now),
            slots: self.slots.0.saturating_sub(others).max(1),
            limit: self
                .slots
                .0
                .saturating_add(spare)
                .saturating_sub(others)
                .max(1) as usize,
            travel: self.config.travel.as_secs_f64(),
        }
    }

    fn late_wait_max(&self, deadline: Duration) -> Duration {
        let share = deadline.mul_f64(self.config.deadline_share);
        share.min(self.config.late_wait_max)
    }

    /// Queues a late request behind all others. Returns whether it fits.
    fn queue_late(&mut self, entry: Queued<R>, wait_max: Duration, outlook: &Outlook) -> bool {
        // Requests that arrive later and can meet their objective go first. The wait grows
        // by the share of the server that they take, as in any queue with priorities.
        let in_time_share = self.grants.rate(outlook.now) * outlook.interval();
        let wait = outlook.wait(self.leases.len() + self.queue.len());
        let wait = wait / (1.0 - in_time_share).max(f64::EPSILON);
        let fits = self.queue.len() < self.config.queue_max && wait < wait_max.as_secs_f64();
        if fits {
            self.queue.push(entry);
        }
        fits
    }

    /// Queues a request that can meet its objective, and sheds others of a lower priority
    /// for it where necessary. Returns whether it fits.
    fn queue_in_time(
        &mut self,
        entry: Queued<R>,
        outlook: &Outlook,
        answers: &mut Vec<(R, SlotAnswer)>,
    ) -> bool {
        let (priority, id) = (entry.priority, entry.id.clone());
        let precedes = |queued: &Queued<R>| !queued.is_late && queued.objective <= entry.objective;
        let position = self.queue.partition_point(precedes);
        let is_beyond_max = self.queue.len() >= self.config.queue_max;
        if is_beyond_max && self.queue.last().is_none_or(|last| !last.is_late) {
            return false;
        }
        let mut queue = self.queue.clone();
        queue.insert(position, entry);
        let mut removed = Vec::new();
        if queue.len() > self.config.queue_max {
            removed.extend(queue.pop().map(|last| (last, DenyReason::Full)));
        }
        let may_shed = self.grants.below(priority) >= self.config.lower_priority_share;
        while let Some(conflict) = self.first_conflict(&queue, &id, outlook) {
            let lower = queue[..=conflict].iter().enumerate();
            let lower = lower.filter(|(_, queued)| queued.priority > priority);
            let shed = lower.max_by_key(|(position, queued)| (queued.priority, *position));
            let Some((position, _)) = shed.filter(|_| may_shed) else {
                return false;
            };
            removed.push((queue.remove(position), DenyReason::Shed));
        }
        self.queue = queue;
        for (queued, reason) in removed {
            answers.push(self.deny(queued, reason, outlook));
        }
        true
    }

    /// First queued request, from the one called `id` on, that the others ahead of it
    /// leave too little time.
    fn first_conflict(&self, queue: &[Queued<R>], id: &R, outlook: &Outlook) -> Option<usize> {
        let own = queue.iter().position(|queued| queued.id == *id)?;
        let queue_margin = self.queue_margin(outlook);
        let has_conflict = |position: &usize| {
            let queued = &queue[*position];
            let ahead = self.leases.len() + position;
            let starts_now = ahead < outlook.slots as usize;
            // A slow server would be idle between arrivals if nobody could queue.
            let margin = match *position == own && queue.len() > 1 {
                true => queue_margin,
                false => 1.0,
            };
            !queued.is_late && !starts_now && !outlook.is_in_time(ahead, queued.objective, margin)
        };
        (own..queue.len()).find(has_conflict)
    }

    /// Factor on the expected run time with which a request must meet its objective.
    fn queue_margin(&self, outlook: &Outlook) -> f64 {
        let [from, to] = self.config.margin_demand;
        let interval = self.run_time.normal() / f64::from(outlook.slots);
        let demand = self.demand.rate(outlook.now) * interval;
        let share = ((demand - from) / (to - from)).clamp(0.0, 1.0);
        1.0 + (self.config.queue_margin - 1.0) * share
    }

    fn grant(&mut self, queued: Queued<R>, now: Time) -> (R, SlotAnswer) {
        let others = self.shared_use.requests(self.slots, now);
        let in_flight = u32::try_from(self.leases.len()).unwrap_or(u32::MAX);
        let in_flight = in_flight.saturating_add(others).min(u32::MAX - 1);
        let lease = Lease {
            granted: now,
            end: queued.deadline + self.config.lease_grace,
            run_share: run_share(in_flight, self.slots),
            slowdown: self.run_time.slowdown(now),
        };
        if !queued.is_late {
            self.grants.record(queued.priority, now);
        }
        self.leases.insert(queued.id.clone(), lease);
        (queued.id, SlotAnswer::Granted)
    }

    fn deny(
        &mut self,
        queued: Queued<R>,
        reason: DenyReason,
        outlook: &Outlook,
    ) -> (R, SlotAnswer) {
        let queue_end = outlook.wait(self.leases.len() + self.queue.len());
        let retry_after = self.retry_times.assign(
            &self.config,
            outlook.now + Duration::from_secs_f64(queue_end),
            Duration::from_secs_f64(outlook.interval()),
            queued.deadline - outlook.now,
            outlook.now,
        );
        let answer = SlotAnswer::Denied {
            retry_after,
            reason,
        };
        (queued.id, answer)
    }

    fn record(&mut self, lease: &Lease, outcome: SlotOutcome, now: Time) {
        let leases = u32::try_from(self.leases.len()).unwrap_or(u32::MAX);
        match outcome {
            SlotOutcome::Ran { span, load } => {
                if let Some(load) = load {
                    self.run_time.record_load(&load, now);
                    self.shared_use.record_load(&load, leases, now);
                }
                let run_time = span.as_secs_f64() * lease.run_share;
                self.run_time.record(run_time, lease.slowdown, now);
                self.completed_grant = self.completed_grant.max(lease.granted);
            }
            SlotOutcome::Refused { load } => {
                self.shared_use.record_refusal(load, leases, now);
            }
            SlotOutcome::Failed | SlotOutcome::Unused => {}
        }
    }
}
