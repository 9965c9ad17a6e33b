//! Rows of any kind, and the keys under which they are stored.

use {
    super::{BlockId, BlockRow, DomainRow, InstanceRow, OverrideRow, ServerRow, ServiceRow},
    crate::id::{DomainName, InstanceId, KeyHash, Revision, ServerName, ServiceName},
    crate::ownership::Assignment,
    std::fmt,
};

/// Key that identifies a row.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RowKey {
    /// A service.
    Service(ServiceName),
    /// A backend server.
    Server(ServerName),
    /// A failure domain.
    Domain(DomainName),
    /// An instance.
    Instance(InstanceId),
    /// A block of consecutive shards.
    Block(ServiceName, BlockId),
    /// A single key with its own owner.
    Override(ServiceName, KeyHash),
}

/// Formats the key as the platform stores it: `kind/name` or `kind/service/number`.
impl fmt::Display for RowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Service(name) => write!(f, "service/{name}"),
            Self::Server(name) => write!(f, "server/{name}"),
            Self::Domain(name) => write!(f, "domain/{name}"),
            Self::Instance(id) => write!(f, "instance/{id}"),
            Self::Block(service, block) => write!(f, "block/{service}/{}", block.0),
            Self::Override(service, key) => write!(f, "override/{service}/{key}"),
        }
    }
}

/// A row of any kind.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Row {
    /// A service.
    Service(ServiceRow),
    /// A backend server.
    Server(ServerRow),
    /// A failure domain.
    Domain(DomainRow),
    /// An instance.
    Instance(InstanceRow),
    /// A block of consecutive shards.
    Block(BlockRow),
    /// A single key with its own owner.
    Override(OverrideRow),
}

impl Row {
    /// The key under which the row is stored.
    pub fn key(&self) -> RowKey {
        match self {
            Self::Service(row) => RowKey::Service(row.name.clone()),
            Self::Server(row) => RowKey::Server(row.name.clone()),
            Self::Domain(row) => RowKey::Domain(row.name.clone()),
            Self::Instance(row) => RowKey::Instance(row.id.clone()),
            Self::Block(row) => RowKey::Block(row.service.clone(), row.block),
            Self::Override(row) => RowKey::Override(row.service.clone(), row.key),
        }
    }
}

impl Row {
    /// The assignments of a block or an override; empty for other rows.
    pub fn assignments(&self) -> &[Assignment] {
        match self {
            Self::Block(row) => &row.shards,
            Self::Override(row) => std::slice::from_ref(&row.owner),
            _ => &[],
        }
    }
}

/// A value with the revision of the commit that wrote it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Versioned<T> {
    /// Revision of the commit.
    pub version: Revision,
    /// The value that was written.
    pub value: T,
}
