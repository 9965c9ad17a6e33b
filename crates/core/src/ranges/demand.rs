//! How often keys are asked for.

use {
    super::{KeyRange, RangeKey},
    crate::time::Time,
    std::time::Duration,
};

/// Keys of the space.
const KEYS: usize = 65_536;
/// Half-lives after which the weights are scaled back, well within `f32`.
const RESCALE: f64 = 40.0;

/// Requests by key, each counting half after every half-life.
///
/// Newer requests weigh more instead of older ones weighing less, so that a
/// request costs one addition, whatever the number of keys.
///
/// ```
/// use {citron_core::{ranges::*, time::Time}, std::time::Duration};
/// let mut demand = KeyDemand::new(Duration::from_secs(2));
/// let now = Time::from_micros(1_000_000);
/// demand.add(RangeKey(5), now);
/// let sums = demand.sums(now);
/// assert!(KeyDemand::of(&sums, "0-9".parse().unwrap()) > 0.0);
/// assert_eq!(KeyDemand::of(&sums, "10-19".parse().unwrap()), 0.0);
/// ```
#[derive(Debug)]
pub struct KeyDemand {
    half_life: Duration,
    origin: Time,
    weights: Vec<f32>,
}

impl KeyDemand {
    /// No request yet.
    pub fn new(half_life: Duration) -> Self {
        Self {
            half_life,
            origin: Time::ZERO,
            weights: vec![0.0; KEYS],
        }
    }

    /// Counts a request.
    pub fn add(&mut self, key: RangeKey, now: Time) {
        if self.lives(now) > RESCALE {
            self.rescale(now);
        }
        self.weights[usize::from(key.0)] += self.lives(now).exp2() as f32;
    }

    /// Requests a second up to each key: entry `k` sums the keys below `k`. The
    /// demand of keys that are not hot by themselves is spread over their
    /// neighbours: busy keys lie close to one another, and single requests say
    /// more of the neighbourhood than of their key.
    pub fn sums(&self, now: Time) -> Vec<f32> {
        // A steady rate r adds up to r * half-life / ln 2 decayed requests.
        let scale = (-self.lives(now)).exp2() / self.span();
        let total: f64 = self.weights.iter().map(|weight| f64::from(*weight)).sum();
        let hot = (total * HOT).max((HOT_COUNT / (scale * self.span())).min(f64::MAX));
        let near = near(total * (-self.lives(now)).exp2());
        // Sums of the cooler keys' weights, and sums of those sums: the mean of
        // any window of sums is then one subtraction.
        let (mut cool, mut cools, mut exact) = (0.0_f64, 0.0_f64, 0.0_f64);
        let mut spread = Vec::with_capacity(KEYS + 2);
        let mut sums = Vec::with_capacity(KEYS + 1);
        spread.push(0.0_f64);
        sums.push(0.0_f32);
        for weight in &self.weights {
            let weight = f64::from(*weight);
            let is_hot = weight > hot;
            cools += cool;
            spread.push(cools);
            cool += if is_hot { 0.0 } else { weight };
            exact += if is_hot { weight } else { 0.0 };
            sums.push((exact * scale) as f32);
        }
        spread.push(cools + cool);
        for (key, sum) in sums.iter_mut().enumerate() {
            *sum += (smooth(&spread, key, near) * scale) as f32;
        }
        sums
    }

    /// Seconds of requests that the counts stand for.
    pub fn span(&self) -> f64 {
        self.half_life.as_secs_f64() / std::f64::consts::LN_2
    }

    /// Requests a second for a range, from [`Self::sums`].
    pub fn of(sums: &[f32], range: KeyRange) -> f64 {
        let above = sums[usize::from(range.last.0) + 1];
        f64::from(above - sums[usize::from(range.first.0)])
    }

    fn lives(&self, now: Time) -> f64 {
        (now - self.origin).as_secs_f64() / self.half_life.as_secs_f64()
    }

    fn rescale(&mut self, now: Time) {
        let scale = (-self.lives(now)).exp2() as f32;
        for weight in &mut self.weights {
            *weight *= scale;
        }
        self.origin = now;
    }
}

/// Part of all requests from which a key is hot by itself.
const HOT: f64 = 0.01;
/// Requests, after decay, that a hot key must have had at least.
const HOT_COUNT: f64 = 4.0;
/// Requests for which the keys on each side over which demand is spread are
/// enough to tell one neighbourhood from the next; more of them are needed the
/// fewer requests there are.
const TELLING: f64 = 8_000.0;
/// Keys on each side at least and at most.
const NEAR: [f64; 2] = [12.0, 400.0];

fn near(requests: f64) -> usize {
    (TELLING / requests.max(1.0)).clamp(NEAR[0], NEAR[1]) as usize
}

/// The mean of the sums around a key, which spreads the demand evenly; `sums`
/// are sums of sums. At the ends of the space the window shrinks, so that nothing
/// is lost.
fn smooth(sums: &[f64], key: usize, near: usize) -> f64 {
    let near = near.min(key).min(KEYS - key);
    (sums[key + near + 1] - sums[key - near]) / (2 * near + 1) as f64
}
