//! What an owner owns.

use {
    crate::id::{KeyHash, ShardId},
    std::fmt,
};

/// What an assignment, an epoch or a grant belongs to, within a service.
///
/// ```
/// use citron_core::{id::ShardId, ownership::Scope};
/// assert_eq!(Scope::Shard(ShardId(4)).to_string(), "shard:4");
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Scope {
    /// All keys of a shard, but for those taken out of it.
    Shard(ShardId),
    /// One key that was taken out of its shard.
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
