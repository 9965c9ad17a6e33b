//! Request demand over windows of different length, and detection of sudden changes.

use {
    super::{Demand, KeyDemand, RangeKey, demand::BUCKETS},
    crate::time::Time,
    std::time::Duration,
};

/// Half-life of the window that plans are based on. It holds some hundred requests of a
/// small service, so that random variation is about a tenth of a server's load.
const LONG_HALF_LIFE: Duration = Duration::from_secs(3);
/// Half-lives of the windows that detect a sudden change, shortest first.
const SHORT_HALF_LIVES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(700)];
/// Requests below which a window is not evaluated.
const MIN_REQUESTS: f64 = 40.0;
/// Deviation, in standard deviations, by which the share of requests in a bucket must
/// differ from the baseline to count as a change. Callers send in bursts, which alone
/// turns one standard deviation into two.
const CHANGE_SIGMAS: f64 = 5.0;
/// Deviation, in standard deviations, below which a change counts as over. Lower than
/// [`CHANGE_SIGMAS`]: until the long window has certainly caught up, the window of the
/// change is the accurate one.
const END_SIGMAS: f64 = 3.0;
/// Requests since a change after which the change is used for planning. A plan based on
/// the first few of them would assign servers several times their capacity.
const SETTLED_REQUESTS: f64 = 300.0;
/// Age after which a change with at least [`MIN_REQUESTS`] requests is used for planning.
const SETTLED_AFTER: Duration = Duration::from_millis(300);
/// Time after which a change with too few requests is dropped: its callers have left, and
/// planning would wait for more of them forever.
const SETTLING_TIMEOUT: Duration = Duration::from_secs(1);
/// Age of a change, in half-lives of a short window, after which that window holds almost
/// nothing from before the change. Until then it differs from the requests since the
/// change although nothing changes any more.
const FLUSH_HALF_LIVES: u32 = 3;
/// Requests since a change before which it does not count as over.
const END_MIN_REQUESTS: f64 = 200.0;

/// One flag for each bucket of the key space.
type BucketFlags = [bool; BUCKETS];

/// Demand of one service, estimated over several windows.
///
/// The long window separates small load differences from random variation, but a range
/// that turns hot shows in it only after requests have been rejected for seconds. A short
/// window shows the same range after some dozen requests, but says little about single
/// keys. A statistically significant change in a short window therefore starts a window
/// of its own, and the demand of the changed buckets is read from that window.
///
/// ```
/// use {citron_core::{ranges::*, time::Time}, std::time::Duration};
/// let mut demand = DemandWindows::default();
/// let mut now = Time::ZERO;
/// for number in 0..2_000_u16 {
///     now = now + Duration::from_millis(1);
///     demand.add(RangeKey(number.wrapping_mul(40_503)), now);
/// }
/// assert!(!demand.detect_change(now));
/// let mut has_changed = false;
/// for number in 0..500_u16 {
///     now = now + Duration::from_millis(1);
///     demand.add(RangeKey(number % 10), now);
///     has_changed |= demand.detect_change(now);
/// }
/// assert!(has_changed);
/// let first = demand.snapshot(now).rate("0-9".parse().unwrap());
/// assert!(first > 500.0, "{first} requests a second");
/// ```
#[derive(Debug)]
pub struct DemandWindows {
    /// Window of [`LONG_HALF_LIFE`].
    long: KeyDemand,
    /// Windows of [`SHORT_HALF_LIVES`].
    short: [KeyDemand; SHORT_HALF_LIVES.len()],
    /// The last sudden change, until the long window agrees with it.
    change: Option<Change>,
    /// A newer change with too few requests to plan with.
    pending: Option<Change>,
}

/// Sudden change of demand.
#[derive(Debug)]
struct Change {
    /// When the change was detected.
    started: Time,
    /// Requests since the change.
    demand: KeyDemand,
    /// The buckets that have changed.
    buckets: BucketFlags,
}

impl Change {
    /// Whether there are enough requests since the change to plan with.
    fn is_settled(&self, now: Time) -> bool {
        let count = self.demand.count(now);
        count >= SETTLED_REQUESTS || (count >= MIN_REQUESTS && now - self.started >= SETTLED_AFTER)
    }
}

impl Default for DemandWindows {
    fn default() -> Self {
        Self {
            long: KeyDemand::new(LONG_HALF_LIFE),
            short: SHORT_HALF_LIVES.map(KeyDemand::new),
            change: None,
            pending: None,
        }
    }
}

