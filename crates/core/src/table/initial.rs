//! Initial assignment of a service's shards.

use {
    super::{BlockId, BlockRow, SHARDS_PER_BLOCK, ServerRow, ServiceRow},
    crate::{
        id::{Epoch, ServerName},
        ownership::Assignment,
    },
};

/// Assigns all shards of a service to servers in proportion to the servers' weights, to
/// within one shard. Returns no blocks if no server has a positive weight.
///
/// The new owners need not wait: there is no earlier owner that could still be running
/// requests.
pub fn initial_blocks(service: &ServiceRow, servers: &[&ServerRow], epoch: Epoch) -> Vec<BlockRow> {
    let mut round_robin = RoundRobin::new(servers);
    let shards = service.shard_bits.shard_count();
    let mut blocks = Vec::new();
    for first in (0..shards).step_by(SHARDS_PER_BLOCK as usize) {
        let count = SHARDS_PER_BLOCK.min(shards - first);
        let owners: Option<Vec<ServerName>> =
            (0..count).map(|_| round_robin.next_owner()).collect();
        let Some(owners) = owners else {
            return Vec::new();
        };
        let owned = owners
            .into_iter()
            .map(|owner| Assignment::owned(owner, epoch));
        blocks.push(BlockRow {
            service: service.name.clone(),
            block: BlockId(first / SHARDS_PER_BLOCK),
            shards: owned.collect(),
        });
    }
    blocks
}

/// Smooth weighted round robin, which assigns neighbouring shards to different servers.
struct RoundRobin<'a> {
    servers: Vec<(&'a ServerRow, i64)>,
    total: i64,
}

impl<'a> RoundRobin<'a> {
    fn new(servers: &[&'a ServerRow]) -> Self {
        let weighted = servers.iter().filter(|row| row.weight.0 > 0);
        let servers: Vec<_> = weighted.map(|row| (*row, 0)).collect();
        let total = servers.iter().map(|(row, _)| i64::from(row.weight.0)).sum();
        Self { servers, total }
    }

    fn next_owner(&mut self) -> Option<ServerName> {
        for (row, credit) in &mut self.servers {
            *credit += i64::from(row.weight.0);
        }
        // Among equal credits the first server is chosen, so that the result is
        // deterministic.
        let best = self
            .servers
            .iter_mut()
            .reduce(|best, next| match next.1 > best.1 {
                true => next,
                false => best,
            })?;
        best.1 -= self.total;
        Some(best.0.name.clone())
    }
}
