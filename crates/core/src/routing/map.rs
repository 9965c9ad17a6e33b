//! The compact map that traffic threads read.

use {
    crate::{
        id::{Epoch, KeyHash, Revision, ServerName, ShardId},
        ownership::{Assignment, Scope},
        table::{BlockRow, OverrideRow, Row, ServerRow, ServiceRow, Table},
    },
    rustc_hash::FxHashMap,
    std::{collections::BTreeMap, sync::Arc},
};

/// Where a server stands in [`RouteMap::servers`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerIndex(u32);

/// Where a key goes now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Route {
    /// The owner.
    pub server: ServerIndex,
    /// The epoch that the owner was granted.
    pub epoch: Epoch,
    /// What the epoch belongs to: the key's shard, or the key itself.
    pub scope: Scope,
    /// Whether requests may be sent now; if not, the shard is moving.
    pub open: bool,
}

#[derive(Debug, Clone, Copy)]
struct Slot {
    server: ServerIndex,
    epoch: Epoch,
    open: bool,
}

/// The keys of one service.
#[derive(Debug, Clone)]
pub struct ServiceRoutes {
    /// The service's rules.
    pub row: ServiceRow,
    slots: Vec<Option<Slot>>,
    overrides: FxHashMap<KeyHash, Slot>,
}

impl ServiceRoutes {
    /// The owner of a key; `None` while nobody owns it.
    pub fn route(&self, key: KeyHash) -> Option<Route> {
        let shard = self.row.shards.shard_of(key);
        let single = self.overrides.get(&key);
        let (scope, slot) = match single {
            Some(slot) => (Scope::Key(key), *slot),
            None => (Scope::Shard(shard), self.slot(shard)?),
        };
        Some(Route {
            server: slot.server,
            epoch: slot.epoch,
            scope,
            open: slot.open,
        })
    }

    fn slot(&self, shard: ShardId) -> Option<Slot> {
        self.slots.get(shard.0 as usize).copied().flatten()
    }
}

/// All services and servers as of one revision; never changed once built.
#[derive(Debug, Default)]
pub struct RouteMap {
    /// The revision that the map was built from.
    pub revision: Revision,
    services: Vec<Arc<ServiceRoutes>>,
    servers: Vec<Arc<ServerRow>>,
}

impl RouteMap {
    /// Builds the map from the table.
    pub fn build(table: &Table) -> Self {
        Builder::default().build(table)
    }

    /// The service for a host and path: the longest prefix wins, and among
    /// equal ones a named host goes before any host.
    pub fn service(&self, host: &str, path: &str) -> Option<&Arc<ServiceRoutes>> {
        self.services.iter().find(|service| {
            let row = &service.row;
            let named =
                row.hosts.is_empty() || row.hosts.iter().any(|h| h.eq_ignore_ascii_case(host));
            named && has_prefix(path, &row.prefix)
        })
    }

    /// All services.
    pub fn services(&self) -> &[Arc<ServiceRoutes>] {
        &self.services
    }

    /// A server that a route of this same map names.
    pub fn server(&self, index: ServerIndex) -> &Arc<ServerRow> {
        &self.servers[index.0 as usize]
    }

    /// All servers.
    pub fn servers(&self) -> &[Arc<ServerRow>] {
        &self.servers
    }
}

/// Whether `path` is `prefix` or lies below it: `/a` covers `/a/b`, not `/ab`.
fn has_prefix(path: &str, prefix: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || prefix.ends_with('/') || rest.starts_with(['/', '?'])
}

#[derive(Default)]
struct Builder {
    map: RouteMap,
    index: BTreeMap<ServerName, ServerIndex>,
    blocks: Vec<BlockRow>,
    overrides: Vec<OverrideRow>,
}

impl Builder {
    fn build(mut self, table: &Table) -> RouteMap {
        self.map.revision = table.revision();
        let mut services = Vec::new();
        for (_, row) in table.rows() {
            match &row.value {
                Row::Service(row) => services.push(row.clone()),
                Row::Server(row) => self.add_server(row),
                Row::Block(row) => self.blocks.push(row.clone()),
                Row::Override(row) => self.overrides.push(row.clone()),
                Row::Domain(_) | Row::Instance(_) => {}
            }
        }
        services.sort_by_key(|row| (usize::MAX - row.prefix.len(), row.hosts.is_empty()));
        for row in services {
            let routes = self.service_routes(row);
            self.map.services.push(Arc::new(routes));
        }
        self.map
    }

    fn add_server(&mut self, row: &ServerRow) {
        let index = ServerIndex(self.map.servers.len() as u32);
        self.index.insert(row.name.clone(), index);
        self.map.servers.push(Arc::new(row.clone()));
    }

    fn service_routes(&self, row: ServiceRow) -> ServiceRoutes {
        let mut slots = vec![None; row.shards.shards() as usize];
        for block in self.blocks.iter().filter(|b| b.service == row.name) {
            self.fill_block(&mut slots, block);
        }
        let own = self.overrides.iter().filter(|o| o.service == row.name);
        let overrides = own.filter_map(|o| Some((o.key, self.slot(&o.owner)?)));
        ServiceRoutes {
            slots,
            overrides: overrides.collect(),
            row,
        }
    }

    fn fill_block(&self, slots: &mut [Option<Slot>], block: &BlockRow) {
        let first = block.block.first_shard().0 as usize;
        for (slot, shard) in slots.iter_mut().skip(first).zip(&block.shards) {
            *slot = self.slot(shard);
        }
    }

    fn slot(&self, shard: &Assignment) -> Option<Slot> {
        Some(Slot {
            server: *self.index.get(&shard.owner)?,
            epoch: shard.epoch,
            open: shard.is_open(),
        })
    }
}
