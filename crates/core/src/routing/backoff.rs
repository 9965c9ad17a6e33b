//! Delays before retries.

use {
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::time::Duration,
};

/// Shortest delay before any retry.
const DELAY_MIN: Duration = Duration::from_millis(10);
/// Longest delay before any retry.
const DELAY_MAX: Duration = Duration::from_secs(1);

/// Exponential backoff with full jitter above a minimum, from a seeded generator.
///
/// Requests that failed together would retry together; the jitter spreads them over the
/// whole delay.
///
/// ```
/// use {citron_core::routing::Backoff, std::time::Duration};
/// let (mut one, mut two) = (Backoff::new(7), Backoff::new(7));
/// assert_eq!(one.delay(1), two.delay(1));
/// assert!(one.delay(1) >= Duration::from_millis(10));
/// assert!(one.delay(60) <= Duration::from_secs(1));
/// ```
#[derive(Debug)]
pub struct Backoff {
    rng: ChaCha8Rng,
}

impl Backoff {
    /// Creates a backoff whose jitter follows from `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Delay after `failed_attempts` failed attempts, at least 1.
    pub fn delay(&mut self, failed_attempts: u32) -> Duration {
        let ceiling = DELAY_MIN.saturating_mul(1 << failed_attempts.min(10));
        let max = ceiling.min(DELAY_MAX);
        self.rng.random_range(DELAY_MIN..=max)
    }
}
