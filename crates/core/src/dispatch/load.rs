//! Load and health of one server, as one instance knows them.

use {
    crate::{id::Slots, time::Time},
    std::time::Duration,
};

/// Weight of a new sample in the moving averages; about the last ten samples count.
const EWMA_WEIGHT: f64 = 0.1;
/// Time for which a server gets no requests after the first failed connection.
const UNREACHABLE_MIN: Duration = Duration::from_millis(300);
/// Upper bound of that time; it doubles with each failed connection in a row.
const UNREACHABLE_MAX: Duration = Duration::from_secs(2);
/// Time for which a refusal for lack of capacity counts. It is about one run time, after
/// which a slot has become free.
const FULL_TIME: Duration = Duration::from_millis(150);
/// Time for which a server gets no requests after it closed a new connection: other
/// connections to it have to be closed first.
const CLOSED_TIME: Duration = Duration::from_millis(300);
/// Lower bound of the fraction of clients that count as admitted.
const ADMITTED_SHARE_MIN: f64 = 0.05;
/// Fraction of failed attempts above which a server counts as suspect.
const SUSPECT_FAILURE_RATE: f64 = 0.05;
/// Time constant of the average over requests that other instances do not report: long
/// enough for some hundred requests of a service, and shorter than a burst.
const MEAN_TIME_CONSTANT: Duration = Duration::from_secs(1);
/// Time after which a run time without new samples is ignored. A server may have been
/// slow only for a while, and without this limit would never be tried again.
const RUN_TIME_TTL: Duration = Duration::from_secs(4);

/// Fraction of a server's slots from which on requests may have to wait for one. An instance
/// knows the requests of others by reports that are older than a request runs.
const CONTENDED_SHARE: f64 = 0.75;
/// Time for which a request that had to wait, or was denied a slot, shows that others may
/// have to as well: a burst lasts some seconds.
const CONTENDED_TIME: Duration = Duration::from_secs(2);

/// Outcome of an attempt, as far as it tells about the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The server ran the request.
    Ran,
    /// The server responded with an error of its own. The response time is ignored:
    /// errors are quick and would make a faulty server look fast.
    Failed,
    /// The server refused the request for lack of capacity.
    Full,
    /// The server refused the request although it reports free capacity; it may accept
    /// the next one.
    Shed,
    /// The server accepted a connection and closed it at once: its connection limit is
    /// reached.
    Closed,
    /// The server could not be reached, or the connection broke.
    Lost,
    /// The attempt says nothing about the server: the client disconnected, or the server
    /// does not own the key.
    Other,
}

/// In-flight requests of all instances at one server, with its run time and failure rate.
#[derive(Debug, Clone, Default)]
pub struct ServerLoad {
    /// In-flight requests of this instance.
    pub local: u32,
    /// In-flight requests of other instances, by their latest reports.
    pub peers: u32,
    /// Moving average of all known in-flight requests, over about a second.
    mean: f64,
    mean_updated: Time,
    /// Run time of a request without its queueing time, in seconds.
    run_time: Option<f64>,
    run_time_updated: Time,
    /// Run time as other instances report it, in seconds.
    peer_run_time: Option<f64>,
    peer_run_time_updated: Time,
    /// Moving average of the fraction of attempts that were refused or failed.
    failure_rate: f64,
    /// Moving average of the fraction of requests that the server or this instance
    /// rejected.
    rejection_rate: f64,
    full_until: Time,
    losses: u32,
    unreachable_until: Time,
    rest_until: Time,
    contended_until: Time,
}

impl ServerLoad {
    /// All known in-flight requests at the server.
    pub fn in_flight(&self) -> u32 {
        self.local + self.peers
    }

    /// Estimate of all in-flight requests, with `load_factor` requests for each known
    /// one, as some instances do not report here.
    ///
    /// The unreported ones are taken from the moving average. Scaling the current count
    /// would turn one request that happens to be in flight into several, and reject
    /// others needlessly.
    pub fn expected_in_flight(&self, load_factor: f64, now: Time) -> f64 {
        f64::from(self.in_flight()) + (load_factor - 1.0) * self.mean_at(now)
    }

    fn mean_at(&self, now: Time) -> f64 {
        let age = (now - self.mean_updated).as_secs_f64() / MEAN_TIME_CONSTANT.as_secs_f64();
        let in_flight = f64::from(self.in_flight());
        in_flight + (self.mean - in_flight) * (-age).exp()
    }

    /// Updates the moving average. To be called before the counts change.
    pub fn update_mean(&mut self, now: Time) {
        self.mean = self.mean_at(now);
        self.mean_updated = now;
    }

