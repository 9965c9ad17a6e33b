//! How often keys are asked for.

use {
    super::{KeyRange, RangeKey},
    crate::time::Time,
    std::time::Duration,
};

/// Keys of the space.
const KEY_COUNT: usize = 65_536;
/// Parts of the key space in which one demand is compared with another.
pub const BUCKETS: usize = 16;
/// Keys of a part.
const BUCKET_KEYS: usize = KEY_COUNT / BUCKETS;
/// Bounds of the factor by which demand outside of what has changed is scaled: the
/// few requests left there tell little.
const SCALE_BOUNDS: [f64; 2] = [0.25, 4.0];
/// A window counts as at least so old.
const MIN_AGE: Duration = Duration::from_millis(100);
/// Half-lives after which the weights are scaled back, well within `f32`.
const RESCALE_HALF_LIVES: f64 = 40.0;

/// How much keys are asked for at one moment.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    cumulative: Vec<f32>,
    hot_keys: Vec<(RangeKey, f64)>,
    window_secs: f64,
}

impl Demand {
    /// Requests a second for a range.
    pub fn rate(&self, range: KeyRange) -> f64 {
        self.rate_below(usize::from(range.last.0) + 1) - self.rate_below(usize::from(range.first.0))
    }

    /// Requests a second for the keys below one, as a number up to 65,536.
    pub fn rate_below(&self, key: usize) -> f64 {
        self.cumulative.get(key).copied().map_or(0.0, f64::from)
    }

