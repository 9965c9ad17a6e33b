//! The choice of a server, or of none.

use {
    super::{LoadTracker, ServerLoad},
    crate::{id::ServerName, registry::ServerRecord, time::Time},
    std::{fmt, time::Duration},
};

/// Factors and limits by which servers are weighed.
struct SelectionWeights {
    /// Run time while no server of the service was measured, in seconds.
    default_run_time: f64,
    /// Factor of the run time on a server that has just started, or got keys without a
    /// handover.
    cold_factor: f64,
    /// Longest planned time to a response, as a fraction of the time to the objective.
    objective_share: f64,
    /// The same for a request that is late anyway, as a fraction of the time to the deadline.
    deadline_share: f64,
    /// Penalty of another failure domain: traffic between them is paid for.
    cross_domain_penalty: f64,
    /// Penalty of a new connection: it takes a slot of the server for a moment.
    new_connection_penalty: f64,
    /// Penalty of a server that rejects all tries, in run times.
    failure_penalty: f64,
}

const WEIGHTS: SelectionWeights = SelectionWeights {
    default_run_time: 0.2,
    cold_factor: 2.0,
    objective_share: 1.0,
    deadline_share: 0.5,
    cross_domain_penalty: 1.1,
    new_connection_penalty: 2.0,
    failure_penalty: 4.0,
};

/// Shortest and longest Retry-After, in seconds.
const RETRY_AFTER_RANGE_S: [f64; 2] = [0.08, 3.0];
/// Longest Retry-After, in seconds, for a server that rejects nobody yet.
const RETRY_AFTER_QUEUE_MAX_S: f64 = 0.9;
/// Jitter of Retry-After, as a fraction: callers rejected together would return together.
const RETRY_AFTER_JITTER: f64 = 0.3;

/// A server that a request may go to.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// The server.
    pub server: &'a ServerRecord,
    /// Whether it is in this instance's failure domain.
    pub same_domain: bool,
    /// Whether a connection to it is kept that the request may use.
    pub has_connection: bool,
    /// Requests at the server for each that this instance knows of; above 1 where only
    /// some of the other instances report to it.
    pub load_factor: f64,
}

/// How long a request may take, and how many servers are compared for it.
#[derive(Debug, Clone, Copy)]
pub struct TimeLimits {
    /// Time left to the objective.
    pub objective: Duration,
    /// Time left to the deadline.
    pub deadline: Duration,
    /// Servers drawn at random and compared; see [`sample_size`].
    pub sample_size: usize,
}

/// Reports younger than this tell which server is the best.
const FRESH_PERIOD_MAX: Duration = Duration::from_millis(150);
/// Servers compared where reports are older.
const STALE_SAMPLE_SIZE: usize = 2;

/// How many servers are compared where reports of other instances come every
/// `period`; all if they are young.
///
/// Instances that see the same old reports would all choose the same few servers until
/// the next ones come, and requests there would wait. The better one of two drawn at
/// random spreads them.
///
/// ```
/// use {citron_core::dispatch::sample_size, std::time::Duration};
/// assert_eq!(sample_size(Duration::from_millis(400)), 2);
/// ```
pub fn sample_size(period: Duration) -> usize {
    match period > FRESH_PERIOD_MAX {
        true => STALE_SAMPLE_SIZE,
        false => usize::MAX,
    }
}

/// What becomes of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// To this server.
    Send(ServerName),
    /// To none now.
    Reject {
        /// When there should be room.
        retry_after: Duration,
        /// Why the server that has room first has none now.
        reason: RejectReason,
    },
}

/// Why a server is not offered a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// It took no connection, or broke one off, a short while ago.
    Unreachable,
    /// It refused a request for want of room a short while ago.
    Refusing,
    /// Its answer would come too late, by the requests that are there.
    QueueTooLong,
}

impl fmt::Display for RejectReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unreachable => "no server could be reached lately",
            Self::Refusing => "all servers have refused requests lately",
            Self::QueueTooLong => "no server would answer in time",
        })
    }
}

/// Chooses the server that should answer first, if it should in time.
///
/// A server's own queue makes every request late once it is longer than the
/// objective allows, and each request in it then waits for nothing. So what
/// should not end in time is not sent, and the caller is told at once.
pub fn select_server<'a>(
    loads: &LoadTracker,
    candidates: impl Iterator<Item = Candidate<'a>>,
    limits: TimeLimits,
    now: Time,
    mut random: impl FnMut() -> f64,
) -> Decision {
    let candidates: Vec<Candidate<'a>> = candidates.collect();
    let estimate = LoadEstimate {
        loads,
        default_run_time: mean_run_time(loads, &candidates, now),
        now,
    };
    let (mut local, mut remote) = (Vec::new(), Vec::new());
    let mut earliest = (f64::INFINITY, RejectReason::Unreachable);
    for candidate in &candidates {
        match (
            estimate.evaluate(candidate, limits, random()),
            candidate.same_domain,
        ) {
            (Ok(option), true) => local.push(option),
            (Ok(option), false) => remote.push(option),
            (Err(unavailable), _) if unavailable.0 < earliest.0 => earliest = unavailable,
            (Err(_), _) => {}
        }
    }
    let connected = local
        .iter()
        .filter(|option| option.has_connection)
        .copied()
        .collect();
    let mut options = sample(local, limits.sample_size, &mut random);
    options.extend(sample(connected, 1, &mut random));
    if options.iter().all(|option| option.wait > 0.0) {
        options.extend(sample(remote, limits.sample_size, &mut random));
    }
    if let Some(option) = options.iter().min_by(|a, b| a.score.total_cmp(&b.score)) {
        return Decision::Send(option.server.clone());
    }
    let jitter = 1.0 + RETRY_AFTER_JITTER * (random() - 0.5);
    let seconds = (earliest.0 * jitter).clamp(RETRY_AFTER_RANGE_S[0], RETRY_AFTER_RANGE_S[1]);
    Decision::Reject {
        retry_after: Duration::from_secs_f64(seconds),
        reason: earliest.1,
    }
}

