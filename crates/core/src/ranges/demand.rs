//! How often keys are asked for.

use {
    super::{KeyRange, RangeKey},
    crate::time::Time,
    std::time::Duration,
};

/// Keys of the space.
const KEYS: usize = 65_536;
/// Parts of the key space in which one demand is compared with another.
pub const PARTS: usize = 16;
/// Keys of a part.
const PART: usize = KEYS / PARTS;
/// Bounds of the factor by which demand outside of what has changed is scaled: the
/// few requests left there tell little.
const SCALES: [f64; 2] = [0.25, 4.0];
/// A window counts as at least so old.
const AGE_MIN: Duration = Duration::from_millis(100);
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

    /// This demand with what a newer one says of the parts of the key space that
    /// have `changed`. The other parts are scaled to what is left of the newer one.
    pub fn updated(&self, newer: &Self, changed: &[bool; PARTS]) -> Self {
        let rest = |demand: &Self| -> f64 {
            let kept = (0..PARTS).filter(|part| !changed[*part]);
            kept.map(|part| demand.of(part_range(part))).sum()
        };
        let scale = rest(newer) / rest(self).max(f64::MIN_POSITIVE);
        let scale = scale.clamp(SCALES[0], SCALES[1]);
        let mut sum = 0.0;
        let mut sums = Vec::with_capacity(KEYS + 1);
        sums.push(0.0);
        for key in 0..KEYS {
            let (demand, scale) = match changed[key / PART] {
                true => (newer, 1.0),
                false => (self, scale),
            };
            sum += (demand.below(key + 1) - demand.below(key)) * scale;
            sums.push(sum as f32);
        }
        let has_changed = |key: RangeKey| changed[usize::from(key.0) / PART];
        let new = newer.hot.iter().copied();
        let new = new.filter(|(key, _)| has_changed(*key));
        let old = self.hot.iter().map(|(key, rate)| (*key, rate * scale));
        let hot = new.chain(old.filter(|(key, _)| !has_changed(*key)));
        Self {
            sums,
            hot: hot.collect(),
            span: newer.span,
        }
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
    /// When the first request was counted.
    begun: Option<Time>,
    origin: Time,
    weights: Vec<f32>,
    /// Sums of the weights, by part of the key space.
    parts: [f64; PARTS],
}

impl KeyDemand {
    /// No request yet.
    pub fn new(half_life: Duration) -> Self {
        Self {
            half_life,
            begun: None,
            origin: Time::ZERO,
            weights: vec![0.0; KEYS],
            parts: [0.0; PARTS],
        }
    }

    /// Counts a request.
    pub fn add(&mut self, key: RangeKey, now: Time) {
        self.begun.get_or_insert(now);
        if self.lives(now) > RESCALE {
            self.rescale(now);
        }
        let weight = self.lives(now).exp2();
        self.weights[usize::from(key.0)] += weight as f32;
        self.parts[usize::from(key.0) / PART] += weight;
    }

    /// How many requests this stands for.
    pub fn count(&self, now: Time) -> f64 {
        self.parts.iter().sum::<f64>() * (-self.lives(now)).exp2()
    }

    /// The part of all requests that goes to each part of the key space.
    pub fn spread(&self) -> [f64; PARTS] {
        let total = self.parts.iter().sum::<f64>().max(f64::MIN_POSITIVE);
        self.parts.map(|part| part / total)
    }

    /// The demand now. That of keys that are not hot by themselves is spread over
    /// their neighbours: busy keys lie close to one another, and single requests
    /// say more of the neighbourhood than of their key.
    pub fn seen(&self, now: Time) -> Demand {
        let span = self.span(now);
        let scale = (-self.lives(now)).exp2() / span;
        let total: f64 = self.weights.iter().map(|weight| f64::from(*weight)).sum();
        let hot = (total * HOT).max(HOT_COUNT / (scale * span));
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
            span,
        }
    }

    /// Seconds of requests: a steady rate r adds up to r * half-life / ln 2 decayed
    /// requests in the end, and to fewer while the window is young.
    fn span(&self, now: Time) -> f64 {
        let age = self
            .begun
            .map_or(AGE_MIN, |begun| (now - begun).max(AGE_MIN));
        let lives = age.as_secs_f64() / self.half_life.as_secs_f64();
        self.half_life.as_secs_f64() / std::f64::consts::LN_2 * (1.0 - (-lives).exp2())
    }

    fn lives(&self, now: Time) -> f64 {
        (now - self.origin).as_secs_f64() / self.half_life.as_secs_f64()
    }

    fn rescale(&mut self, now: Time) {
        let scale = (-self.lives(now)).exp2() as f32;
        for weight in &mut self.weights {
            *weight *= scale;
        }
        self.parts = self.parts.map(|part| part * f64::from(scale));
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

fn part_range(part: usize) -> KeyRange {
    let first = part * PART;
    KeyRange {
        first: RangeKey(first as u16),
        last: RangeKey((first + PART - 1) as u16),
    }
}

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