    /// The busiest of the keys of a range that are hot by themselves.
    pub fn hottest_key(&self, range: KeyRange) -> Option<(RangeKey, f64)> {
        let within = self.hot_keys.iter().filter(|(key, _)| range.contains(*key));
        within.copied().max_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// Seconds of requests that this stands for.
    pub fn window_secs(&self) -> f64 {
        self.window_secs
    }

    /// This demand with what a newer one says of the parts of the key space that
    /// have `changed`. The other parts are scaled to what is left of the newer one.
    pub fn with_changes(&self, newer: &Self, changed: &[bool; BUCKETS]) -> Self {
        let rest = |demand: &Self| -> f64 {
            let kept = (0..BUCKETS).filter(|bucket| !changed[*bucket]);
            kept.map(|bucket| demand.rate(bucket_range(bucket))).sum()
        };
        let scale = rest(newer) / rest(self).max(f64::MIN_POSITIVE);
        let scale = scale.clamp(SCALE_BOUNDS[0], SCALE_BOUNDS[1]);
        let mut sum = 0.0;
        let mut cumulative = Vec::with_capacity(KEY_COUNT + 1);
        cumulative.push(0.0);
        for key in 0..KEY_COUNT {
            let (demand, scale) = match changed[key / BUCKET_KEYS] {
                true => (newer, 1.0),
                false => (self, scale),
            };
            sum += (demand.rate_below(key + 1) - demand.rate_below(key)) * scale;
            cumulative.push(sum as f32);
        }
        let has_changed = |key: RangeKey| changed[usize::from(key.0) / BUCKET_KEYS];
        let new = newer.hot_keys.iter().copied();
        let new = new.filter(|(key, _)| has_changed(*key));
        let old = self.hot_keys.iter().map(|(key, rate)| (*key, rate * scale));
        let hot = new.chain(old.filter(|(key, _)| !has_changed(*key)));
        Self {
            cumulative,
            hot_keys: hot.collect(),
            window_secs: newer.window_secs,
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
/// let seen = demand.snapshot(now);
/// assert!(seen.rate(KeyRange::ALL) > 0.0);
/// assert_eq!(seen.rate("1000-1999".parse().unwrap()), 0.0);
/// ```
#[derive(Debug)]
pub struct KeyDemand {
    half_life: Duration,
    /// When the first request was counted.
    started: Option<Time>,
    origin: Time,
    weights: Vec<f32>,
    /// Sums of the weights, by part of the key space.
    bucket_weights: [f64; BUCKETS],
}

impl KeyDemand {
    /// No request yet.
    pub fn new(half_life: Duration) -> Self {
        Self {
            half_life,
            started: None,
            origin: Time::ZERO,
            weights: vec![0.0; KEY_COUNT],
            bucket_weights: [0.0; BUCKETS],
        }
    }

    /// Counts a request.
    pub fn add(&mut self, key: RangeKey, now: Time) {
        self.started.get_or_insert(now);
        if self.elapsed_half_lives(now) > RESCALE_HALF_LIVES {
            self.rescale(now);
        }
        let weight = self.elapsed_half_lives(now).exp2();
        self.weights[usize::from(key.0)] += weight as f32;
        self.bucket_weights[usize::from(key.0) / BUCKET_KEYS] += weight;
    }

    /// How many requests this stands for.
    pub fn count(&self, now: Time) -> f64 {
        self.bucket_weights.iter().sum::<f64>() * (-self.elapsed_half_lives(now)).exp2()
    }

    /// The part of all requests that goes to each part of the key space.
    pub fn distribution(&self) -> [f64; BUCKETS] {
        let total = self
            .bucket_weights
            .iter()
            .sum::<f64>()
            .max(f64::MIN_POSITIVE);
        self.bucket_weights.map(|weight| weight / total)
    }

    /// The demand now. That of keys that are not hot by themselves is spread over
    /// their neighbours: busy keys lie close to one another, and single requests
    /// say more of the neighbourhood than of their key.
    pub fn snapshot(&self, now: Time) -> Demand {
        let window_secs = self.window_secs(now);
        let scale = (-self.elapsed_half_lives(now)).exp2() / window_secs;
        let total: f64 = self.weights.iter().map(|weight| f64::from(*weight)).sum();
        let hot_min = (total * HOT_FRACTION).max(HOT_MIN_REQUESTS / (scale * window_secs));
        let radius = smoothing_radius(total * (-self.elapsed_half_lives(now)).exp2());
        // Sums of the cooler keys' weights, and sums of those sums: the mean of
        // any window of sums is then one subtraction.
        let (mut cool_weight, mut cool_sum, mut hot_weight) = (0.0_f64, 0.0_f64, 0.0_f64);
        let mut cool_sums = Vec::with_capacity(KEY_COUNT + 2);
        let mut cumulative = Vec::with_capacity(KEY_COUNT + 1);
        let mut hot = Vec::new();
        cool_sums.push(0.0_f64);
        cumulative.push(0.0_f32);
        for (key, weight) in self.weights.iter().enumerate() {
            let weight = f64::from(*weight);
            let is_hot = weight > hot_min;
            if is_hot {
                hot.push((RangeKey(key as u16), weight * scale));
            }
            cool_sum += cool_weight;
            cool_sums.push(cool_sum);
            cool_weight += if is_hot { 0.0 } else { weight };
            hot_weight += if is_hot { weight } else { 0.0 };
            cumulative.push((hot_weight * scale) as f32);
        }
        cool_sums.push(cool_sum + cool_weight);
        for (key, sum) in cumulative.iter_mut().enumerate() {
            *sum += (smooth(&cool_sums, key, radius) * scale) as f32;
        }
        Demand {
            cumulative,
            hot_keys: hot,
            window_secs,
        }
    }

    /// Seconds of requests: a steady rate r adds up to r * half-life / ln 2 decayed
    /// requests in the end, and to fewer while the window is young.
    fn window_secs(&self, now: Time) -> f64 {
        let age = self
            .started
            .map_or(MIN_AGE, |started| (now - started).max(MIN_AGE));
        let half_lives = age.as_secs_f64() / self.half_life.as_secs_f64();
        self.half_life.as_secs_f64() / std::f64::consts::LN_2 * (1.0 - (-half_lives).exp2())
    }

    fn elapsed_half_lives(&self, now: Time) -> f64 {
        (now - self.origin).as_secs_f64() / self.half_life.as_secs_f64()
    }

    fn rescale(&mut self, now: Time) {
        let scale = (-self.elapsed_half_lives(now)).exp2() as f32;
        for weight in &mut self.weights {
            *weight *= scale;
        }
        self.bucket_weights = self.bucket_weights.map(|weight| weight * f64::from(scale));
        self.origin = now;
    }
}

/// Part of all requests from which a key is hot by itself.
const HOT_FRACTION: f64 = 0.01;
/// Requests, after decay, that a hot key must have had at least.
const HOT_MIN_REQUESTS: f64 = 4.0;
/// Requests for which the keys on each side over which demand is spread are
/// enough to tell one neighbourhood from the next; more of them are needed the
/// fewer requests there are.
const SMOOTHING_REQUESTS: f64 = 8_000.0;
/// Keys on each side at least and at most.
const RADIUS_BOUNDS: [f64; 2] = [12.0, 400.0];

fn bucket_range(bucket: usize) -> KeyRange {
    let first = bucket * BUCKET_KEYS;
    KeyRange {
        first: RangeKey(first as u16),
        last: RangeKey((first + BUCKET_KEYS - 1) as u16),
    }
}

fn smoothing_radius(requests: f64) -> usize {
    (SMOOTHING_REQUESTS / requests.max(1.0)).clamp(RADIUS_BOUNDS[0], RADIUS_BOUNDS[1]) as usize
}

/// The mean of the sums around a key, which spreads the demand evenly; `sums`
/// are sums of sums. At the ends of the space the window shrinks, so that nothing
/// is lost.
fn smooth(sums: &[f64], key: usize, radius: usize) -> f64 {
    let radius = radius.min(key).min(KEY_COUNT - key);
    (sums[key + radius + 1] - sums[key - radius]) / (2 * radius + 1) as f64
}
