//! The unit of ownership.

use {
    crate::id::{KeyHash, ShardId},
    std::fmt,
};

/// Unit of ownership within a service: assignments, epochs and grants each belong to one
/// scope.
///
/// ```
/// use citron_core::{id::ShardId, ownership::Scope};
/// assert_eq!(Scope::Shard(ShardId(4)).to_string(), "shard:4");
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Scope {
    /// All keys of a shard, except the keys that have an assignment of their own.
    Shard(ShardId),
    /// One key with an assignment of its own, apart from its shard.
    Key(KeyHash),
}

impl fmt::Display for Scope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Shard(shard) => write!(f, "shard:{shard}"),
            Self::Key(key) => write!(f, "key:{key}"),
        }
    }
}
