//! What control asks of a traffic thread.

use {
    super::{crash_log::CrashEvent, limiters::Quotas, load::LoadSample, state::ThreadState},
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
pub enum Command {
    /// Whether no request that was routed below a revision can still reach a server.
    IsQuiescent {
        /// The server.
        server: ServerName,
        /// The first revision that does not count.
        below: Revision,
        /// Takes the answer.
        reply: oneshot::Sender<bool>,
    },
    /// Counts for service-level objectives since the last time they were asked for.
    Tallies {
        /// Takes the answer.
        reply: oneshot::Sender<Vec<(ServiceName, Tally)>>,
    },
    /// Rates of requests by server since the last time it was asked for.
    Demand {
        /// Takes the answer.
        reply: oneshot::Sender<Vec<(ServerName, Demand)>>,
    },
    /// Sets what the instance may take of each server.
    SetQuotas {
        /// The parts.
        quotas: Arc<Quotas>,
        /// Told when they are in force.
        reply: oneshot::Sender<()>,
    },
    /// Notes a crash, an answer or what another instance or an operator says.
    ApplyCrash(CrashEvent),
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
pub async fn serve(mut commands: mpsc::UnboundedReceiver<Command>, state: Rc<ThreadState>) {
    while let Some(command) = commands.recv().await {
        let mut in_flight = state.in_flight.borrow_mut();
        // Whoever asked may have stopped waiting.
        match command {
            Command::IsQuiescent {
                server,
                below,
                reply,
            } => drop(reply.send(in_flight.is_quiescent(&server, below))),
            Command::Tallies { reply } => drop(reply.send(in_flight.slo_counters.take())),
            Command::Demand { reply } => drop(reply.send(state.limiters.take_demand())),
            Command::SetQuotas { quotas, reply } => {
                state.limiters.set_quotas(quotas);
                let _ = reply.send(());
            }
            Command::ApplyCrash(event) => state.crash_log.apply(event),
            Command::CrashReport { reply } => drop(reply.send(state.crash_log.report())),
            Command::CrashEntries { reply } => drop(reply.send(state.crash_log.entries())),
            Command::Metrics { reply } => {
                state.metrics.borrow_mut().flush();
                let _ = reply.send(in_flight.count());
            }
            Command::Load { reply } => drop(reply.send(in_flight.load.take())),
        }
    }
}
