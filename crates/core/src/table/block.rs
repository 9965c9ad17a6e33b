//! Rows that assign shards and single keys to owners.

use crate::{
    id::{KeyHash, ServiceName, ShardId},
    ownership::Assignment,
};

/// Shards in one block. A block is one row, so moves within a block share a commit.
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

/// Row with the owners of a block of consecutive shards.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BlockRow {
    /// The service the shards belong to.
    pub service: ServiceName,
    /// Number of the block.
    pub block: BlockId,
    /// One assignment for each shard, starting at [`BlockId::first_shard`].
    pub shards: Vec<Assignment>,
}

/// Row with the owner of one hot key, which overrides the owner of the key's shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OverrideRow {
    /// The service the key belongs to.
    pub service: ServiceName,
    /// Hash of the key.
    pub key: KeyHash,
    /// Assignment of the key.
    pub owner: Assignment,
}