impl DemandWindows {
    /// Counts a request.
    pub fn add(&mut self, key: RangeKey, now: Time) {
        self.long.add(key, now);
        for window in &mut self.short {
            window.add(key, now);
        }
        for change in self.change.iter_mut().chain(&mut self.pending) {
            change.demand.add(key, now);
        }
    }

    /// Compares the windows. Returns whether a sudden change has just become usable for
    /// planning, so that plans are out of date.
    pub fn detect_change(&mut self, now: Time) -> bool {
        if self.is_settling(now) {
            let settled = self.pending.take_if(|pending| pending.is_settled(now));
            let has_settled = settled.is_some();
            self.change = settled.or(self.change.take());
            return has_settled;
        }
        self.pending = None;
        let (buckets, before) = self.changed_buckets(now);
        if buckets.contains(&true) {
            self.pending = Some(Change {
                started: now,
                demand: KeyDemand::new(LONG_HALF_LIFE),
                buckets: union(buckets, before),
            });
        } else if self.has_ended(now) {
            self.change = None;
        }
        false
    }

    /// Whether a recent change has too few requests to plan with. A plan made now would
    /// divide the hot range by a fraction of its demand.
    pub fn is_settling(&self, now: Time) -> bool {
        let pending = self.pending.as_ref();
        pending.is_some_and(|pending| now - pending.started < SETTLING_TIMEOUT)
    }

    /// Buckets in which a short window differs from the current estimate, and buckets
    /// that changed earlier.
    fn changed_buckets(&mut self, now: Time) -> (BucketFlags, BucketFlags) {
        let Some(change) = &mut self.change else {
            return (
                first_differing(&self.short, &self.long, now),
                BucketFlags::default(),
            );
        };
        // A range that cools down while another turns hot becomes significant later.
        let late_buckets = differing_buckets(&self.long, &change.demand, CHANGE_SIGMAS, now);
        change.buckets = union(change.buckets, late_buckets);
        let age = now - change.started;
        let flushed_half_lives = SHORT_HALF_LIVES
            .iter()
            .take_while(|half_life| age > **half_life * FLUSH_HALF_LIVES);
        let flushed_windows = &self.short[..flushed_half_lives.count()];
        (
            first_differing(flushed_windows, &change.demand, now),
            change.buckets,
        )
    }

    /// Whether the long window agrees with the last change.
    fn has_ended(&self, now: Time) -> bool {
        let Some(change) = &self.change else {
            return false;
        };
        let differing = differing_buckets(&self.long, &change.demand, END_SIGMAS, now);
        change.demand.count(now) >= END_MIN_REQUESTS && !differing.contains(&true)
    }

    /// The demand to plan with.
    pub fn snapshot(&self, now: Time) -> Demand {
        let long = self.long.snapshot(now);
        match &self.change {
            Some(change) => long.with_changes(&change.demand.snapshot(now), &change.buckets),
            None => long,
        }
    }
}

/// Buckets that differ from `baseline` in the first of the short windows that differs at
/// all.
fn first_differing(short: &[KeyDemand], baseline: &KeyDemand, now: Time) -> BucketFlags {
    let differing = short
        .iter()
        .map(|window| differing_buckets(baseline, window, CHANGE_SIGMAS, now));
    let mut differing = differing.filter(|buckets| buckets.contains(&true));
    differing.next().unwrap_or_default()
}

/// Buckets that are set in either.
fn union(one: BucketFlags, other: BucketFlags) -> BucketFlags {
    std::array::from_fn(|bucket| one[bucket] || other[bucket])
}

/// Buckets whose share of requests differs between `window` and `baseline` by more than
/// `sigmas` standard deviations; none if the window has too few requests.
fn differing_buckets(
    baseline: &KeyDemand,
    window: &KeyDemand,
    sigmas: f64,
    now: Time,
) -> BucketFlags {
    let count = window.count(now);
    if count < MIN_REQUESTS {
        return BucketFlags::default();
    }
    let (expected, observed) = (baseline.distribution(), window.distribution());
    let both = 1.0 / count + 1.0 / baseline.count(now).max(1.0);
    std::array::from_fn(|bucket| {
        let chance = ((expected[bucket] + 1.0 / count) * both).sqrt();
        (observed[bucket] - expected[bucket]).abs() > sigmas * chance
    })
}
