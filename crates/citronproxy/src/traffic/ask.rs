//! What control asks of a traffic thread.

use {
    super::{flights::Flights, load::LoadSample},
    citron_core::{
        id::{Revision, ServerName, ServiceName},
        slo::Tally,
    },
    std::{cell::RefCell, rc::Rc},
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
    /// Load since the last time it was asked for.
    Load {
        /// Takes the answer.
        reply: oneshot::Sender<Vec<LoadSample>>,
    },
}

/// Answers questions until the other side is gone.
pub async fn answer(mut asks: mpsc::UnboundedReceiver<Ask>, flights: Rc<RefCell<Flights>>) {
    while let Some(ask) = asks.recv().await {
        let mut flights = flights.borrow_mut();
        // Whoever asked may have stopped waiting.
        match ask {
            Ask::Quiet {
                server,
                below,
                reply,
            } => drop(reply.send(flights.quiet(&server, below))),
            Ask::Burn { reply } => drop(reply.send(flights.burn.take())),
            Ask::Load { reply } => drop(reply.send(flights.load.take())),
        }
    }
}
