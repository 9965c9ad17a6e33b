//! Who may go to one backend server now, who waits, who is refused.

use {
    super::{
        Demand, LimitConfig, Rate, RateLimiter, ReleaseReason, ServerLimit, SlotShare, Ticket,
        WaitQueue, Warmup,
    },
    crate::{routing::FailureReason, time::Time},
    std::time::Duration,
};

/// Sizes of a gate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionConfig {
    /// Requests that may wait for a server on one instance.
    pub queue_max: usize,
    /// The longest wait that is worth beginning; a longer one is refused at once.
    pub wait_max: Duration,
    /// How the share follows the server.
    pub limit: LimitConfig,
}

impl AdmissionConfig {
    /// The defaults.
    pub const STANDARD: Self = Self {
        queue_max: 64,
        wait_max: Duration::from_millis(250),
        limit: LimitConfig::STANDARD,
    };
}

/// Requests since the last sample.
#[derive(Debug, Default)]
struct Counts {
    arrivals: u32,
    answers: u32,
}

/// What becomes of a request that arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It may be sent now; report its end by [`AdmissionController::end`].
    Start,
    /// It waits; [`AdmissionController::next`] will name it.
    Queued,
    /// It is refused and may come back after `wait`.
    Shed {
        /// Why.
        reason: FailureReason,
        /// The expected wait.
        wait: Duration,
    },
}

/// What [`AdmissionController::next`] decided about a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueDecision {
    /// It may be sent now; report its end by [`AdmissionController::end`].
    Start(Ticket),
    /// It could no longer end in time and is refused now.
    Shed {
        /// Which.
        ticket: Ticket,
        /// When it may come back.
        wait: Duration,
    },
}

/// Limit, cap and queue of one backend server on one instance.
///
/// Drive it so: [`Self::admit`] for each request; [`Self::end`] for each that was
/// started; then, and whenever [`Self::ready_at`] has come, [`Self::next`] until it
/// answers `None`. Once per exchange with the other instances, send
/// [`Self::demand`] and set the share that [`super::shares`] gives.
///
/// ```
/// use {citron_core::{admission::*, id::Slots, time::Time}, std::time::Duration};
/// let now = Time::ZERO;
/// let mut controller = AdmissionController::new(AdmissionConfig::STANDARD, even_share(Slots(4), 10), now);
/// let deadline = now + Duration::from_secs(1);
/// assert_eq!(controller.admit(Ticket(1), deadline, now), Admission::Start);
/// assert_eq!(controller.admit(Ticket(2), deadline, now), Admission::Queued);
/// let held = Duration::from_millis(20);
/// controller.end(ReleaseReason::Answered, held, now + held);
/// let ready = controller.ready_at(now + held).unwrap();
/// assert_eq!(controller.next(ready), Some(QueueDecision::Start(Ticket(2))));
/// ```
#[derive(Debug)]
pub struct AdmissionController {
    config: AdmissionConfig,
    limit: ServerLimit,
    cap: Option<RateLimiter>,
    queue: WaitQueue,
    warmup: Option<Warmup>,
    share: SlotShare,
    has_waited: bool,
    counts: Counts,
    demand: Demand,
    sampled_at: Time,
}

impl AdmissionController {
    /// A gate that is open.
    pub fn new(config: AdmissionConfig, share: SlotShare, now: Time) -> Self {
        Self {
            limit: ServerLimit::new(share, config.limit, now),
            cap: None,
            queue: WaitQueue::default(),
            warmup: None,
            share,
            has_waited: false,
            counts: Counts::default(),
            demand: Demand::NONE,
            sampled_at: now,
            config,
        }
    }

    /// Decides about a request that just arrived.
    pub fn admit(&mut self, ticket: Ticket, deadline: Time, now: Time) -> Admission {
        self.counts.arrivals = self.counts.arrivals.saturating_add(1);
        if let Some(shed) = self.check_cap(now) {
            return shed;
        }
        if self.queue.is_empty() && self.limit.try_begin(now) {
            return Admission::Start;
        }
        self.queue_or_shed(ticket, deadline, now)
    }

