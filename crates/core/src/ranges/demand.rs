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

/// How much keys are asked for at one moment.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    sums: Vec<f32>,
    hot: Vec<(RangeKey, f64)>,
    span: f64,
}

impl Demand {
    /// Requests a second for a range.
    pub fn of(&self, range: KeyRange) -> f64 {
        self.below(usize::from(range.last.0) + 1) - self.below(usize::from(range.first.0))
    }

    /// Requests a second for the keys below one, as a number up to 65,536.
    pub fn below(&self, key: usize) -> f64 {
        self.sums.get(key).copied().map_or(0.0, f64::from)
    }

    /// The busiest of the keys of a range that are hot by themselves.
    pub fn hottest(&self, range: KeyRange) -> Option<(RangeKey, f64)> {
        let within = self.hot.iter().filter(|(key, _)| range.contains(*key));
        within.copied().max_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// Seconds of requests that this stands for.
    pub fn span(&self) -> f64 {
        self.span
    }

    /// How differently requests spread over the key space, in `parts` equal
    /// parts: 0 for alike, 2 for nothing in common.
    pub fn difference(&self, other: &Self, parts: u16) -> f64 {
        let at = |part: u16| self.share(part, parts) - other.share(part, parts);
        (0..parts).map(|part| at(part).abs()).sum()
    }

    fn share(&self, part: u16, parts: u16) -> f64 {
        let size = u16::MAX / parts + 1;
        let first = part * size;
        let range = KeyRange {
            first: RangeKey(first),
            last: RangeKey(first + (size - 1)),
        };
        self.of(range) / self.of(KeyRange::ALL).max(f64::MIN_POSITIVE)
    }
}

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
/// let seen = demand.seen(now);
/// assert!(seen.of(KeyRange::ALL) > 0.0);
/// assert_eq!(seen.of("1000-1999".parse().unwrap()), 0.0);
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

    /// The demand now. That of keys that are not hot by themselves is spread over
    /// their neighbours: busy keys lie close to one another, and single requests
    /// say more of the neighbourhood than of their key.
    pub fn seen(&self, now: Time) -> Demand {
        // A steady rate r adds up to r * half-life / ln 2 decayed requests.
        let scale = (-self.lives(now)).exp2() / self.span();
        let total: f64 = self.weights.iter().map(|weight| f64::from(*weight)).sum();
        let hot = (total * HOT).max(HOT_COUNT / (scale * self.span()));
        let near = near(total * (-self.lives(now)).exp2());
        // Sums of the cooler keys' weights, and sums of those sums: the mean of
        // any window of sums is then one subtraction.
        let (mut cool, mut cools, mut exact) = (0.0_f64, 0.0_f64, 0.0_f64);
        let mut spread = Vec::with_capacity(KEYS + 2);
        let mut sums = Vec::with_capacity(KEYS + 1);
        let mut hots = Vec::new();
        spread.push(0.0_f64);
        sums.push(0.0_f32);
        for (key, weight) in self.weights.iter().enumerate() {
            let weight = f64::from(*weight);
            let is_hot = weight > hot;
            if is_hot {
                hots.push((RangeKey(key as u16), weight * scale));
            }
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
        Demand {
            sums,
            hot: hots,
            span: self.span(),
        }
    }

    fn span(&self) -> f64 {
        self.half_life.as_secs_f64() / std::f64::consts::LN_2
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
