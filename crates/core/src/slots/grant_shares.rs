//! Rate of recent grants and the shares of the priorities in them.

use {
    crate::time::Time,
    std::{collections::BTreeMap, time::Duration},
};

/// Time constant of the counts: some dozen grants of a server.
const TIME_CONSTANT: Duration = Duration::from_secs(2);
/// Count below which a priority is forgotten.
const COUNT_MIN: f64 = 0.01;

/// Recent grants of requests that can meet their objective, by priority, with exponential decay.
#[derive(Debug, Default)]
pub struct GrantShares {
    counts: BTreeMap<u32, f64>,
    updated: Time,
}

impl GrantShares {
    /// Counts a grant.
    pub fn record(&mut self, priority: u32, now: Time) {
        let factor = self.decay(now);
        self.updated = now;
        self.counts.retain(|_, count| {
            *count *= factor;
            *count >= COUNT_MIN
        });
        *self.counts.entry(priority).or_default() += 1.0;
    }

    /// Recent grants per second.
    pub fn rate(&self, now: Time) -> f64 {
        self.total() * self.decay(now) / TIME_CONSTANT.as_secs_f64()
    }

    /// Fraction of the recent grants that went to priorities lower than `priority`.
    pub fn below(&self, priority: u32) -> f64 {
        let below = self.counts.iter().filter(|(other, _)| **other > priority);
        below.map(|(_, count)| count).sum::<f64>() / self.total().max(1.0)
    }

    fn total(&self) -> f64 {
        self.counts.values().sum()
    }

    fn decay(&self, now: Time) -> f64 {
        let age = (now - self.updated).as_secs_f64() / TIME_CONSTANT.as_secs_f64();
        (-age).exp()
    }
}
