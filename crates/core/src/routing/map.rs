//! Compact routing map that traffic threads read.

use {
    crate::{
        id::{Epoch, KeyHash, Revision, ServerName, ServiceName, ShardId},
        ownership::{Assignment, Scope},
        table::{BlockId, BlockRow, Row, RowKey, SHARDS_PER_BLOCK, ServerRow, ServiceRow, Table},
    },
    rustc_hash::FxHashMap,
    std::{cmp::Reverse, collections::BTreeMap, sync::Arc},
};

/// Position of a server in [`RouteMap::servers`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerIndex(u32);

/// Current route of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Route {
    /// Owner of the key.
    pub server: ServerIndex,
    /// Epoch granted to the owner.
    pub epoch: Epoch,
    /// Scope of the epoch: the key's shard, or the key itself.
    pub scope: Scope,
    /// Whether requests may be sent; `false` while the shard is moving.
    pub is_open: bool,
}

#[derive(Debug, Clone, Copy)]
struct OwnerEntry {
    server: ServerIndex,
    epoch: Epoch,
    is_open: bool,
}

impl OwnerEntry {
    fn new(server: ServerIndex, assignment: &Assignment) -> Self {
        Self {
            server,
            epoch: assignment.epoch,
            is_open: assignment.is_routable(),
        }
    }
}

type ServerIndexes = BTreeMap<ServerName, ServerIndex>;

/// Routes of one service.
#[derive(Debug, Clone)]
pub struct ServiceRoutes {
    /// The service's configuration.
    pub row: ServiceRow,
    entries: Vec<Option<OwnerEntry>>,
    overrides: FxHashMap<KeyHash, OwnerEntry>,
}

impl ServiceRoutes {
    /// Route of a key; `None` if it has no owner.
    pub fn route(&self, key: KeyHash) -> Option<Route> {
        let shard = self.row.shard_bits.shard_of(key);
        let key_override = self.overrides.get(&key);
        let (scope, entry) = match key_override {
            Some(entry) => (Scope::Key(key), *entry),
            None => (Scope::Shard(shard), self.entry(shard)?),
        };
        Some(Route {
            server: entry.server,
            epoch: entry.epoch,
            scope,
            is_open: entry.is_open,
        })
    }

    /// Routes of all shards, in order; `None` for a shard without an owner.
    pub fn shards(&self) -> impl Iterator<Item = Option<Route>> {
        let shards = (0..self.row.shard_bits.shard_count()).map(ShardId);
        shards.map(|shard| {
            let entry = self.entry(shard)?;
            Some(Route {
                server: entry.server,
                epoch: entry.epoch,
                scope: Scope::Shard(shard),
                is_open: entry.is_open,
            })
        })
    }

    fn entry(&self, shard: ShardId) -> Option<OwnerEntry> {
        self.entries.get(shard.0 as usize).copied().flatten()
    }

    fn new(row: ServiceRow) -> Self {
        Self {
            entries: vec![None; row.shard_bits.shard_count() as usize],
            overrides: FxHashMap::default(),
            row,
        }
    }

    fn fill_block(&mut self, block: &BlockRow, index: &ServerIndexes) {
        let first = block.block.first_shard().0 as usize;
        // Adjacent shards mostly have the same owner, so that one look-up serves all of
        // them.
        let mut last: Option<(&ServerName, Option<ServerIndex>)> = None;
        for (entry, shard) in self.entries.iter_mut().skip(first).zip(&block.shards) {
            let server = match last {
                Some((owner, server)) if *owner == shard.owner => server,
                _ => index.get(&shard.owner).copied(),
            };
            last = Some((&shard.owner, server));
            *entry = server.map(|server| OwnerEntry::new(server, shard));
        }
    }

    fn clear_block(&mut self, block: BlockId) {
        let first = block.first_shard().0 as usize;
        let entries = self.entries.iter_mut().skip(first);
        for entry in entries.take(SHARDS_PER_BLOCK as usize) {
            *entry = None;
        }
    }

    fn set_override(&mut self, key: KeyHash, row: Option<&Row>, index: &ServerIndexes) {
        let Some(Row::Override(row)) = row else {
            self.overrides.remove(&key);
            return;
        };
        match index.get(&row.owner.owner) {
            Some(server) => self
                .overrides
                .insert(key, OwnerEntry::new(*server, &row.owner)),
            None => self.overrides.remove(&key),
        };
    }
}

