//! What an instance knows of one server's load.

use {
    crate::{id::Slots, time::Time},
    std::time::Duration,
};

/// Weight of a new sample of a server's run time: the last ten or so count.
const EWMA_WEIGHT: f64 = 0.1;
/// How long a server that took no connection is left alone at first.
const UNREACHABLE_MIN: Duration = Duration::from_millis(300);
/// How long at most.
const UNREACHABLE_MAX: Duration = Duration::from_secs(2);
/// How long one refusal for want of room counts: about one run time, after
/// which a slot has become free.
const FULL_TIME: Duration = Duration::from_millis(150);
/// How long a server is left alone that closed a new connection: others have to give
/// theirs up first.
const CLOSED_TIME: Duration = Duration::from_millis(300);
/// The least part of callers that counts as let in.
const ADMITTED_SHARE_MIN: f64 = 0.05;
/// Part of the latest tries that must have been refused or failed for a server to be
/// asked with care.
const SUSPECT_FAILURE_RATE: f64 = 0.05;
/// Time over which requests are averaged that others have at a server unheard:
/// some hundred requests of a service, and shorter than a burst.
const MEAN_TIME_CONSTANT: Duration = Duration::from_secs(1);
/// After so long without a sample a server's time counts for nothing: it may
/// have been slow for a while only, and would never be tried again.
const RUN_TIME_TTL: Duration = Duration::from_secs(4);

/// How a try ended, as far as it tells of the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It ran the request.
    Ran,
    /// It answered with a failure of its own. Its time says nothing: failures
    /// are quick, and would make a faulty server look fast.
    Failed,
    /// It refused the request for want of room.
    Full,
    /// It refused the request although it says that it had room: the next one may be
    /// taken.
    Shed,
    /// It took a connection and closed it at once: it has as many as it takes.
    Closed,
    /// It could not be reached, or broke off.
    Lost,
    /// Nothing can be learned: the caller left, or the owner was another.
    Other,
}

/// Requests of this instance and of others at a server, and how it runs them.
#[derive(Debug, Clone, Default)]
pub struct ServerLoad {
    /// Requests of this instance.
    pub local: u32,
    /// Requests of other instances, by their last reports.
    pub peers: u32,
    /// The mean of both over the last second or so.
    mean: f64,
    mean_updated: Time,
    /// Run time of a request that did not have to wait, in seconds.
    run_time: Option<f64>,
    run_time_updated: Time,
    /// The same, as other instances see it.
    peer_run_time: Option<f64>,
    peer_run_time_updated: Time,
    /// Part of the latest tries that were refused or failed.
    failure_rate: f64,
    /// Part of the latest requests for it that it or this instance rejected.
    rejection_rate: f64,
    full_until: Time,
    losses: u32,
    unreachable_until: Time,
}

impl ServerLoad {
    /// All requests there.
    pub fn in_flight(&self) -> u32 {
        self.local + self.peers
    }

    /// Requests that are there, where each known one stands for `load_factor`, as other
    /// instances do not report here. The unknown ones are there on average: otherwise a
    /// request that happens to be under way would count as several, and others would be
    /// refused for nothing.
    pub fn expected_in_flight(&self, load_factor: f64, now: Time) -> f64 {
        f64::from(self.in_flight()) + (load_factor - 1.0) * self.mean_at(now)
    }

    fn mean_at(&self, now: Time) -> f64 {
        let age = (now - self.mean_updated).as_secs_f64() / MEAN_TIME_CONSTANT.as_secs_f64();
        let in_flight = f64::from(self.in_flight());
        in_flight + (self.mean - in_flight) * (-age).exp()
    }

    /// Brings the mean up to date, before the counts change.
    pub fn update_mean(&mut self, now: Time) {
        self.mean = self.mean_at(now);
        self.mean_updated = now;
    }

    /// The run time that this instance saw last, in seconds.
    pub fn local_run_time(&self, now: Time) -> Option<f64> {
        self.run_time
            .filter(|_| now - self.run_time_updated < RUN_TIME_TTL)
    }

    /// The run time over all instances, in seconds.
    pub fn run_time(&self, now: Time) -> Option<f64> {
        let peers = self
            .peer_run_time
            .filter(|_| now - self.peer_run_time_updated < RUN_TIME_TTL);
        match (self.local_run_time(now), peers) {
            (Some(local), Some(peer)) => Some((local + 2.0 * peer) / 3.0),
            (local, peer) => local.or(peer),
        }
    }

