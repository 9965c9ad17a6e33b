//! Commands to a traffic thread.

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

/// Command or query for one traffic thread. The thread owns the state concerned, so that
/// requests take no lock that another thread can hold.
#[derive(Debug)]
pub enum Command {
    /// Queries whether no request that was routed under a revision older than `below` can
    /// still reach the server or run there.
    IsQuiescent {
        /// Backend server.
        server: ServerName,
        /// First revision that is not concerned.
        below: Revision,
        /// Receives the result.
        reply: oneshot::Sender<bool>,
    },
    /// Takes the counts for service-level objectives since the last such query.
    Tallies {
        /// Receives the counts by service.
        reply: oneshot::Sender<Vec<(ServiceName, Tally)>>,
    },
    /// Takes the request rates by server since the last such query.
    Demand {
        /// Receives the rates.
        reply: oneshot::Sender<Vec<(ServerName, Demand)>>,
    },
    /// Sets the instance's quotas of the servers.
    SetQuotas {
        /// Quotas that replace the present ones.
        quotas: Arc<Quotas>,
        /// Notified when the quotas are in force.
        reply: oneshot::Sender<()>,
    },
    /// Applies an event to the crash log.
    ApplyCrash(CrashEvent),
    /// Queries the crashes known to this instance, for other instances.
    CrashReport {
        /// Receives the report.
        reply: oneshot::Sender<CrashReport>,
    },
    /// Queries the requests that crashed servers, for operators.
    CrashEntries {
        /// Receives the entries.
        reply: oneshot::Sender<Vec<CrashEntry>>,
    },
    /// Adds this thread's counts to the shared metrics.
    Metrics {
        /// Receives the number of requests in flight.
        reply: oneshot::Sender<usize>,
    },
    /// Takes the load by scope since the last such query.
    Load {
        /// Receives the samples.
        reply: oneshot::Sender<Vec<LoadSample>>,
    },
}

/// Executes commands until the sender is closed.
pub async fn serve(mut commands: mpsc::UnboundedReceiver<Command>, state: Rc<ThreadState>) {
    while let Some(command) = commands.recv().await {
        let mut in_flight = state.in_flight.borrow_mut();
        // The sender of a command may have dropped its receiver; replies to it are
        // discarded.
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
