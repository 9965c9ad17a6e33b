//! Errors of control.

use {
    citron_core::id::{Incarnation, InstanceId},
    std::{io, net::SocketAddr},
    thiserror::Error,
};

/// Why an instance cannot go on.
#[derive(Debug, Error)]
pub enum ControlError {
    /// The address for other instances cannot be bound.
    #[error("peer address {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// Two instances were given one id.
    #[error(
        "instance {instance} is already running at {address} as incarnation {incarnation}; \
         give each instance an id of its own"
    )]
    Taken {
        /// The id.
        instance: InstanceId,
        /// Where the other one answers other instances.
        address: SocketAddr,
        /// The start of the other one.
        incarnation: Incarnation,
    },
}