    /// Whether it took no connection a short while ago.
    pub fn is_unreachable(&self, now: Time) -> bool {
        now < self.unreachable_until
    }

    /// Whether it refused a request for want of room a short while ago.
    pub fn is_full(&self, now: Time) -> bool {
        now < self.full_until
    }

    /// How many callers come for each that is let in. Those that are refused and come back
    /// after so many times the time in which a slot becomes free are about as many as
    /// there is room for; if they came sooner, they would be refused again.
    pub fn callers_per_admission(&self) -> f64 {
        1.0 / (1.0 - self.rejection_rate).max(ADMITTED_SHARE_MIN)
    }

    /// A request for it was rejected, here or there.
    pub fn record_rejection(&mut self) {
        self.rejection_rate += (1.0 - self.rejection_rate) * EWMA_WEIGHT;
    }

    /// Whether it refused, failed or broke off some of the latest tries.
    pub fn is_suspect(&self) -> bool {
        self.failure_rate > SUSPECT_FAILURE_RATE || self.losses > 0
    }

    /// Part of the latest tries that it refused or failed, from 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Learns from another instance's run time, in seconds.
    pub fn record_peer_run_time(&mut self, run_time: f64, now: Time) {
        let previous = self
            .peer_run_time
            .filter(|_| now - self.peer_run_time_updated < RUN_TIME_TTL);
        let previous = previous.unwrap_or(run_time);
        self.peer_run_time = Some(previous + (run_time - previous) * EWMA_WEIGHT);
        self.peer_run_time_updated = now;
    }

    /// Learns from a try that took `span`, of which it ran for a part `share`; see
    /// [`run_share`].
    pub fn record(&mut self, outcome: AttemptOutcome, span: Duration, share: f64, now: Time) {
        let has_free_slot = share >= 1.0;
        match outcome {
            AttemptOutcome::Ran => {
                self.losses = 0;
                self.rejection_rate -= self.rejection_rate * EWMA_WEIGHT;
                self.failure_rate -= self.failure_rate * EWMA_WEIGHT;
                let sample = span.as_secs_f64() * share;
                let previous = self.local_run_time(now).unwrap_or(sample);
                self.run_time = Some(previous + (sample - previous) * EWMA_WEIGHT);
                self.run_time_updated = now;
            }
            AttemptOutcome::Failed => self.failure_rate += (1.0 - self.failure_rate) * EWMA_WEIGHT,
            AttemptOutcome::Full => {
                self.failure_rate += (1.0 - self.failure_rate) * EWMA_WEIGHT;
                self.record_rejection();
                // With a slot free it did not refuse for want of room, and the
                // next request may be taken.
                if !has_free_slot {
                    self.full_until = now + FULL_TIME;
                }
            }
            AttemptOutcome::Shed => {
                self.failure_rate += (1.0 - self.failure_rate) * EWMA_WEIGHT;
                self.record_rejection();
            }
            AttemptOutcome::Closed => {
                self.failure_rate += (1.0 - self.failure_rate) * EWMA_WEIGHT;
                self.record_rejection();
                self.full_until = now + CLOSED_TIME;
            }
            AttemptOutcome::Lost => {
                let factor = 1 << self.losses.min(4);
                self.losses += 1;
                self.unreachable_until = now + (UNREACHABLE_MIN * factor).min(UNREACHABLE_MAX);
            }
            AttemptOutcome::Other => {}
        }
    }
}

/// The part of a request's time at a server that it runs, where `in_flight` others are
/// there when it comes: each waits for the slots in turn. Without those that wait
/// the busiest server's time would not be known, and a server that is slow would be
/// taken for an average one as soon as it is overloaded.
///
/// ```
/// use citron_core::{dispatch::run_share, id::Slots};
/// assert_eq!(run_share(1, Slots(2)), 1.0);
/// assert_eq!(run_share(3, Slots(2)), 0.5);
/// ```
pub fn run_share(in_flight: u32, slots: Slots) -> f64 {
    (f64::from(slots.0) / f64::from(in_flight + 1)).min(1.0)
}
