//! What an instance knows of one server's load.

use {
    crate::{id::Slots, time::Time},
    std::time::Duration,
};

/// Weight of a new sample of a server's run time: the last ten or so count.
const NEW: f64 = 0.1;
/// How long a server that took no connection is left alone at first.
const DOWN_MIN: Duration = Duration::from_millis(300);
/// How long at most.
const DOWN_MAX: Duration = Duration::from_secs(2);
/// How long one refusal for want of room counts: about one run time, after
/// which a slot has become free.
const FULL_TIME: Duration = Duration::from_millis(150);
/// How long a server is left alone that closed a new connection: others have to give
/// theirs up first.
const CLOSED_TIME: Duration = Duration::from_millis(300);
/// The least part of callers that counts as let in.
const CALLERS_LEAST: f64 = 0.05;
/// Part of the latest tries that must have been refused or failed for a server to be
/// asked with care.
const DOUBTED: f64 = 0.05;
/// Time over which requests are averaged that others have at a server unheard:
/// some hundred requests of a service, and shorter than a burst.
const MEAN_TIME: Duration = Duration::from_secs(1);
/// After so long without a sample a server's time counts for nothing: it may
/// have been slow for a while only, and would never be tried again.
const STALE: Duration = Duration::from_secs(4);

/// How a try ended, as far as it tells of the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finish {
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
    pub own: u32,
    /// Requests of other instances, by their last reports.
    pub peers: u32,
    /// The mean of both over the last second or so.
    mean: f64,
    changed: Time,
    /// Run time of a request that did not have to wait, in seconds.
    run: Option<f64>,
    sampled: Time,
    /// The same, as other instances see it.
    peer_run: Option<f64>,
    peer_sampled: Time,
    /// Part of the latest tries that were refused or failed.
    refused: f64,
    /// Part of the latest requests for it that it or this instance rejected.
    rejected: f64,
    full_until: Time,
    down: u32,
    down_until: Time,
}

impl ServerLoad {
    /// All requests there.
    pub fn busy(&self) -> u32 {
        self.own + self.peers
    }

    /// Requests that are there, where each known one stands for `scale`, as other
    /// instances do not report here. The unknown ones are there on average: otherwise a
    /// request that happens to be under way would count as several, and others would be
    /// refused for nothing.
    pub fn expected(&self, scale: f64, now: Time) -> f64 {
        f64::from(self.busy()) + (scale - 1.0) * self.mean_at(now)
    }

    fn mean_at(&self, now: Time) -> f64 {
        let age = (now - self.changed).as_secs_f64() / MEAN_TIME.as_secs_f64();
        let busy = f64::from(self.busy());
        busy + (self.mean - busy) * (-age).exp()
    }

    /// Brings the mean up to date, before the counts change.
    pub fn average(&mut self, now: Time) {
        self.mean = self.mean_at(now);
        self.changed = now;
    }

    /// The run time that this instance saw last, in seconds.
    pub fn own_run(&self, now: Time) -> Option<f64> {
        self.run.filter(|_| now - self.sampled < STALE)
    }

    /// The run time over all instances, in seconds.
    pub fn run(&self, now: Time) -> Option<f64> {
        let peers = self.peer_run.filter(|_| now - self.peer_sampled < STALE);
        match (self.own_run(now), peers) {
            (Some(own), Some(peer)) => Some((own + 2.0 * peer) / 3.0),
            (own, peer) => own.or(peer),
        }
    }

    /// Whether it took no connection a short while ago.
    pub fn is_down(&self, now: Time) -> bool {
        now < self.down_until
    }

    /// Whether it refused a request for want of room a short while ago.
    pub fn is_full(&self, now: Time) -> bool {
        now < self.full_until
    }

    /// How many callers come for each that is let in. Those that are refused and come back
    /// after so many times the time in which a slot becomes free are about as many as
    /// there is room for; if they came sooner, they would be refused again.
    pub fn callers(&self) -> f64 {
        1.0 / (1.0 - self.rejected).max(CALLERS_LEAST)
    }

    /// A request for it was rejected, here or there.
    pub fn note_rejected(&mut self) {
        self.rejected += (1.0 - self.rejected) * NEW;
    }

    /// Whether it refused, failed or broke off some of the latest tries.
    pub fn is_doubted(&self) -> bool {
        self.refused > DOUBTED || self.down > 0
    }

    /// Part of the latest tries that it refused or failed, from 0 to 1.
    pub fn refused(&self) -> f64 {
        self.refused
    }

    /// Learns from another instance's run time, in seconds.
    pub fn note_peer_run(&mut self, run: f64, now: Time) {
        let former = self.peer_run.filter(|_| now - self.peer_sampled < STALE);
        let former = former.unwrap_or(run);
        self.peer_run = Some(former + (run - former) * NEW);
        self.peer_sampled = now;
    }

    /// Learns from a try that took `span`, of which it ran for a part `share`; see
    /// [`run_share`].
    pub fn note(&mut self, finish: Finish, span: Duration, share: f64, now: Time) {
        let alone = share >= 1.0;
        match finish {
            Finish::Ran => {
                self.down = 0;
                self.rejected -= self.rejected * NEW;
                self.refused -= self.refused * NEW;
                let sample = span.as_secs_f64() * share;
                let former = self.own_run(now).unwrap_or(sample);
                self.run = Some(former + (sample - former) * NEW);
                self.sampled = now;
            }
            Finish::Failed => self.refused += (1.0 - self.refused) * NEW,
            Finish::Full => {
                self.refused += (1.0 - self.refused) * NEW;
                self.note_rejected();
                // With a slot free it did not refuse for want of room, and the
                // next request may be taken.
                if !alone {
                    self.full_until = now + FULL_TIME;
                }
            }
            Finish::Shed => {
                self.refused += (1.0 - self.refused) * NEW;
                self.note_rejected();
            }
            Finish::Closed => {
                self.refused += (1.0 - self.refused) * NEW;
                self.note_rejected();
                self.full_until = now + CLOSED_TIME;
            }
            Finish::Lost => {
                let factor = 1 << self.down.min(4);
                self.down += 1;
                self.down_until = now + (DOWN_MIN * factor).min(DOWN_MAX);
            }
            Finish::Other => {}
        }
    }
}

/// The part of a request's time at a server that it runs, where `busy` others are
/// there when it comes: each waits for the slots in turn. Without those that wait
/// the busiest server's time would not be known, and a server that is slow would be
/// taken for an average one as soon as it is overloaded.
///
/// ```
/// use citron_core::{dispatch::run_share, id::Slots};
/// assert_eq!(run_share(1, Slots(2)), 1.0);
/// assert_eq!(run_share(3, Slots(2)), 0.5);
/// ```
pub fn run_share(busy: u32, slots: Slots) -> f64 {
    (f64::from(slots.0) / f64::from(busy + 1)).min(1.0)
}
