//! The choice of a server, or of none.

use {
    super::{LoadBook, ServerLoad},
    crate::{id::ServerName, registry::ServerRecord, time::Time},
    std::{fmt, time::Duration},
};

/// Factors and limits by which servers are weighed.
struct ChoiceWeights {
    /// Run time while no server of the service was measured, in seconds.
    default_run_time: f64,
    /// Factor of the run time on a server that has just started, or got keys without a
    /// handover.
    cold: f64,
    /// Longest planned time to a response, as a fraction of the time to the objective.
    planned: f64,
    /// The same for a request that is late anyway, as a fraction of the time to the deadline.
    planned_late: f64,
    /// Penalty of another failure domain: traffic between them is paid for.
    cross_domain: f64,
    /// Penalty of a new connection: it takes a slot of the server for a moment.
    new_connection: f64,
    /// Penalty of a server that rejects all tries, in run times.
    rejecting: f64,
}

const WEIGHTS: ChoiceWeights = ChoiceWeights {
    default_run_time: 0.2,
    cold: 2.0,
    planned: 1.0,
    planned_late: 0.5,
    cross_domain: 1.1,
    new_connection: 2.0,
    rejecting: 4.0,
};

/// Shortest and longest Retry-After, in seconds.
const RETRY_AFTER: [f64; 2] = [0.08, 3.0];
/// Longest Retry-After, in seconds, for a server that rejects nobody yet.
const RETRY_QUEUE: f64 = 0.9;
/// Jitter of Retry-After, as a fraction: callers rejected together would return together.
const RETRY_JITTER: f64 = 0.3;

/// A server that a request may go to.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// The server.
    pub server: &'a ServerRecord,
    /// Whether it is in this instance's failure domain.
    pub same_domain: bool,
    /// Whether a connection to it is kept that the request may use.
    pub kept: bool,
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
const FRESH: Duration = Duration::from_millis(150);
/// Servers compared where reports are older.
const FEW: usize = 2;

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
    match period > FRESH {
        true => FEW,
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
    Queue,
}

impl fmt::Display for RejectReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unreachable => "no server could be reached lately",
            Self::Refusing => "all servers have refused requests lately",
            Self::Queue => "no server would answer in time",
        })
    }
}

/// Chooses the server that should answer first, if it should in time.
///
/// A server's own queue makes every request late once it is longer than the
/// objective allows, and each request in it then waits for nothing. So what
/// should not end in time is not sent, and the caller is told at once.
pub fn choose<'a>(
    book: &LoadBook,
    candidates: impl Iterator<Item = Candidate<'a>>,
    limits: TimeLimits,
    now: Time,
    mut drawn: impl FnMut() -> f64,
) -> Decision {
    let candidates: Vec<Candidate<'a>> = candidates.collect();
    let view = LoadEstimate {
        book,
        usual: usual_run(book, &candidates, now),
        now,
    };
    let (mut near, mut far) = (Vec::new(), Vec::new());
    let mut room = (f64::INFINITY, RejectReason::Unreachable);
    for candidate in &candidates {
        match (
            view.offer(candidate, limits, drawn()),
            candidate.same_domain,
        ) {
            (Ok(offer), true) => near.push(offer),
            (Ok(offer), false) => far.push(offer),
            (Err(full), _) if full.0 < room.0 => room = full,
            (Err(_), _) => {}
        }
    }
    let kept = near.iter().filter(|offer| offer.kept).copied().collect();
    let mut offers = draw(near, limits.sample_size, &mut drawn);
    offers.extend(draw(kept, 1, &mut drawn));
    if offers.iter().all(|offer| offer.wait > 0.0) {
        offers.extend(draw(far, limits.sample_size, &mut drawn));
    }
    if let Some(offer) = offers.iter().min_by(|a, b| a.score.total_cmp(&b.score)) {
        return Decision::Send(offer.server.clone());
    }
    let jitter = 1.0 + RETRY_JITTER * (drawn() - 0.5);
    let seconds = (room.0 * jitter).clamp(RETRY_AFTER[0], RETRY_AFTER[1]);
    Decision::Reject {
        retry_after: Duration::from_secs_f64(seconds),
        reason: room.1,
    }
}

