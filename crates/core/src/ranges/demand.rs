//! Request rates by key.

use {
    super::{KeyRange, RangeKey},
    crate::time::Time,
    std::time::Duration,
};

/// Number of keys in the key space.
const KEY_COUNT: usize = 65_536;
/// Number of equal buckets of the key space in which two demands are compared.
pub const BUCKETS: usize = 16;
/// Keys in a bucket.
const BUCKET_KEYS: usize = KEY_COUNT / BUCKETS;
/// Bounds of the factor that scales the demand of unchanged buckets: the few requests
/// left there are a weak estimate.
const SCALE_BOUNDS: [f64; 2] = [0.25, 4.0];
/// Lower bound of a window's age when rates are computed.
const MIN_AGE: Duration = Duration::from_millis(100);
/// Age of the weights' origin, in half-lives, at which they are scaled back. Well within
/// the range of `f32`.
const RESCALE_HALF_LIVES: f64 = 40.0;

/// Request rates of all keys at one moment.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    /// Requests per second for all keys below each index.
    cumulative: Vec<f32>,
    /// Keys that alone get a large share of the requests, with requests per second.
    hot_keys: Vec<(RangeKey, f64)>,
    /// Effective length of the window in seconds.
    window_secs: f64,
}

impl Demand {
    /// Demand without a window, from the requests per second of each key. Keys of at least
    /// `hot_rate` are hot.
    pub(super) fn from_rates(rates: &[f64], hot_rate: f64) -> Self {
        let mut sum = 0.0;
        let mut cumulative = Vec::with_capacity(rates.len() + 1);
        cumulative.push(0.0);
        for rate in rates {
            sum += rate;
            cumulative.push(sum as f32);
        }
        let keys = rates.iter().enumerate();
        let hot = keys.filter(|(_, rate)| **rate >= hot_rate);
        Self {
            cumulative,
            hot_keys: hot
                .map(|(key, rate)| (RangeKey(key as u16), *rate))
                .collect(),
            window_secs: 0.0,
        }
    }

    /// Requests per second for `range`.
    pub fn rate(&self, range: KeyRange) -> f64 {
        self.rate_below(usize::from(range.last.0) + 1) - self.rate_below(usize::from(range.first.0))
    }

    /// Requests per second for all keys below `key`, which is at most 65,536.
    pub fn rate_below(&self, key: usize) -> f64 {
        self.cumulative.get(key).copied().map_or(0.0, f64::from)
    }

    /// The busiest of the hot keys in `range`, with its requests per second.
    pub fn hottest_key(&self, range: KeyRange) -> Option<(RangeKey, f64)> {
        let within = self.hot_keys.iter().filter(|(key, _)| range.contains(*key));
        within.copied().max_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// Effective length of the window in seconds: the count of requests is the rate times
    /// this.
    pub fn window_secs(&self) -> f64 {
        self.window_secs
    }

    /// Replaces the demand of the `changed` buckets by that of `newer`, and scales the
    /// other buckets to the rate that `newer` shows for them.
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

/// Exponentially decayed request counts by key.
///
/// The weight of new requests grows instead of old weights shrinking, so that a request
/// costs one addition regardless of the number of keys.
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
    /// Time of the first request.
    started: Option<Time>,
    /// Time at which a request has weight 1.
    origin: Time,
    /// Sum of the weights of each key's requests.
    weights: Vec<f32>,
    /// Sum of the weights in each bucket.
    bucket_weights: [f64; BUCKETS],
}

impl KeyDemand {
    /// Creates a counter without requests.
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

    /// Decayed number of requests.
    pub fn count(&self, now: Time) -> f64 {
        self.bucket_weights.iter().sum::<f64>() * (-self.elapsed_half_lives(now)).exp2()
    }

    /// Share of all requests in each bucket.
    pub fn distribution(&self) -> [f64; BUCKETS] {
        let total = self
            .bucket_weights
            .iter()
            .sum::<f64>()
            .max(f64::MIN_POSITIVE);
        self.bucket_weights.map(|weight| weight / total)
    }

    /// Estimates the current demand. The demand of keys that are not hot is smoothed over
    /// neighbouring keys: busy keys lie close together, so a single request says more
    /// about its neighbourhood than about its own key.
    pub fn snapshot(&self, now: Time) -> Demand {
        let window_secs = self.window_secs(now);
        let scale = (-self.elapsed_half_lives(now)).exp2() / window_secs;
        let total: f64 = self.weights.iter().map(|weight| f64::from(*weight)).sum();
        let hot_min = (total * HOT_FRACTION).max(HOT_MIN_REQUESTS / (scale * window_secs));
        let radius = smoothing_radius(total * (-self.elapsed_half_lives(now)).exp2());
        // Cumulative weights of the keys that are not hot, and their running sums: the
        // mean over any window is then one subtraction.
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

    /// Effective length of the window in seconds. A steady rate r converges to r *
    /// half-life / ln 2 decayed requests, and to fewer while the window is young.
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

    /// Moves the origin to `now` and scales all weights accordingly.
    fn rescale(&mut self, now: Time) {
        let scale = (-self.elapsed_half_lives(now)).exp2() as f32;
        for weight in &mut self.weights {
            *weight *= scale;
        }
        self.bucket_weights = self.bucket_weights.map(|weight| weight * f64::from(scale));
        self.origin = now;
    }
}

/// Share of all requests above which a key is hot.
const HOT_FRACTION: f64 = 0.01;
/// Decayed requests that a hot key must have at least.
const HOT_MIN_REQUESTS: f64 = 4.0;
/// The smoothing radius is this divided by the number of requests: with fewer requests,
/// more keys are needed to tell one neighbourhood from the next.
const SMOOTHING_REQUESTS: f64 = 8_000.0;
/// Lower and upper bound of the smoothing radius, in keys on each side.
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

/// Mean of the cumulative weights around `key`, which spreads demand evenly over the
/// radius; `sums` are their running sums. At the ends of the key space the radius
/// shrinks, so that no demand is lost.
fn smooth(sums: &[f64], key: usize, radius: usize) -> f64 {
    let radius = radius.min(key).min(KEY_COUNT - key);
    (sums[key + radius + 1] - sums[key - radius]) / (2 * radius + 1) as f64
}
