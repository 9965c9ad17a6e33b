//! What a planner has learned of the load of a service: speeds of servers and shares of demand.

use {
    super::{Demand, KeyRange, RangeError, RangeKey},
    crate::{id::ServerName, time::Time},
    std::{collections::BTreeMap, time::Duration},
};

/// Number of parts of the key space with equal shares of the demand that are kept. Servers of
/// the largest deployments own about as many ranges, and the keys take under a kilobyte.
const DEMAND_PARTS: usize = 128;
/// Number of keys in the key space.
const KEY_COUNT: usize = 65_536;
/// Requests per second of all keys together in the demand made from shares. Only the shares
/// matter; the value makes the weight of idle keys negligible.
const NOMINAL_RATE: f64 = 100.0;
/// Requests in the window from which on shares of demand are learned: with fewer of them, the
/// shares change by a tenth through random variation alone.
const MIN_REQUESTS: f64 = 1_000.0;
/// Half-life of the average of a server's speed. Servers that are slow for a fraction of a
/// second, again and again, must not change it by a tenth each time.
const SPEED_HALF_LIFE: Duration = Duration::from_secs(20);
/// Change of a speed, or of the distribution of demand, that counts as one.
const MIN_CHANGE: f64 = 0.1;
/// Shortest time between two calls that write what was learned of one service.
const WRITE_INTERVAL: Duration = Duration::from_secs(10);

/// Speed of a server relative to the mean of its service.
///
/// ```
/// use citron_core::ranges::Speed;
/// assert_eq!(Speed::new(1.6).get(), 1.6);
/// assert_eq!(Speed::new(90.0).get(), 2.5);
/// assert_eq!(Speed::new(f64::NAN), Speed::MEAN);
/// ```
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Speed(f64);

impl Speed {
    /// The speed of an average server.
    pub const MEAN: Self = Self(1.0);
    /// Bounds of a speed. Without them, the few samples taken right after a start would leave
    /// a server without keys or overload it.
    const BOUNDS: [f64; 2] = [0.35, 2.5];

    /// Limits a measured speed to the bounds.
    pub fn new(value: f64) -> Self {
        if value.is_nan() {
            return Self::MEAN;
        }
        Self(value.clamp(Self::BOUNDS[0], Self::BOUNDS[1]))
    }

    /// The factor.
    pub fn get(self) -> f64 {
        self.0
    }
}

/// Shares of the demand: the last keys of all but the last of up to [`DEMAND_PARTS`] parts of
/// the key space with equal demand. Empty if the demand is unknown.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DemandShares(Vec<RangeKey>);

impl DemandShares {
    /// Creates shares from the last keys of all parts but the last one.
    ///
    /// # Errors
    /// [`RangeError::Unordered`] if a key is below the one before it.
    pub fn new(last_keys: Vec<RangeKey>) -> Result<Self, RangeError> {
        let falling = last_keys.windows(2).find(|pair| pair[0] > pair[1]);
        match falling {
            Some(pair) => Err(RangeError::Unordered {
                before: pair[0],
                after: pair[1],
            }),
            None => Ok(Self(last_keys)),
        }
    }

    /// Last keys of all parts but the last one.
    pub fn last_keys(&self) -> &[RangeKey] {
        &self.0
    }

    /// The shares of observed demand; `None` if too few requests were observed.
    ///
    /// ```
    /// use {citron_core::{ranges::*, time::Time}, std::time::Duration};
    /// let mut demand = KeyDemand::new(Duration::from_secs(3));
    /// let now = Time::from_micros(4_000_000);
    /// (0..4_000_u16).for_each(|number| demand.add(RangeKey(number * 5), now));
    /// let shares = DemandShares::of(&demand.snapshot(now)).unwrap();
    /// let half = shares.to_demand().rate("0-9999".parse().unwrap());
    /// assert!((45.0..55.0).contains(&half));
    /// ```
    pub fn of(demand: &Demand) -> Option<Self> {
        let total = demand.rate_below(KEY_COUNT);
        if total * demand.window_secs() < MIN_REQUESTS {
            return None;
        }
        let mut key = 0;
        let last_keys = (1..DEMAND_PARTS).map(|part| {
            let below = total * part as f64 / DEMAND_PARTS as f64;
            while key + 1 < KEY_COUNT && demand.rate_below(key + 1) < below {
                key += 1;
            }
            RangeKey(key as u16)
        });
        Some(Self(last_keys.collect()))
    }

    /// Demand with these shares. It has no window, so that no keys are moved by it.
    pub fn to_demand(&self) -> Demand {
        if self.0.is_empty() {
            return Demand::default();
        }
        let part_rate = NOMINAL_RATE / (self.0.len() + 1) as f64;
        let mut rates = vec![0.0; KEY_COUNT];
        let mut first = 0;
        let last_keys = self.0.iter().map(|key| usize::from(key.0));
        for last in last_keys.chain([KEY_COUNT - 1]) {
            // A key with more than the demand of a part ends several of them.
            let keys = first.min(last)..=last;
            let key_rate = part_rate / keys.clone().count() as f64;
            rates[keys].iter_mut().for_each(|rate| *rate += key_rate);
            first = last + 1;
        }
        Demand::from_rates(&rates, part_rate)
    }

    /// Half of the sum of the differences between the shares: 0 if they are equal, 1 if the
    /// demand is for entirely different keys.
    fn distance(&self, other: &Self) -> f64 {
        let (one, other) = (self.to_demand(), other.to_demand());
        let bounds = (0..=KEY_COUNT).step_by(KEY_COUNT / DEMAND_PARTS);
        let bounds: Vec<usize> = bounds.collect();
        let rate = |demand: &Demand, part: &[usize]| {
            demand.rate_below(part[1]) - demand.rate_below(part[0])
        };
        let parts = bounds.windows(2);
        let differences = parts.map(|part| (rate(&one, part) - rate(&other, part)).abs());
        differences.sum::<f64>() / 2.0 / NOMINAL_RATE
    }
}

