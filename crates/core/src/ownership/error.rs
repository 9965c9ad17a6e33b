//! Errors of moving a scope.

use {
    super::Scope,
    crate::{
        id::{ServerName, ServiceName},
        table::ServerState,
    },
    thiserror::Error,
};

/// Reason why a move cannot begin. The table is unchanged.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum MoveError {
    /// The table has no such service.
    #[error("there is no service {service}")]
    UnknownService {
        /// The requested service.
        service: ServiceName,
    },
    /// The table has no such backend server.
    #[error("there is no server {server}")]
    UnknownServer {
        /// The requested server.
        server: ServerName,
    },
    /// The target belongs to another service.
    #[error("server {server} belongs to service {found}, not {service}")]
    WrongService {
        /// The requested server.
        server: ServerName,
        /// The service that the server belongs to.
        found: ServiceName,
        /// The service of the scope.
        service: ServiceName,
    },
    /// The target is not active and cannot own keys.
    #[error("server {server} cannot own keys: its state is {state:?}")]
    NotActive {
        /// The requested server.
        server: ServerName,
        /// The server's state.
        state: ServerState,
    },
    /// A move of the scope is already in progress.
    #[error("{scope} of {service} is already moving to {to}")]
    AlreadyMoving {
        /// The service of the scope.
        service: ServiceName,
        /// The scope to be moved.
        scope: Scope,
        /// The target of the move in progress.
        to: ServerName,
    },
    /// The target already owns the scope.
    #[error("server {server} already owns {scope}")]
    AlreadyOwner {
        /// The requested server.
        server: ServerName,
        /// The scope to be moved.
        scope: Scope,
    },
    /// The service has no such shard.
    #[error("{service} has no {scope}: its shards are 0 to {last}")]
    UnknownShard {
        /// The service of the scope.
        service: ServiceName,
        /// The requested scope.
        scope: Scope,
        /// The number of the service's last shard.
        last: u32,
    },
    /// The scope has no owner, and neither have the shards before it in its block. Shards
    /// of a block are first assigned in order.
    #[error(
        "{scope} of {service} has no owner yet; the next shard to assign in its block is shard:{next}"
    )]
    Unowned {
        /// The service of the scope.
        service: ServiceName,
        /// The requested scope.
        scope: Scope,
        /// The first shard of the block without an owner.
        next: u32,
    },
}
