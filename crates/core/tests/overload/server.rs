//! A backend server with slots and a backlog.

use {
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{collections::VecDeque, mem::take, time::Duration},
};

/// Work of a request in seconds: a fixed part and an exponential one.
pub const WORK_FIXED: f64 = 0.005;
pub const WORK_RANDOM: f64 = 0.015;
/// Added to the server's next work for each refusal.
const REFUSAL_WORK: Duration = Duration::from_micros(500);

/// What becomes of a request that reached the server.
pub enum Reached {
    /// It works on it for so long.
    Works(Duration),
    /// It keeps it for later.
    Kept,
    /// It refuses it.
    Refused,
}

/// Does not notice that a caller is gone: the worst case.
pub struct Server<T> {
    slots: u32,
    most: usize,
    running: u32,
    backlog: VecDeque<T>,
    extra: Duration,
    random: ChaCha8Rng,
}

impl<T> Server<T> {
    pub fn new(slots: u32, most: usize, seed: u64) -> Self {
        Self {
            slots,
            most,
            running: 0,
            backlog: VecDeque::new(),
            extra: Duration::ZERO,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    pub fn idle(&self) -> u32 {
        self.slots - self.running
    }

    pub fn reach(&mut self, request: T) -> Reached {
        if self.idle() > 0 {
            return Reached::Works(self.work());
        }
        if self.backlog.len() < self.most {
            self.backlog.push_back(request);
            return Reached::Kept;
        }
        self.extra += REFUSAL_WORK;
        Reached::Refused
    }

    /// A slot is free; the next kept request and its work.
    pub fn worked(&mut self) -> Option<(T, Duration)> {
        self.running -= 1;
        let next = self.backlog.pop_front()?;
        Some((next, self.work()))
    }

    fn work(&mut self) -> Duration {
        self.running += 1;
        let random = -self.random.random_range(f64::MIN_POSITIVE..1.0).ln();
        let work = Duration::from_secs_f64(WORK_FIXED + WORK_RANDOM * random);
        work + take(&mut self.extra)
    }
}
