//! Rows that say who owns which shard.

use crate::{
    id::{KeyHash, ServiceName, ShardId},
    ownership::Assignment,
};

/// Shards in one block, which is one row: moves within a block share a commit.
pub const SHARDS_PER_BLOCK: u32 = 64;

/// Number of a block within its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BlockId(pub u32);

impl BlockId {
    /// The block that holds a shard.
    ///
    /// ```
    /// use citron_core::{id::ShardId, table::BlockId};
    /// assert_eq!(BlockId::from_shard(ShardId(130)), BlockId(2));
    /// ```
    pub fn from_shard(shard: ShardId) -> Self {
        Self(shard.0 / SHARDS_PER_BLOCK)
    }

    /// The first shard of the block.
    pub fn first_shard(self) -> ShardId {
        ShardId(self.0 * SHARDS_PER_BLOCK)
    }
}

/// Owners of consecutive shards.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BlockRow {
    /// The service the shards belong to.
    pub service: ServiceName,
    /// Which run of shards.
    pub block: BlockId,
    /// One assignment a shard, from [`BlockId::first_shard`] on.
    pub shards: Vec<Assignment>,
}

/// The owner of one hot key that was taken out of its shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OverrideRow {
    /// The service the key belongs to.
    pub service: ServiceName,
    /// The key's hash.
    pub key: KeyHash,
    /// Its owner.
    pub owner: Assignment,
}