    /// Latest run time that this instance measured, in seconds; `None` if there is no
    /// recent one.
    pub fn local_run_time(&self, now: Time) -> Option<f64> {
        self.run_time
            .filter(|_| now - self.run_time_updated < RUN_TIME_TTL)
    }

    /// Run time over all instances, in seconds; `None` if nobody has measured it lately.
    pub fn run_time(&self, now: Time) -> Option<f64> {
        let peers = self
            .peer_run_time
            .filter(|_| now - self.peer_run_time_updated < RUN_TIME_TTL);
        match (self.local_run_time(now), peers) {
            (Some(local), Some(peer)) => Some((local + 2.0 * peer) / 3.0),
            (local, peer) => local.or(peer),
        }
    }

    /// Whether a recent connection to the server failed.
    pub fn is_unreachable(&self, now: Time) -> bool {
        now < self.unreachable_until
    }

    /// Whether the server lately refused a request for lack of capacity.
    pub fn is_full(&self, now: Time) -> bool {
        now < self.full_until
    }

    /// Whether a request for the server may have to wait for a slot. `load_factor` is that of
    /// [`Self::expected_in_flight`].
    pub fn may_be_contended(&self, slots: Slots, load_factor: f64, now: Time) -> bool {
        let in_flight = self.expected_in_flight(load_factor, now) + 1.0;
        now < self.contended_until
            || self.is_full(now)
            || self.run_time(now).is_none()
            || in_flight > f64::from(slots.0) * CONTENDED_SHARE
    }

    /// Records that a request had to wait for a slot of the server, or was denied one.
    pub fn record_contention(&mut self, now: Time) {
        self.contended_until = now + CONTENDED_TIME;
    }

    /// Time for which the server has asked this instance for rest; `None` if it has not.
    pub fn remaining_rest(&self, now: Time) -> Option<Duration> {
        (now < self.rest_until).then(|| self.rest_until - now)
    }

    /// Records that the server asks this instance for rest until `until`. Returns whether
    /// it was not at rest before.
    pub fn record_rest(&mut self, until: Time, now: Time) -> bool {
        let begins = self.remaining_rest(now).is_none();
        self.rest_until = self.rest_until.max(until);
        begins
    }

    /// Clients for each one that is admitted, from 1 to 20.
    ///
    /// If rejected clients retry after this multiple of the time in which a slot becomes
    /// free, about as many arrive as there is capacity for. If they retried sooner, they
    /// would be rejected again.
    pub fn clients_per_admission(&self) -> f64 {
        1.0 / (1.0 - self.rejection_rate).max(ADMITTED_SHARE_MIN)
    }

    /// Counts a request that the server or this instance rejected.
    pub fn record_rejection(&mut self) {
        self.rejection_rate += (1.0 - self.rejection_rate) * EWMA_WEIGHT;
    }

    /// Whether the server lately refused or failed more than 5 % of its attempts, or lost
    /// a connection since the last request that it ran.
    pub fn is_suspect(&self) -> bool {
        self.failure_rate > SUSPECT_FAILURE_RATE || self.losses > 0
    }

    /// Recent fraction of attempts that the server refused or failed, from 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Adds a run time that another instance reported, in seconds.
    pub fn record_peer_run_time(&mut self, run_time: f64, now: Time) {
        let previous = self
            .peer_run_time
            .filter(|_| now - self.peer_run_time_updated < RUN_TIME_TTL);
        let previous = previous.unwrap_or(run_time);
        self.peer_run_time = Some(previous + (run_time - previous) * EWMA_WEIGHT);
        self.peer_run_time_updated = now;
    }

    /// Adds the outcome of an attempt that took `span`; `share` is the fraction of it
    /// that the request ran for, as [`run_share`] gives it.
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
                // The server refused with a slot free, so not for lack of capacity, and
                // may accept the next request.
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

/// Fraction of a request's time at a server during which it runs, with `in_flight` others
/// there when it arrives; the rest is queueing for a slot.
///
/// Samples of requests that had to queue are needed: the busiest server would have no
/// others, and a slow server would be taken for an average one as soon as it is
/// overloaded.
///
/// ```
/// use citron_core::{dispatch::run_share, id::Slots};
/// assert_eq!(run_share(1, Slots(2)), 1.0);
/// assert_eq!(run_share(3, Slots(2)), 0.5);
/// ```
pub fn run_share(in_flight: u32, slots: Slots) -> f64 {
    (f64::from(slots.0) / f64::from(in_flight + 1)).min(1.0)
}
