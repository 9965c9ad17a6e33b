//! What control asks of a traffic thread.

use {
    super::{crash_log::CrashNote, limiters::Parts, load::LoadSample, state::State},
    citron_core::{
        admission::Demand,
        crash::{CrashEntry, CrashReport},
        id::{Revision, ServerName, ServiceName},
        slo::Tally,
    },
    std::{rc::Rc, sync::Arc},
    tokio::sync::{mpsc, oneshot},
};

/// A question to one traffic thread. The thread owns what it is asked about,
/// so that requests take no lock that another thread can hold.
#[derive(Debug)]
pub enum Ask {
    /// Whether no request that was routed below a revision can still reach a server.
    Quiet {
        /// The server.
        server: ServerName,
        /// The first revision that does not count.
        below: Revision,
        /// Takes the answer.
        reply: oneshot::Sender<bool>,
    },
    /// Counts for service-level objectives since the last time they were asked for.
    Burn {
        /// Takes the answer.
        reply: oneshot::Sender<Vec<(ServiceName, Tally)>>,
    },
    /// Rates of requests by server since the last time it was asked for.
    Demand {
        /// Takes the answer.
        reply: oneshot::Sender<Vec<(ServerName, Demand)>>,
    },
    /// Sets what the instance may take of each server.
    Parts {
        /// The parts.
        parts: Arc<Parts>,
        /// Told when they are in force.
        reply: oneshot::Sender<()>,
    },
    /// Notes a crash, an answer or what another instance or an operator says.
    Crash(CrashNote),
    /// What this instance knows of crashes, for the others.
    CrashReport {
        /// Takes the answer.
        reply: oneshot::Sender<CrashReport>,
    },
    /// The requests that crashed servers, for operators.
    CrashEntries {
        /// Takes the answer.
        reply: oneshot::Sender<Vec<CrashEntry>>,
    },
    /// Adds this thread's counts to the shared metrics.
    Metrics {
        /// Takes the number of requests under way.
        reply: oneshot::Sender<usize>,
    },
    /// Load since the last time it was asked for.
    Load {
        /// Takes the answer.
        reply: oneshot::Sender<Vec<LoadSample>>,
    },
}

/// Answers questions until the other side is gone.
pub async fn answer(mut asks: mpsc::UnboundedReceiver<Ask>, state: Rc<State>) {
    while let Some(ask) = asks.recv().await {
        let mut flights = state.flights.borrow_mut();
        // Whoever asked may have stopped waiting.
        match ask {
            Ask::Quiet {
                server,
                below,
                reply,
            } => drop(reply.send(flights.quiet(&server, below))),
            Ask::Burn { reply } => drop(reply.send(flights.burn.take())),
            Ask::Demand { reply } => drop(reply.send(state.gates.demand())),
            Ask::Parts { parts, reply } => {
                state.gates.set_parts(parts);
                let _ = reply.send(());
            }
            Ask::Crash(note) => state.crashes.note(note),
            Ask::CrashReport { reply } => drop(reply.send(state.crashes.report())),
            Ask::CrashEntries { reply } => drop(reply.send(state.crashes.entries())),
            Ask::Metrics { reply } => {
                state.metrics.borrow_mut().flush();
                let _ = reply.send(flights.count());
            }
            Ask::Load { reply } => drop(reply.send(flights.load.take())),
        }
    }
}
