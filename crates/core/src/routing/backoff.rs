//! The wait before a retry.

use {
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::time::Duration,
};

/// The shortest wait before the first retry.
const DELAY_MIN: Duration = Duration::from_millis(10);
/// The longest wait before any retry.
const DELAY_MAX: Duration = Duration::from_secs(1);

/// Exponential backoff with full jitter above a base, from a seed.
///
/// Requests that failed together would come back together; the jitter spreads
/// them over the whole wait.
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
    /// Seeds the jitter.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// The wait after so many failed tries, from 1.
    pub fn delay(&mut self, failed_attempts: u32) -> Duration {
        let ceiling = DELAY_MIN.saturating_mul(1 << failed_attempts.min(10));
        let max = ceiling.min(DELAY_MAX);
        self.rng.random_range(DELAY_MIN..=max)
    }
}
