//! Selection of the server for a request.

use {
    super::{LoadTracker, ServerLoad},
    crate::{id::ServerName, registry::ServerRecord, time::Time},
    std::{fmt, time::Duration},
};

/// Weights and limits of the selection.
struct SelectionWeights {
    /// Run time of a service with no measured server, in seconds.
    default_run_time: f64,
    /// Factor on the run time of a server that has just started, or got keys without a
    /// handover.
    cold_factor: f64,
    /// Longest planned response time, as a fraction of the time left to the objective.
    objective_share: f64,
    /// Longest planned response time of a request that cannot meet its objective, as a
    /// fraction of the time left to its deadline.
    deadline_share: f64,
    /// Factor for a server in another failure domain, as traffic between domains costs
    /// money.
    cross_domain_penalty: f64,
    /// Factor for a new connection, which takes a slot of the server for a moment.
    new_connection_penalty: f64,
    /// Weight of the failure rate; a server that fails all attempts has its score
    /// multiplied by 1 plus this weight.
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
/// Longest Retry-After of a server that has rejected no requests yet, in seconds.
const RETRY_AFTER_QUEUE_MAX_S: f64 = 0.9;
/// Jitter of Retry-After, as a fraction. Without it, clients rejected together would
/// return together.
const RETRY_AFTER_JITTER: f64 = 0.3;
/// Time over which the clients of a server at rest return after its end, as a fraction of
/// the rest. None of them returns before.
const REST_SPREAD: f64 = 0.3;

/// A server that may get the request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// The server's record in the registry.
    pub server: &'a ServerRecord,
    /// Whether the server is in this instance's failure domain.
    pub same_domain: bool,
    /// Whether the request can reuse an idle connection to the server.
    pub has_connection: bool,
    /// Actual requests at the server for each one known to this instance; above 1 where
    /// only some of the instances report to it.
    pub load_factor: f64,
    /// Whether a broker decides on requests for the server, so that its queue as this
    /// instance estimates it is left out of account.
    pub is_brokered: bool,
}

/// Time limits of a request, and the number of servers to compare.
#[derive(Debug, Clone, Copy)]
pub struct TimeLimits {
    /// Time left to the latency objective.
    pub objective: Duration,
    /// Time left to the deadline.
    pub deadline: Duration,
    /// Number of servers drawn at random and compared; see [`sample_size`].
    pub sample_size: usize,
}

/// Longest report period with which all servers are compared.
const FRESH_PERIOD_MAX: Duration = Duration::from_millis(150);
/// Number of servers compared at longer report periods.
const STALE_SAMPLE_SIZE: usize = 2;

/// Number of servers to compare if other instances report every `period`; all of them if
/// the period is short.
///
/// Instances with the same outdated reports would all select the same few servers until
/// the next reports, and requests would queue there. Taking the better of two random
/// servers spreads them.
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

/// Result of the selection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Send the request to this server.
    Send(ServerName),
    /// Reject the request.
    Reject {
        /// Time until a server should have capacity.
        retry_after: Duration,
        /// Reason for which the server that should have capacity first is not selected.
        reason: RejectReason,
    },
}

/// Reason for which a server gets no requests for the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectReason {
    /// A recent connection to the server failed.
    Unreachable,
    /// The server lately refused a request for lack of capacity.
    Refusing,
    /// With the requests already there, the response would be late.
    QueueTooLong,
    /// The server has asked this instance for rest.
    Resting,
}

impl RejectReason {
    /// Whether a request that waits for a moment may find capacity.
    pub fn may_end_soon(self) -> bool {
        self != Self::Resting
    }
}

impl fmt::Display for RejectReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unreachable => "no server could be reached lately",
            Self::Refusing => "all servers have refused requests lately",
            Self::QueueTooLong => "no server would answer in time",
            Self::Resting => "all servers have asked for rest",
        })
    }
}

/// Selects the server that should respond first, if it should respond in time.
///
/// Once a server's queue is longer than the objective allows, every request in it is
/// late, and its wait is wasted. Requests that should not finish in time are therefore
/// rejected at once instead of being sent.
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
    let (seconds, reason) = earliest;
    let retry_after = if reason == RejectReason::Resting {
        retry_after_rest(Duration::from_secs_f64(seconds), random())
    } else {
        let jitter = 1.0 + RETRY_AFTER_JITTER * (random() - 0.5);
        let seconds = (seconds * jitter).clamp(RETRY_AFTER_RANGE_S[0], RETRY_AFTER_RANGE_S[1]);
        Duration::from_secs_f64(seconds)
    };
    Decision::Reject {
        retry_after,
        reason,
    }
}

