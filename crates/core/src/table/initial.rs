//! The first owners of a service's shards.

use {
    super::{BLOCK_SHARDS, BlockId, BlockRow, ServerRow, ServiceRow},
    crate::{
        id::{Epoch, ServerName},
        ownership::Assignment,
    },
};

/// Deals all shards of a service out to servers, in proportion to their weights
/// and to within one shard of it. Empty if no server has a weight.
///
/// No wait is needed: a shard that nobody owned has no earlier owner that could
/// still run something.
pub fn initial_blocks(service: &ServiceRow, servers: &[&ServerRow], epoch: Epoch) -> Vec<BlockRow> {
    let mut deal = Deal::new(servers);
    let shards = service.shards.shards();
    let mut blocks = Vec::new();
    for first in (0..shards).step_by(BLOCK_SHARDS as usize) {
        let count = BLOCK_SHARDS.min(shards - first);
        let owners: Option<Vec<ServerName>> = (0..count).map(|_| deal.next()).collect();
        let Some(owners) = owners else {
            return Vec::new();
        };
        let owned = owners
            .into_iter()
            .map(|owner| Assignment::owned(owner, epoch));
        blocks.push(BlockRow {
            service: service.name.clone(),
            block: BlockId(first / BLOCK_SHARDS),
            shards: owned.collect(),
        });
    }
    blocks
}

/// Smooth weighted round robin: neighbouring shards go to different servers.
struct Deal<'a> {
    servers: Vec<(&'a ServerRow, i64)>,
    total: i64,
}

impl<'a> Deal<'a> {
    fn new(servers: &[&'a ServerRow]) -> Self {
        let weighted = servers.iter().filter(|row| row.weight.0 > 0);
        let servers: Vec<_> = weighted.map(|row| (*row, 0)).collect();
        let total = servers.iter().map(|(row, _)| i64::from(row.weight.0)).sum();
        Self { servers, total }
    }

    fn next(&mut self) -> Option<ServerName> {
        for (row, credit) in &mut self.servers {
            *credit += i64::from(row.weight.0);
        }
        // The first of equals, so that the same rows give the same owners.
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