/// What servers are weighed by.
struct LoadEstimate<'a> {
    loads: &'a LoadTracker,
    /// Run time of a server that nobody has measured.
    default_run_time: f64,
    now: Time,
}

impl LoadEstimate<'_> {
    /// How good a server is for a request; in how many seconds it should have room if
    /// it has none, and why it has none.
    fn evaluate<'s>(
        &self,
        candidate: &Candidate<'s>,
        limits: TimeLimits,
        random: f64,
    ) -> Result<ScoredServer<'s>, (f64, RejectReason)> {
        let entry = &candidate.server.entry;
        let load = self.loads.get(&entry.name);
        let run_time = estimate_run_time(load, candidate.server, self.default_run_time, self.now);
        let in_flight = load.expected_in_flight(candidate.load_factor, self.now);
        let wait = queue_time(in_flight, entry.slots.0, run_time);
        let reason = match () {
            () if load.is_unreachable(self.now) => Some(RejectReason::Unreachable),
            () if load.is_full(self.now) => Some(RejectReason::Refusing),
            () if run_time + wait > time_limit(limits, run_time) => {
                Some(RejectReason::QueueTooLong)
            }
            () => None,
        };
        if let Some(reason) = reason {
            let until_free =
                (wait + run_time / f64::from(entry.slots.0)).min(RETRY_AFTER_QUEUE_MAX_S);
            return Err((until_free * load.callers_per_admission(), reason));
        }
        // One that nobody has measured lately may have joined just now, and would
        // stay without a request as long as others have room.
        let has_connection = candidate.has_connection || load.run_time(self.now).is_none();
        let domain_factor = if candidate.same_domain {
            1.0
        } else {
            WEIGHTS.cross_domain_penalty
        };
        let connection_factor = if has_connection {
            1.0
        } else {
            WEIGHTS.new_connection_penalty
        };
        let failure_factor = 1.0 + load.failure_rate() * WEIGHTS.failure_penalty;
        // Jitter: instances with the same load reports would pick the same server.
        let jitter = 0.9 + 0.2 * random;
        Ok(ScoredServer {
            score: (run_time + wait) * domain_factor * connection_factor * failure_factor * jitter,
            has_connection,
            wait,
            server: &entry.name,
        })
    }
}

/// A server that should answer in time.
#[derive(Clone, Copy)]
struct ScoredServer<'a> {
    /// The lower, the better.
    score: f64,
    /// Whether a connection to it is kept, or nothing is known of it.
    has_connection: bool,
    /// How long a request waits there, in seconds.
    wait: f64,
    server: &'a ServerName,
}

/// `count` of the offers at random.
fn sample<'a>(
    mut options: Vec<ScoredServer<'a>>,
    count: usize,
    random: &mut impl FnMut() -> f64,
) -> Vec<ScoredServer<'a>> {
    if options.len() <= count {
        return options;
    }
    for index in 0..count {
        let remaining = options.len() - index;
        // Guards against rounding up to `remaining`.
        let offset = ((random() * remaining as f64) as usize).min(remaining - 1);
        options.swap(index, index + offset);
    }
    options.truncate(count);
    options
}

/// The longest time that a request may be planned to take.
fn time_limit(limits: TimeLimits, run_time: f64) -> f64 {
    let objective = limits.objective.as_secs_f64() * WEIGHTS.objective_share;
    if objective >= run_time {
        return objective;
    }
    // It will be late: it gets a slot that is free, and no place in a queue.
    run_time.min(limits.deadline.as_secs_f64() * WEIGHTS.deadline_share)
}

/// What a server is taken to need that nobody has measured: as much as the others.
fn mean_run_time(loads: &LoadTracker, candidates: &[Candidate<'_>], now: Time) -> f64 {
    let run_times = candidates
        .iter()
        .filter_map(|candidate| loads.get(&candidate.server.entry.name).run_time(now));
    let (sum, count) = run_times.fold((0.0, 0.0), |(sum, count), run_time| {
        (sum + run_time, count + 1.0)
    });
    if count > 0.0 {
        sum / count
    } else {
        WEIGHTS.default_run_time
    }
}

fn estimate_run_time(
    load: &ServerLoad,
    server: &ServerRecord,
    default_run_time: f64,
    now: Time,
) -> f64 {
    let run_time = load.run_time(now).unwrap_or(default_run_time);
    match server.remaining_warm_up(now).is_zero() {
        true => run_time,
        false => run_time * WEIGHTS.cold_factor,
    }
}

/// How long a request waits for a slot.
fn queue_time(in_flight: f64, slots: u32, run_time: f64) -> f64 {
    let slots = f64::from(slots);
    (in_flight + 1.0 - slots).max(0.0) * run_time / slots
}
