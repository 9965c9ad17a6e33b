//! The wait before a retry.

use {
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::time::Duration,
};

/// The shortest wait before the first retry.
const BASE: Duration = Duration::from_millis(10);
/// The longest wait before any retry.
const MAX: Duration = Duration::from_secs(1);

/// Exponential backoff with full jitter above a base, from a seed.
///
/// Requests that failed together would come back together; the jitter spreads
/// them over the whole wait.
///
/// ```
/// use {citron_core::routing::Backoff, std::time::Duration};
/// let (mut one, mut two) = (Backoff::new(7), Backoff::new(7));
/// assert_eq!(one.wait(1), two.wait(1));
/// assert!(one.wait(1) >= Duration::from_millis(10));
/// assert!(one.wait(60) <= Duration::from_secs(1));
/// ```
#[derive(Debug)]
pub struct Backoff {
    random: ChaCha8Rng,
}

impl Backoff {
    /// Seeds the jitter.
    pub fn new(seed: u64) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// The wait after so many failed tries, from 1.
    pub fn wait(&mut self, failed: u32) -> Duration {
        let doubled = BASE.saturating_mul(1 << failed.min(10));
        let top = doubled.min(MAX);
        self.random.random_range(BASE..=top)
    }
}