/// Immutable map of all services and servers at one revision.
#[derive(Debug, Default)]
pub struct RouteMap {
    /// Revision of the table that the map was built from.
    pub revision: Revision,
    services: Vec<Arc<ServiceRoutes>>,
    servers: Vec<Arc<ServerRow>>,
    index: Arc<ServerIndexes>,
}

impl RouteMap {
    /// Builds the map from the table.
    pub fn build(table: &Table) -> Self {
        build(table)
    }

    /// Builds the next map, for a table in which only the rows under `changed` differ
    /// from the one that this map was built from.
    ///
    /// Unchanged parts are shared with this map: a move of one shard copies the entries
    /// of its service and does not read every assignment.
    pub fn with_changes(&self, table: &Table, changed: &[RowKey]) -> Self {
        let is_patchable = changed.iter().all(|key| self.is_patchable(table, key));
        if !is_patchable {
            return Self::build(table);
        }
        let mut map = Self {
            revision: table.revision(),
            services: self.services.clone(),
            servers: self.servers.clone(),
            index: Arc::clone(&self.index),
        };
        for key in changed {
            map.patch(table, key);
        }
        map
    }

    /// Whether a changed row leaves the lists of services and servers unchanged.
    fn is_patchable(&self, table: &Table, key: &RowKey) -> bool {
        match key {
            RowKey::Service(_) => false,
            RowKey::Server(name) => self.index.contains_key(name) && table.get(key).is_some(),
            RowKey::Block(..) | RowKey::Override(..) => true,
            RowKey::Domain(_) | RowKey::Instance(_) => true,
        }
    }

    fn patch(&mut self, table: &Table, key: &RowKey) {
        let row = table.get(key).map(|row| &row.value);
        match (key, row) {
            (RowKey::Server(name), Some(Row::Server(row))) => {
                if let Some(index) = self.index.get(name) {
                    self.servers[index.0 as usize] = Arc::new(row.clone());
                }
            }
            (RowKey::Block(service, _), Some(Row::Block(row))) => {
                self.patch_service(service, |routes, index| routes.fill_block(row, index));
            }
            (RowKey::Block(service, block), None) => {
                self.patch_service(service, |routes, _| routes.clear_block(*block));
            }
            (RowKey::Override(service, key), row) => {
                self.patch_service(service, |routes, index| {
                    routes.set_override(*key, row, index)
                });
            }
            _ => {}
        }
    }

    fn patch_service(
        &mut self,
        name: &ServiceName,
        patch: impl FnOnce(&mut ServiceRoutes, &ServerIndexes),
    ) {
        let found = self
            .services
            .iter_mut()
            .find(|service| service.row.name == *name);
        if let Some(service) = found {
            patch(Arc::make_mut(service), &self.index);
        }
    }

    /// Service for a host and path. The longest prefix wins; among equal prefixes, a
    /// service with matching hosts wins over one for any host.
    pub fn service(&self, host: &str, path: &str) -> Option<&Arc<ServiceRoutes>> {
        self.services.iter().find(|service| {
            let row = &service.row;
            let host_matches =
                row.hosts.is_empty() || row.hosts.iter().any(|h| h.eq_ignore_ascii_case(host));
            host_matches && has_prefix(path, &row.prefix)
        })
    }

    /// All services.
    pub fn services(&self) -> &[Arc<ServiceRoutes>] {
        &self.services
    }

    /// Server at an index from a route of this same map.
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

fn build(table: &Table) -> RouteMap {
    let rows = table.rows().map(|(_, row)| &row.value);
    let mut services = Vec::new();
    let mut servers = Vec::new();
    let mut index = BTreeMap::new();
    for row in rows {
        match row {
            Row::Service(row) => services.push(ServiceRoutes::new(row.clone())),
            Row::Server(row) => {
                index.insert(row.name.clone(), ServerIndex(servers.len() as u32));
                servers.push(Arc::new(row.clone()));
            }
            Row::Block(_) | Row::Override(_) | Row::Domain(_) | Row::Instance(_) => {}
        }
    }
    services.sort_by_key(|routes| {
        (
            Reverse(routes.row.prefix.len()),
            routes.row.hosts.is_empty(),
        )
    });
    let mut map = RouteMap {
        revision: table.revision(),
        services: services.into_iter().map(Arc::new).collect(),
        servers,
        index: Arc::new(index),
    };
    for (key, _) in table.rows() {
        if matches!(key, RowKey::Block(..) | RowKey::Override(..)) {
            map.patch(table, key);
        }
    }
    map
}