/// Retry-After of a request for a server that is at rest for `rest` more. `random`,
/// uniform in 0 to 1, spreads the clients.
///
/// ```
/// use {citron_core::dispatch::retry_after_rest, std::time::Duration};
/// let rest = Duration::from_secs(3);
/// assert_eq!(retry_after_rest(rest, 0.0), rest);
/// assert!(retry_after_rest(rest, 1.0) < rest * 2);
/// ```
pub fn retry_after_rest(rest: Duration, random: f64) -> Duration {
    rest.mul_f64(1.0 + REST_SPREAD * random)
}

/// Inputs of the estimate of each server's response time.
struct LoadEstimate<'a> {
    loads: &'a LoadTracker,
    /// Run time of servers without a measured one, in seconds.
    default_run_time: f64,
    now: Time,
}

impl LoadEstimate<'_> {
    /// Scores a server for a request. The error holds the time in seconds until the
    /// server should have capacity, and the reason for which it has none.
    fn evaluate<'s>(
        &self,
        candidate: &Candidate<'s>,
        limits: TimeLimits,
        random: f64,
    ) -> Result<ScoredServer<'s>, (f64, RejectReason)> {
        let entry = &candidate.server.entry;
        let load = self.loads.get(&entry.name);
        if let Some(rest) = load.remaining_rest(self.now) {
            return Err((rest.as_secs_f64(), RejectReason::Resting));
        }
        let run_time = estimate_run_time(load, candidate.server, self.default_run_time, self.now);
        let in_flight = load.expected_in_flight(candidate.load_factor, self.now);
        let wait = queue_time(in_flight, entry.slots.0, run_time);
        let reason = match () {
            () if load.is_unreachable(self.now) => Some(RejectReason::Unreachable),
            () if candidate.is_brokered => None,
            () if load.is_full(self.now) => Some(RejectReason::Refusing),
            () if run_time + wait > time_limit(limits, run_time) => {
                Some(RejectReason::QueueTooLong)
            }
            () => None,
        };
        if let Some(reason) = reason {
            let until_free =
                (wait + run_time / f64::from(entry.slots.0)).min(RETRY_AFTER_QUEUE_MAX_S);
            return Err((until_free * load.clients_per_admission(), reason));
        }
        // A server without a recent run time may have joined just now. It would get no
        // requests while others have capacity if it were also charged for its new
        // connection.
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
        // Instances with the same reports would select the same server without jitter.
        let jitter = 0.9 + 0.2 * random;
        Ok(ScoredServer {
            score: (run_time + wait) * domain_factor * connection_factor * failure_factor * jitter,
            has_connection,
            wait,
            server: &entry.name,
        })
    }
}

/// A server that should respond in time.
#[derive(Clone, Copy)]
struct ScoredServer<'a> {
    /// Estimated response time with all penalties; the lowest score wins.
    score: f64,
    /// Whether an idle connection can be reused, or the server has no recent run time.
    has_connection: bool,
    /// Expected queueing time at the server, in seconds.
    wait: f64,
    server: &'a ServerName,
}

/// Draws `count` of the options at random.
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
        // The product may round up to `remaining`.
        let offset = ((random() * remaining as f64) as usize).min(remaining - 1);
        options.swap(index, index + offset);
    }
    options.truncate(count);
    options
}

/// Longest response time that is planned for a request, in seconds.
fn time_limit(limits: TimeLimits, run_time: f64) -> f64 {
    let objective = limits.objective.as_secs_f64() * WEIGHTS.objective_share;
    if objective >= run_time {
        return objective;
    }
    // The request will miss its objective: it may take a free slot but not queue.
    run_time.min(limits.deadline.as_secs_f64() * WEIGHTS.deadline_share)
}

/// Mean run time of the measured candidates, in seconds, used for those that nobody has
/// measured.
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

/// Expected queueing time of a request for a slot, in seconds.
fn queue_time(in_flight: f64, slots: u32, run_time: f64) -> f64 {
    let slots = f64::from(slots);
    (in_flight + 1.0 - slots).max(0.0) * run_time / slots
}
