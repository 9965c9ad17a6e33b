//! Errors of moving a scope.

use {
    super::Scope,
    crate::{
        id::{ServerName, ServiceName},
        table::ServerState,
    },
    thiserror::Error,
};

/// Why a move cannot begin; nothing is changed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum MoveError {
    /// The table has no such service.
    #[error("there is no service {service}")]
    UnknownService {
        /// The service that was named.
        service: ServiceName,
    },
    /// The table has no such backend server.
    #[error("there is no server {server}")]
    UnknownServer {
        /// The server that was named.
        server: ServerName,
    },
    /// The target serves another service.
    #[error("server {server} serves {found}, not {service}")]
    WrongService {
        /// The server that was named.
        server: ServerName,
        /// The service it serves.
        found: ServiceName,
        /// The service of the scope.
        service: ServiceName,
    },
    /// The target takes no keys.
    #[error("server {server} takes no keys: it is {state:?}")]
    NotActive {
        /// The server that was named.
        server: ServerName,
        /// Its state.
        state: ServerState,
    },
    /// The scope is on its way already.
    #[error("{scope} of {service} is already moving to {to}")]
    AlreadyMoving {
        /// The service.
        service: ServiceName,
        /// The scope.
        scope: Scope,
        /// Where it goes.
        to: ServerName,
    },
    /// The target owns the scope already.
    #[error("server {server} already owns {scope}")]
    AlreadyOwner {
        /// The server that was named.
        server: ServerName,
        /// The scope.
        scope: Scope,
    },
    /// The service has no such shard.
    #[error("{service} has shards 0 to {last}, there is no {scope}")]
    UnknownShard {
        /// The service.
        service: ServiceName,
        /// The scope that was named.
        scope: Scope,
        /// The service's last shard.
        last: u32,
    },
    /// Nobody owns the scope, and those before it in its block are unowned too.
    #[error(
        "nobody owns {scope} of {service} yet; the next to be assigned in its block is shard:{next}"
    )]
    Unowned {
        /// The service.
        service: ServiceName,
        /// The scope that was named.
        scope: Scope,
        /// The first shard of the block without an owner.
        next: u32,
    },
}
