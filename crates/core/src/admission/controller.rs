//! Admission control for one backend server on one instance.

use {
    super::{
        Demand, LimitConfig, Rate, RateLimiter, ReleaseReason, ServerLimit, SlotShare, Ticket,
        WaitQueue, Warmup,
    },
    crate::{routing::FailureReason, time::Time},
    std::time::Duration,
};

/// Settings of an admission controller.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionConfig {
    /// Longest queue, in requests.
    pub queue_max: usize,
    /// Longest expected wait; requests that would wait longer are shed at once.
    pub wait_max: Duration,
    /// Adaptation of the limit to the server's refusals.
    pub limit: LimitConfig,
}

impl AdmissionConfig {
    /// Default settings.
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

/// Decision about a request that arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request may be sent now; its end is reported with
    /// [`AdmissionController::end`].
    Start,
    /// The request is queued; [`AdmissionController::next`] returns it later.
    Queued,
    /// The request is rejected; the client may retry after `wait`.
    Shed {
        /// Reason for the rejection.
        reason: FailureReason,
        /// Expected wait.
        wait: Duration,
    },
}

/// Decision of [`AdmissionController::next`] about a queued request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueDecision {
    /// The request may be sent now; its end is reported with
    /// [`AdmissionController::end`].
    Start(Ticket),
    /// The request could no longer end in time and is rejected.
    Shed {
        /// The rejected request.
        ticket: Ticket,
        /// Expected wait, after which the client may retry.
        wait: Duration,
    },
}

/// Concurrency limit, rate limit and queue of one backend server on one instance.
///
/// [`Self::admit`] is called for each request, and [`Self::end`] for each that was
/// started. After that, and whenever the time from [`Self::ready_at`] has come,
/// [`Self::next`] is called until it returns `None`. Once per exchange with the other
/// instances, [`Self::demand`] is sent and the share from [`super::shares`] is set.
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
    /// Creates a controller with no requests.
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

    /// Decides about a request that arrived.
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

    /// Records the end of a started request that held its slot for `held`.
    pub fn end(&mut self, release: ReleaseReason, held: Duration, now: Time) {
        if release == ReleaseReason::Answered {
            self.counts.answers = self.counts.answers.saturating_add(1);
        }
        let has_waited = std::mem::take(&mut self.has_waited) || !self.queue.is_empty();
        self.limit.end(release, held, has_waited, now);
        self.apply_share(now);
    }

    /// Takes the next queued request that may start or has to be shed.
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

    /// Time at which [`Self::next`] may return a decision without a further event.
    pub fn ready_at(&self, now: Time) -> Option<Time> {
        if self.queue.is_empty() {
            return None;
        }
        self.limit.ready_at(now)
    }

    /// Removes a queued request whose client disconnected.
    pub fn cancel(&mut self, ticket: Ticket, deadline: Time) {
        self.queue.remove(ticket, deadline);
    }

    /// Recent rates, for the exchange with other instances. To be called once per
    /// exchange, as each call resets the counts.
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

    /// Sets this instance's share of the server's slots.
    pub fn set_share(&mut self, share: SlotShare, now: Time) {
        self.share = share;
        self.apply_share(now);
    }

    /// Sets this instance's share of the server's rate limit; `None` removes the limit.
    pub fn set_cap(&mut self, rate: Option<Rate>, now: Time) {
        match (&mut self.cap, rate) {
            (Some(cap), Some(rate)) => cap.set_rate(rate, now),
            (cap, rate) => *cap = rate.map(|rate| RateLimiter::new(rate, now)),
        }
    }

    /// Starts the warm-up of a server that has just started: its share grows to the full
    /// one over time.
    pub fn start_warmup(&mut self, now: Time) {
        self.warmup = Some(Warmup::new(now));
        self.apply_share(now);
    }

    /// Requests that are running.
    pub fn running(&self) -> u32 {
        self.limit.running()
    }

    /// Requests that are queued.
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

    /// Sheds a request at once if it could not end in time. A client that waits in vain
    /// takes memory, and its late response wastes slot time.
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
