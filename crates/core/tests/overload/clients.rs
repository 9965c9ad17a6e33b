//! Arrival of client requests at the instances.

use {
    citron_core::time::Time,
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::time::Duration,
};

pub const INSTANCES: usize = 10;
/// Relative request rates of the instances, rotated by one instance every 10 s.
const WEIGHTS: [f64; INSTANCES] = [6.0, 4.0, 2.0, 2.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0];
const TURN: Duration = Duration::from_secs(10);

pub struct Clients {
    /// Requests per second.
    rate: f64,
    random: ChaCha8Rng,
}

impl Clients {
    pub fn new(rate: f64, seed: u64) -> Self {
        let random = ChaCha8Rng::seed_from_u64(seed);
        Self { rate, random }
    }

    /// Time to the next arrival.
    pub fn gap(&mut self) -> Duration {
        let uniform = self.random.random_range(f64::MIN_POSITIVE..1.0);
        Duration::from_secs_f64(-uniform.ln() / self.rate)
    }

    pub fn instance(&mut self, now: Time) -> usize {
        let rotation = now.as_micros() as usize / TURN.as_micros() as usize;
        let mut point = self.random.random_range(0.0..WEIGHTS.iter().sum());
        let found = WEIGHTS.iter().position(|weight| {
            point -= weight;
            point < 0.0
        });
        (found.unwrap_or(0) + rotation) % INSTANCES
    }
}