/// What servers are weighed by.
struct LoadEstimate<'a> {
    book: &'a LoadBook,
    /// Run time of a server that nobody has measured.
    usual: f64,
    now: Time,
}

impl LoadEstimate<'_> {
    /// How good a server is for a request; in how many seconds it should have room if
    /// it has none, and why it has none.
    fn offer<'s>(
        &self,
        candidate: &Candidate<'s>,
        limits: TimeLimits,
        drawn: f64,
    ) -> Result<Offer<'s>, (f64, RejectReason)> {
        let entry = &candidate.server.entry;
        let load = self.book.get(&entry.name);
        let run = run_time(load, candidate.server, self.usual, self.now);
        let busy = load.expected(candidate.load_factor, self.now);
        let wait = waiting(busy, entry.slots.0, run);
        let reason = match () {
            () if load.is_down(self.now) => Some(RejectReason::Unreachable),
            () if load.is_full(self.now) => Some(RejectReason::Refusing),
            () if run + wait > limit(limits, run) => Some(RejectReason::Queue),
            () => None,
        };
        if let Some(reason) = reason {
            let queue = (wait + run / f64::from(entry.slots.0)).min(RETRY_QUEUE);
            return Err((queue * load.callers(), reason));
        }
        // One that nobody has measured lately may have joined just now, and would
        // stay without a request as long as others have room.
        let kept = candidate.kept || load.run(self.now).is_none();
        let distance = if candidate.same_domain {
            1.0
        } else {
            WEIGHTS.cross_domain
        };
        let connection = if kept { 1.0 } else { WEIGHTS.new_connection };
        let refusing = 1.0 + load.refused() * WEIGHTS.rejecting;
        // Jitter: instances with the same load reports would pick the same server.
        let spread = 0.9 + 0.2 * drawn;
        Ok(Offer {
            score: (run + wait) * distance * connection * refusing * spread,
            kept,
            wait,
            server: &entry.name,
        })
    }
}

/// A server that should answer in time.
#[derive(Clone, Copy)]
struct Offer<'a> {
    /// The lower, the better.
    score: f64,
    /// Whether a connection to it is kept, or nothing is known of it.
    kept: bool,
    /// How long a request waits there, in seconds.
    wait: f64,
    server: &'a ServerName,
}

/// `count` of the offers at random.
fn draw<'a>(
    mut offers: Vec<Offer<'a>>,
    count: usize,
    drawn: &mut impl FnMut() -> f64,
) -> Vec<Offer<'a>> {
    if offers.len() <= count {
        return offers;
    }
    for place in 0..count {
        let left = offers.len() - place;
        // Guards against rounding up to `left`.
        let other = ((drawn() * left as f64) as usize).min(left - 1);
        offers.swap(place, place + other);
    }
    offers.truncate(count);
    offers
}

/// The longest time that a request may be planned to take.
fn limit(limits: TimeLimits, run: f64) -> f64 {
    let objective = limits.objective.as_secs_f64() * WEIGHTS.planned;
    if objective >= run {
        return objective;
    }
    // It will be late: it gets a slot that is free, and no place in a queue.
    run.min(limits.deadline.as_secs_f64() * WEIGHTS.planned_late)
}

/// What a server is taken to need that nobody has measured: as much as the others.
fn usual_run(book: &LoadBook, candidates: &[Candidate<'_>], now: Time) -> f64 {
    let runs = candidates
        .iter()
        .filter_map(|candidate| book.get(&candidate.server.entry.name).run(now));
    let (sum, count) = runs.fold((0.0, 0.0), |(sum, count), run| (sum + run, count + 1.0));
    if count > 0.0 {
        sum / count
    } else {
        WEIGHTS.default_run_time
    }
}

fn run_time(load: &ServerLoad, server: &ServerRecord, usual: f64, now: Time) -> f64 {
    let run = load.run(now).unwrap_or(usual);
    match server.remaining_warm_up(now).is_zero() {
        true => run,
        false => run * WEIGHTS.cold,
    }
}

/// How long a request waits for a slot.
fn waiting(busy: f64, slots: u32, run: f64) -> f64 {
    let slots = f64::from(slots);
    (busy + 1.0 - slots).max(0.0) * run / slots
}
