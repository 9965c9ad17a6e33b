//! Requests for slots that the traffic thread leaves for the control thread.

use {
    citron_core::{
        id::{DomainName, InstanceId},
        slots::{SlotAnswer, SlotOutcome, SlotRequest},
    },
    std::net::SocketAddr,
    tokio::sync::watch,
};

/// Instance that may allocate the slots of servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BrokerCandidate {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Failure domain of the instance.
    pub domain: DomainName,
    /// Address for datagrams.
    pub address: SocketAddr,
}

/// Latest answer to a request for a slot; `None` before the first one. A later answer
/// replaces an earlier one that was not read.
pub type SlotReply = watch::Sender<Option<SlotAnswer>>;

/// Step of a request for a slot. Numbers are given by the traffic thread, so that it can end
/// a request at any time.
#[derive(Debug)]
pub enum SlotCall {
    /// Ask a broker.
    Ask {
        /// Number of the request.
        number: u64,
        /// Address of the broker; the own one if this instance is the broker.
        broker: SocketAddr,
        /// The request.
        request: SlotRequest,
        /// Where the answers go.
        reply: SlotReply,
    },
    /// Ask the same broker again, under the same number.
    Repeat {
        /// Number of the request.
        number: u64,
        /// Address of the broker.
        broker: SocketAddr,
        /// The request, with the time that is left now.
        request: SlotRequest,
    },
    /// End the request. Exactly one call for each request.
    Release {
        /// Number of the request.
        number: u64,
        /// How the request ended.
        outcome: SlotOutcome,
    },
}