    /// A request that was started has ended, after holding its slot so long.
    pub fn end(&mut self, release: ReleaseReason, held: Duration, now: Time) {
        if release == ReleaseReason::Answered {
            self.counts.answers = self.counts.answers.saturating_add(1);
        }
        let has_waited = std::mem::take(&mut self.has_waited) || !self.queue.is_empty();
        self.limit.end(release, held, has_waited, now);
        self.apply_share(now);
    }

    /// Takes the next request that may start, or that has to be refused.
    pub fn next(&mut self, now: Time) -> Option<QueueDecision> {
        if let Some(ticket) = self.queue.pop_expired(now, self.limit.hold_time()) {
            let wait = self.limit.expected_wait(self.queue.len());
            return Some(QueueDecision::Shed { ticket, wait });
        }
        if self.queue.is_empty() || !self.limit.try_begin(now) {
            return None;
        }
        self.queue.pop().map(QueueDecision::Start)
    }

    /// When [`Self::next`] may have an answer without another event before.
    pub fn ready_at(&self, now: Time) -> Option<Time> {
        if self.queue.is_empty() {
            return None;
        }
        self.limit.ready_at(now)
    }

    /// The caller of a waiting request left.
    pub fn cancel(&mut self, ticket: Ticket, deadline: Time) {
        self.queue.remove(ticket, deadline);
    }

    /// The rates of late, for the exchange with other instances. Ask once for
    /// each exchange: the counts begin anew.
    pub fn demand(&mut self, now: Time) -> Demand {
        let span = (now - self.sampled_at).as_secs_f64();
        if span > 0.0 {
            let counts = std::mem::take(&mut self.counts);
            self.demand
                .arrivals
                .update_average(f64::from(counts.arrivals) / span);
            self.demand
                .answers
                .update_average(f64::from(counts.answers) / span);
            self.sampled_at = now;
        }
        self.demand
    }

    /// Sets this instance's part of the server's slots.
    pub fn set_share(&mut self, share: SlotShare, now: Time) {
        self.share = share;
        self.apply_share(now);
    }

    /// Sets this instance's part of the server's cap; `None` lifts it.
    pub fn set_cap(&mut self, rate: Option<Rate>, now: Time) {
        match (&mut self.cap, rate) {
            (Some(cap), Some(rate)) => cap.set_rate(rate, now),
            (cap, rate) => *cap = rate.map(|rate| RateLimiter::new(rate, now)),
        }
    }

    /// The server has just come up: its share grows to full over a while.
    pub fn start_warmup(&mut self, now: Time) {
        self.warmup = Some(Warmup::new(now));
        self.apply_share(now);
    }

    /// Requests that run now.
    pub fn running(&self) -> u32 {
        self.limit.running()
    }

    /// Requests that wait now.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    fn apply_share(&mut self, now: Time) {
        let fraction = self
            .warmup
            .as_ref()
            .map_or(1.0, |warmup| warmup.share_fraction(now));
        if fraction >= 1.0 {
            self.warmup = None;
        }
        let share = SlotShare::new(self.share.slots() * fraction);
        self.limit.set_share(share, now);
    }

    fn check_cap(&mut self, now: Time) -> Option<Admission> {
        let cap = self.cap.as_mut()?;
        if cap.try_take(now) {
            return None;
        }
        Some(Admission::Shed {
            reason: FailureReason::RateLimited,
            wait: cap.wait(now),
        })
    }

    /// Refuses at once what could not be done in time: a caller that waits
    /// for nothing also holds memory, and its late answer is wasted slot time.
    fn queue_or_shed(&mut self, ticket: Ticket, deadline: Time, now: Time) -> Admission {
        let wait = self.limit.expected_wait(self.queue.count_ahead(deadline));
        let is_late = now + wait + self.limit.hold_time() > deadline;
        let is_full = self.queue.len() >= self.config.queue_max;
        if is_late || is_full || wait > self.config.wait_max {
            let wait = self.limit.expected_wait(self.queue.len());
            let reason = FailureReason::Overloaded;
            return Admission::Shed { reason, wait };
        }
        self.queue.push(ticket, deadline);
        self.has_waited = true;
        Admission::Queued
    }
}
