//! Errors of the control thread.

use {
    citron_core::id::{Incarnation, InstanceId},
    std::{io, net::SocketAddr},
    thiserror::Error,
};

/// A failure that stops the instance.
#[derive(Debug, Error)]
pub enum ControlError {
    /// The peer address cannot be bound.
    #[error("cannot listen on peer address {address}: {source}")]
    Bind {
        /// The peer address.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Another live instance has the same id.
    #[error(
        "instance {instance} is already running at {address} as incarnation {incarnation}; \
         give each instance an id of its own"
    )]
    Taken {
        /// The id.
        instance: InstanceId,
        /// Peer address of the other instance.
        address: SocketAddr,
        /// Incarnation of the other instance.
        incarnation: Incarnation,
    },
}
