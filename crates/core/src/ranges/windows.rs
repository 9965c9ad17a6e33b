//! Demand over windows of different length.

use {
    super::{Demand, KeyDemand, RangeKey, demand::BUCKETS},
    crate::time::Time,
    std::time::Duration,
};

/// Half-life of the demand that plans go by: some hundred requests of a small
/// service, so that chance is a tenth of a server's load.
const LONG_HALF_LIFE: Duration = Duration::from_secs(3);
/// Half-lives of the windows that show a sudden change, the shortest first.
const SHORT_HALF_LIVES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(700)];
/// Requests without which a window tells nothing.
const MIN_REQUESTS: f64 = 40.0;
/// How far, in standard deviations, the requests for a part of the key space must
/// be from what another window makes expect. Callers send in groups, which alone
/// makes two of what would be one.
const CHANGE_SIGMAS: f64 = 5.0;
/// The same for the end of a change: as long as it is not sure that the long window
/// has caught up, the other one is right.
const END_SIGMAS: f64 = 3.0;
/// Requests since a change, or time, after which they tell where keys should go. A plan
/// made on the first few of them would give servers several times what they can run.
const SETTLED_REQUESTS: f64 = 300.0;
const SETTLED_AFTER: Duration = Duration::from_millis(300);
/// After so long a change of which too little is known is none: callers have left, and
/// plans would wait for them for good.
const SETTLING_TIMEOUT: Duration = Duration::from_secs(1);
/// Half-lives after a change by which a short window holds next to nothing from before
/// it. Until then it differs from what has come since, though nothing changes.
const FLUSH_HALF_LIVES: u32 = 3;
/// Requests since a change before which it does not count as over.
const END_MIN_REQUESTS: f64 = 200.0;

/// For each part of the key space whether something is true of it.
type BucketFlags = [bool; BUCKETS];

/// What callers of one service ask for.
///
/// A long window tells small differences between servers from chance, but in it a
/// range of keys that turns hot shows only after callers have been refused for
/// seconds. A short one shows it after some dozen requests, and says little of each
/// key. So a change that is beyond chance in a short window begins a window of its
/// own, and what has changed is read from there.
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
    long: KeyDemand,
    short: [KeyDemand; SHORT_HALF_LIVES.len()],
    /// The last sudden change, as long as the slow window differs.
    change: Option<Change>,
    /// One after it of which too little is known to plan by.
    pending: Option<Change>,
}

#[derive(Debug)]
struct Change {
    started: Time,
    /// Requests since then.
    demand: KeyDemand,
    /// The parts of the key space that have changed.
    buckets: BucketFlags,
}

impl Change {
    /// Whether enough is known of it to plan by.
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

    /// Compares the windows; whether plans are out of date all of a sudden.
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

    /// Whether other keys are asked for and too little is known of them: a plan made now
    /// would divide what is hot by a fraction of what is asked for.
    pub fn is_settling(&self, now: Time) -> bool {
        let pending = self.pending.as_ref();
        pending.is_some_and(|pending| now - pending.started < SETTLING_TIMEOUT)
    }

    /// Parts in which a short window differs from what is known, and those that have
    /// changed before.
    fn changed_buckets(&mut self, now: Time) -> (BucketFlags, BucketFlags) {
        let Some(change) = &mut self.change else {
            return (
                first_differing(&self.short, &self.long, now),
                BucketFlags::default(),
            );
        };
        // A range that cools down as another one turns hot shows later than that.
        let late_buckets = differing_buckets(&self.long, &change.demand, CHANGE_SIGMAS, now);
        change.buckets = union(change.buckets, late_buckets);
        let age = now - change.started;
        let settled_windows = SHORT_HALF_LIVES
            .iter()
            .take_while(|half_life| age > **half_life * FLUSH_HALF_LIVES);
        let pure_windows = &self.short[..settled_windows.count()];
        (
            first_differing(pure_windows, &change.demand, now),
            change.buckets,
        )
    }

    /// Whether the long window has caught up with the last change.
    fn has_ended(&self, now: Time) -> bool {
        let Some(change) = &self.change else {
            return false;
        };
        let differing = differing_buckets(&self.long, &change.demand, END_SIGMAS, now);
        change.demand.count(now) >= END_MIN_REQUESTS && !differing.contains(&true)
    }

    /// The demand that plans go by.
    pub fn snapshot(&self, now: Time) -> Demand {
        let long = self.long.snapshot(now);
        match &self.change {
            Some(change) => long.with_changes(&change.demand.snapshot(now), &change.buckets),
            None => long,
        }
    }
}

/// Parts in which the first of the short windows that does differs from a known one.
fn first_differing(short: &[KeyDemand], baseline: &KeyDemand, now: Time) -> BucketFlags {
    let differing = short
        .iter()
        .map(|window| differing_buckets(baseline, window, CHANGE_SIGMAS, now));
    let mut differing = differing.filter(|buckets| buckets.contains(&true));
    differing.next().unwrap_or_default()
}

fn union(one: BucketFlags, other: BucketFlags) -> BucketFlags {
    std::array::from_fn(|bucket| one[bucket] || other[bucket])
}

/// The parts of the key space in which a window differs from a known one by more than
/// chance.
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
