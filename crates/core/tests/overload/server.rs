//! A backend server with slots and a backlog.

use {
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{collections::VecDeque, mem::take, time::Duration},
};

/// Work of a request in seconds: a fixed part and the mean of an exponential one.
pub const WORK_FIXED: f64 = 0.005;
pub const WORK_RANDOM: f64 = 0.015;
/// Work of the server for each refusal, added to the next request that it starts.
const REFUSAL_WORK: Duration = Duration::from_micros(500);

/// Result of a request's arrival at the server.
pub enum Arrival {
    /// The request runs for this time.
    Started(Duration),
    /// The request is queued.
    Queued,
    /// The request is refused.
    Refused,
}

/// A server that does not notice disconnected clients, which is the worst case.
pub struct Server<T> {
    slots: u32,
    backlog_max: usize,
    running: u32,
    backlog: VecDeque<T>,
    refusal_work: Duration,
    random: ChaCha8Rng,
}

impl<T> Server<T> {
    pub fn new(slots: u32, backlog_max: usize, seed: u64) -> Self {
        Self {
            slots,
            backlog_max,
            running: 0,
            backlog: VecDeque::new(),
            refusal_work: Duration::ZERO,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    pub fn idle_slots(&self) -> u32 {
        self.slots - self.running
    }

    pub fn accept(&mut self, request: T) -> Arrival {
        if self.idle_slots() > 0 {
            return Arrival::Started(self.work());
        }
        if self.backlog.len() < self.backlog_max {
            self.backlog.push_back(request);
            return Arrival::Queued;
        }
        self.refusal_work += REFUSAL_WORK;
        Arrival::Refused
    }

    /// Ends a request; returns the next queued one and its work.
    pub fn finish(&mut self) -> Option<(T, Duration)> {
        self.running -= 1;
        let next = self.backlog.pop_front()?;
        Some((next, self.work()))
    }

    fn work(&mut self) -> Duration {
        self.running += 1;
        let random = -self.random.random_range(f64::MIN_POSITIVE..1.0).ln();
        let work = Duration::from_secs_f64(WORK_FIXED + WORK_RANDOM * random);
        work + take(&mut self.refusal_work)
    }
}