/// What a planner has learned of the load of one service.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LearnedLoads {
    /// Speeds of servers that are registered.
    pub speeds: BTreeMap<ServerName, Speed>,
    /// Shares of the demand for keys.
    pub demand: DemandShares,
}

impl LearnedLoads {
    /// Whether these loads were learned of any of `servers`. Those of other servers say
    /// nothing of them: each start of a server has a name of its own.
    pub fn concerns<'a>(&self, mut servers: impl Iterator<Item = &'a ServerName>) -> bool {
        servers.any(|server| self.speeds.contains_key(server))
    }

    /// Whether these loads differ enough from the `stored` ones to be written: a server more or
    /// less, or a speed or the distribution of demand changed by a tenth.
    pub fn has_changed(&self, stored: &Self) -> bool {
        let differs = |(server, speed): (&ServerName, &Speed)| {
            let stored = stored.speeds.get(server).copied();
            stored.is_none_or(|stored| {
                (speed.get() - stored.get()).abs() >= MIN_CHANGE * stored.get()
            })
        };
        let mut removed = stored.speeds.keys();
        self.speeds.iter().any(differs)
            || removed.any(|server| !self.speeds.contains_key(server))
            || self.demand.distance(&stored.demand) >= MIN_CHANGE
    }

    /// Keeps the speeds that differ most from the mean, `count` of them at most.
    pub fn truncate(&mut self, count: usize) {
        let mut speeds: Vec<_> = std::mem::take(&mut self.speeds).into_iter().collect();
        let deviation = |speed: Speed| (speed.get().ln()).abs();
        speeds.sort_by(|a, b| deviation(b.1).total_cmp(&deviation(a.1)));
        speeds.truncate(count);
        self.speeds = speeds.into_iter().collect();
    }
}

/// Collects what a planner learns of the load of one service during its term, and decides when
/// to write it.
///
/// ```
/// use {citron_core::{ranges::*, time::Time}, std::time::Duration};
/// let at = |seconds| Time::ZERO + Duration::from_secs(seconds);
/// let mut learner = LoadLearner::new(at(0), LearnedLoads::default());
/// let server = "s-1".parse().unwrap();
/// for second in 1..=20 {
///     learner.record([(&server, Some(Speed::new(1.6)))], &Demand::default(), at(second));
/// }
/// let stored = LearnedLoads::default();
/// assert!(learner.take_due(&stored, true, at(20)).is_none(), "a commit is not answered yet");
/// let loads = learner.take_due(&stored, false, at(20)).unwrap();
/// assert!(learner.take_due(&stored, false, at(29)).is_none());
/// assert!(learner.take_due(&stored, false, at(30)).is_some());
/// assert!(learner.take_due(&loads, false, at(40)).is_none());
/// ```
#[derive(Debug)]
pub struct LoadLearner {
    loads: LearnedLoads,
    recorded: Time,
    last_write: Time,
}

impl LoadLearner {
    /// Starts from the loads that the former planner has `stored`, with a new interval, as it
    /// may just have written them.
    pub fn new(now: Time, stored: LearnedLoads) -> Self {
        Self {
            loads: stored,
            recorded: now,
            last_write: now,
        }
    }

    /// Records the registered servers, with their speeds if these were measured lately, and
    /// the demand that was observed.
    pub fn record<'a>(
        &mut self,
        servers: impl IntoIterator<Item = (&'a ServerName, Option<Speed>)>,
        demand: &Demand,
        now: Time,
    ) {
        let half_lives = (now - self.recorded).as_secs_f64() / SPEED_HALF_LIFE.as_secs_f64();
        let new_weight = 1.0 - (-half_lives).exp2();
        self.recorded = now;
        let former = std::mem::take(&mut self.loads.speeds);
        let learned = |(server, measured): (&ServerName, Option<Speed>)| {
            let former = former.get(server).copied();
            let speed = match (former, measured) {
                (Some(former), Some(measured)) => {
                    Speed::new(former.get() + (measured.get() - former.get()) * new_weight)
                }
                (former, measured) => former.or(measured)?,
            };
            Some((server.clone(), speed))
        };
        self.loads.speeds = servers.into_iter().filter_map(learned).collect();
        if let Some(shares) = DemandShares::of(demand) {
            self.loads.demand = shares;
        }
    }

    /// The loads to write now, if they have changed from the `stored` ones; restarts the
    /// interval. None while the outcome of a commit of the map is unknown: the store has
    /// trouble, and the map matters more.
    pub fn take_due(
        &mut self,
        stored: &LearnedLoads,
        is_commit_open: bool,
        now: Time,
    ) -> Option<LearnedLoads> {
        let is_due = !is_commit_open && now - self.last_write >= WRITE_INTERVAL;
        if !is_due || !self.loads.has_changed(stored) {
            return None;
        }
        self.last_write = now;
        Some(self.loads.clone())
    }
}

/// Requests in the window from which on observed demand is used instead of learned shares.
const OBSERVED_MIN_REQUESTS: f64 = 300.0;

impl Demand {
    /// Whether enough requests were observed to rely on this demand rather than on what a
    /// former planner has learned.
    pub fn is_reliable(&self) -> bool {
        self.rate(KeyRange::ALL) * self.window_secs() >= OBSERVED_MIN_REQUESTS
    }
}
