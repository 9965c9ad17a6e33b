//! The choice of a server, or of none.

use {
    super::{LoadBook, ServerLoad},
    crate::{id::ServerName, registry::Known, time::Time},
    std::time::Duration,
};

/// Run time of a request of which nothing is known yet, in seconds: between the
/// means of the services seen so far.
const RUN: f64 = 0.2;
/// How much longer a server that has just started, or got keys without a
/// handover, takes for a request.
const COLD: f64 = 2.0;
/// Part of the time up to the objective that a request is planned to take:
/// run times vary, and a plan that uses all of it is late half of the time.
const PLANNED: f64 = 0.85;
/// Part of the time up to the deadline that a request may be planned to take
/// that is late anyway.
const PLANNED_LATE: f64 = 0.5;
/// How much nearer servers are preferred: traffic between failure domains is
/// paid for, but waiting costs callers more.
const FAR: f64 = 1.1;
/// How much a server that refuses all tries is avoided, in run times.
const REFUSING: f64 = 4.0;
/// Shortest and longest time after which a caller is asked to come back.
const AGAIN: [Duration; 2] = [Duration::from_millis(80), Duration::from_millis(900)];

/// A server that a request may go to.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// The server.
    pub server: &'a Known,
    /// Whether it is in this instance's failure domain.
    pub near: bool,
    /// All requests at the server for each that this instance knows of; above 1
    /// where only some of the other instances report to it.
    pub scale: f64,
}

/// What a request needs.
#[derive(Debug, Clone, Copy)]
pub struct Ask {
    /// Time left to the objective.
    pub objective: Duration,
    /// Time left to the deadline.
    pub deadline: Duration,
}

/// Where to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// To this server.
    Send(ServerName),
    /// Nowhere now; there should be room after this time.
    Full(Duration),
}

/// Chooses the server that should answer first, if it should in time.
///
/// A server's own queue makes every request late once it is longer than the
/// objective allows, and each request in it then waits for nothing. So what
/// should not end in time is not sent, and the caller is told at once.
pub fn choose<'a>(
    book: &LoadBook,
    candidates: impl Iterator<Item = Candidate<'a>>,
    ask: Ask,
    now: Time,
    mut drawn: impl FnMut() -> f64,
) -> Choice {
    let mut best: Option<(f64, &ServerName)> = None;
    let mut room = AGAIN[1];
    for candidate in candidates {
        let entry = &candidate.server.entry;
        let load = book.get(&entry.name);
        let run = run_time(load, candidate.server, now);
        let wait = waiting(load, candidate.scale, entry.slots.0, run);
        if load.is_down(now) || load.is_full(now) || run + wait > limit(ask, run) {
            room = room.min(Duration::from_secs_f64(
                wait + run / f64::from(entry.slots.0),
            ));
            continue;
        }
        let far = if candidate.near { 1.0 } else { FAR };
        let refusing = 1.0 + load.refused() * REFUSING;
        // Instances that see the same loads must not all choose the same server.
        let spread = 0.9 + 0.2 * drawn();
        let score = (run + wait) * far * refusing * spread;
        if best.is_none_or(|(least, _)| score < least) {
            best = Some((score, &entry.name));
        }
    }
    match best {
        Some((_, server)) => Choice::Send(server.clone()),
        None => Choice::Full(room.clamp(AGAIN[0], AGAIN[1])),
    }
}

/// The longest time that a request may be planned to take.
fn limit(ask: Ask, run: f64) -> f64 {
    let objective = ask.objective.as_secs_f64() * PLANNED;
    if objective >= run {
        return objective;
    }
    // It will be late: it gets a slot that is free, and no place in a queue.
    run.min(ask.deadline.as_secs_f64() * PLANNED_LATE)
}

fn run_time(load: &ServerLoad, server: &Known, now: Time) -> f64 {
    let run = load.run(now).unwrap_or(RUN);
    match server.warm_up(now).is_zero() {
        true => run,
        false => run * COLD,
    }
}

/// How long a request waits for a slot.
fn waiting(load: &ServerLoad, scale: f64, slots: u32, run: f64) -> f64 {
    let slots = f64::from(slots);
    let ahead = f64::from(load.busy()) * scale + 1.0 - slots;
    ahead.max(0.0) * run / slots
}
