//! Demand over windows of different length.

use {
    super::{Demand, KeyDemand, RangeKey, demand::PARTS},
    crate::time::Time,
    std::time::Duration,
};

/// Half-life of the demand that plans go by: some hundred requests of a small
/// service, so that chance is a tenth of a server's load.
const SLOW: Duration = Duration::from_secs(3);
/// Half-lives of the windows that show a sudden change, the shortest first.
const QUICK: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(700)];
/// Requests without which a window tells nothing.
const COUNT_MIN: f64 = 40.0;
/// How far, in standard deviations, the requests for a part of the key space must
/// be from what another window makes expect. Callers send in groups, which alone
/// makes two of what would be one.
const SIGMAS: f64 = 5.0;
/// The same for the end of a change: as long as it is not sure that the long window
/// has caught up, the other one is right.
const SIGMAS_OVER: f64 = 3.0;
/// Requests since a change, or time, after which they tell where keys should go. A plan
/// made on the first few of them would give servers several times what they can run.
const SETTLED_COUNT: f64 = 300.0;
const SETTLED_TIME: Duration = Duration::from_millis(300);
/// After so long a change of which too little is known is none: callers have left, and
/// plans would wait for them for good.
const SETTLED_MOST: Duration = Duration::from_secs(1);
/// Half-lives after a change by which a short window holds next to nothing from before
/// it. Until then it differs from what has come since, though nothing changes.
const FLUSHED: u32 = 3;
/// Requests since a change before which it does not count as over.
const COUNT_OVER: f64 = 200.0;

/// For each part of the key space whether something is true of it.
type Parts = [bool; PARTS];

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
/// assert!(!demand.look(now));
/// let mut sudden = false;
/// for number in 0..500_u16 {
///     now = now + Duration::from_millis(1);
///     demand.add(RangeKey(number % 10), now);
///     sudden |= demand.look(now);
/// }
/// assert!(sudden);
/// let first = demand.seen(now).of("0-9".parse().unwrap());
/// assert!(first > 500.0, "{first} requests a second");
/// ```
#[derive(Debug)]
pub struct DemandWindows {
    slow: KeyDemand,
    quick: [KeyDemand; QUICK.len()],
    /// The last sudden change, as long as the slow window differs.
    change: Option<Change>,
    /// One after it of which too little is known to plan by.
    next: Option<Change>,
}

#[derive(Debug)]
struct Change {
    begun: Time,
    /// Requests since then.
    since: KeyDemand,
    /// The parts of the key space that have changed.
    parts: Parts,
}

impl Change {
    /// Whether enough is known of it to plan by.
    fn tells(&self, now: Time) -> bool {
        let count = self.since.count(now);
        count >= SETTLED_COUNT || (count >= COUNT_MIN && now - self.begun >= SETTLED_TIME)
    }
}

impl Default for DemandWindows {
    fn default() -> Self {
        Self {
            slow: KeyDemand::new(SLOW),
            quick: QUICK.map(KeyDemand::new),
            change: None,
            next: None,
        }
    }
}

impl DemandWindows {
    /// Counts a request.
    pub fn add(&mut self, key: RangeKey, now: Time) {
        self.slow.add(key, now);
        for window in &mut self.quick {
            window.add(key, now);
        }
        for change in self.change.iter_mut().chain(&mut self.next) {
            change.since.add(key, now);
        }
    }

    /// Compares the windows; whether plans are out of date all of a sudden.
    pub fn look(&mut self, now: Time) -> bool {
        if self.is_settling(now) {
            let settled = self.next.take_if(|next| next.tells(now));
            let any = settled.is_some();
            self.change = settled.or(self.change.take());
            return any;
        }
        self.next = None;
        let (parts, before) = self.sudden(now);
        if parts.contains(&true) {
            self.next = Some(Change {
                begun: now,
                since: KeyDemand::new(SLOW),
                parts: either(parts, before),
            });
        } else if self.is_over(now) {
            self.change = None;
        }
        false
    }

    /// Whether other keys are asked for and too little is known of them: a plan made now
    /// would divide what is hot by a fraction of what is asked for.
    pub fn is_settling(&self, now: Time) -> bool {
        let next = self.next.as_ref();
        next.is_some_and(|next| now - next.begun < SETTLED_MOST)
    }

    /// Parts in which a short window differs from what is known, and those that have
    /// changed before.
    fn sudden(&mut self, now: Time) -> (Parts, Parts) {
        let Some(change) = &mut self.change else {
            return (sudden(&self.quick, &self.slow, now), Parts::default());
        };
        // A range that cools down as another one turns hot shows later than that.
        let late = differ(&self.slow, &change.since, SIGMAS, now);
        change.parts = either(change.parts, late);
        let age = now - change.begun;
        let pure = QUICK
            .iter()
            .take_while(|half_life| age > **half_life * FLUSHED);
        let quick = &self.quick[..pure.count()];
        (sudden(quick, &change.since, now), change.parts)
    }

    /// Whether the long window has caught up with the last change.
    fn is_over(&self, now: Time) -> bool {
        let Some(change) = &self.change else {
            return false;
        };
        let lasts = differ(&self.slow, &change.since, SIGMAS_OVER, now);
        change.since.count(now) >= COUNT_OVER && !lasts.contains(&true)
    }

    /// The demand that plans go by.
    pub fn seen(&self, now: Time) -> Demand {
        let slow = self.slow.seen(now);
        match &self.change {
            Some(change) => slow.updated(&change.since.seen(now), &change.parts),
            None => slow,
        }
    }
}

/// Parts in which the first of the short windows that does differs from a known one.
fn sudden(quick: &[KeyDemand], known: &KeyDemand, now: Time) -> Parts {
    let differing = quick.iter().map(|quick| differ(known, quick, SIGMAS, now));
    let mut differing = differing.filter(|parts| parts.contains(&true));
    differing.next().unwrap_or_default()
}

fn either(one: Parts, other: Parts) -> Parts {
    std::array::from_fn(|part| one[part] || other[part])
}

/// The parts of the key space in which a window differs from a known one by more than
/// chance.
fn differ(known: &KeyDemand, window: &KeyDemand, sigmas: f64, now: Time) -> Parts {
    let count = window.count(now);
    if count < COUNT_MIN {
        return Parts::default();
    }
    let (usual, seen) = (known.spread(), window.spread());
    let both = 1.0 / count + 1.0 / known.count(now).max(1.0);
    std::array::from_fn(|part| {
        let chance = ((usual[part] + 1.0 / count) * both).sqrt();
        (seen[part] - usual[part]).abs() > sigmas * chance
    })
}
