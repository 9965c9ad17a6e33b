//! Queries about the table and about this instance.

use {
    super::{AdminApi, AdminError, ControlView},
    crate::events,
    citron_core::{
        id::{KeyHash, Revision, ServiceName},
        ownership::{Assignment, Phase, Scope},
        table::{BlockId, Row, RowKey, Table, Versioned},
    },
    citron_ports::TableStore,
    citron_wire::{
        admin::{HistoryPageWire, OwnerWire, RowsWire, StatusWire, VersionedRowWire},
        row::InstanceWire,
    },
};

/// Maximum number of history entries in one response.
const MAX_HISTORY_LIMIT: usize = 1_000;

impl<S: TableStore, C: ControlView> AdminApi<S, C> {
    /// Rows whose key begins with `prefix`.
    pub(super) async fn rows(&self, prefix: &str) -> RowsWire {
        let fresh = self.refresh().await.is_ok();
        self.control.with_table(|table| {
            let rows = table
                .rows()
                .filter(|(key, _)| key.to_string().starts_with(prefix));
            RowsWire {
                revision: table.revision().0,
                fresh,
                rows: rows.map(VersionedRowWire::from).collect(),
            }
        })
    }

    /// One row.
    pub(super) async fn row(&self, key: &RowKey) -> Result<VersionedRowWire, AdminError> {
        // If the platform is unavailable, the last known row is returned. This is safe
        // for edits, because the platform compares the version that an edit names.
        let read = self.refresh().await;
        let row = self
            .control
            .with_table(|table| Some((key, table.get(key)?).into()));
        row.ok_or_else(|| read.err().unwrap_or(AdminError::NotFound(key.to_string())))
    }

    /// Status of this instance, and the instances that the table lists.
    pub(super) async fn status(&self) -> StatusWire {
        let in_force = self.control.revision_in_force();
        // This is not a refresh: a refresh would put a newer revision in force here, so a
        // client that polls the status until a revision is in force would see the effect
        // of its own polling.
        let read = self.store.changes(in_force).await;
        let known = read.as_ref().map_or(in_force, |read| read.changes.revision);
        self.control.with_table(|table| {
            let instances = table.instances().map(InstanceWire::from);
            StatusWire {
                instance: self.instance.to_string(),
                domain: self.domain.to_string(),
                revision: in_force.0,
                latest: table.revision().max(known).0,
                fresh: read.is_ok(),
                instances: instances.collect(),
            }
        })
    }

    /// Accepted edits after a revision.
    pub(super) async fn history(
        &self,
        after: Revision,
        limit: usize,
    ) -> Result<HistoryPageWire, AdminError> {
        let limit = limit.min(MAX_HISTORY_LIMIT);
        let read = self.store.history(after, limit).await;
        let read = read.map_err(AdminError::platform_unavailable)?;
        for error in &read.unreadable {
            log::error!("{} {error}", events::TABLE_ROW_REFUSED);
        }
        Ok(HistoryPageWire {
            entries: read.entries.iter().map(Into::into).collect(),
        })
    }

    /// Owner of a key.
    pub(super) async fn owner(
        &self,
        service: ServiceName,
        key: &str,
    ) -> Result<OwnerWire, AdminError> {
        let read = self.refresh().await;
        let hash = KeyHash::from_key(key.as_bytes());
        let found = self
            .control
            .with_table(|table| find_owner(table, &service, hash));
        found.ok_or_else(|| {
            let what = format!("owner of '{key}' in service/{service}");
            read.err().unwrap_or(AdminError::NotFound(what))
        })
    }
}

fn find_owner(table: &Table, service: &ServiceName, hash: KeyHash) -> Option<OwnerWire> {
    let Row::Service(service_row) = &table.get(&RowKey::Service(service.clone()))?.value else {
        return None;
    };
    let override_key = RowKey::Override(service.clone(), hash);
    let shard = service_row.shard_bits.shard_of(hash);
    let block = RowKey::Block(service.clone(), BlockId::from_shard(shard));
    let (scope, key, row) = match table.get(&override_key) {
        Some(row) => (Scope::Key(hash), override_key, row),
        None => (Scope::Shard(shard), block.clone(), table.get(&block)?),
    };
    let assignment = assignment(row, scope)?;
    let to = match &assignment.phase {
        Phase::Owned => None,
        Phase::Releasing { to } => Some(to.to_string()),
    };
    let reason = match scope {
        Scope::Key(_) => "the key is assigned separately from its shard".to_string(),
        Scope::Shard(shard) => format!(
            "its hash falls into shard {shard} of {}",
            service_row.shard_bits.shard_count()
        ),
    };
    let state = to.as_ref().map_or("owns it".to_string(), |to| {
        format!("is releasing it to {to}")
    });
    let why = format!(
        "{reason}; by {key}, version {}, {} {state} under epoch {}",
        row.version, assignment.owner, assignment.epoch
    );
    Some(OwnerWire {
        revision: table.revision().0,
        service: service.to_string(),
        hash: hash.to_string(),
        scope: scope.to_string(),
        row: key.to_string(),
        version: row.version.0,
        owner: assignment.owner.to_string(),
        epoch: assignment.epoch.0,
        to,
        why,
    })
}

fn assignment(row: &Versioned<Row>, scope: Scope) -> Option<&Assignment> {
    match (&row.value, scope) {
        (Row::Override(row), _) => Some(&row.owner),
        (Row::Block(row), Scope::Shard(shard)) => {
            let first = row.block.first_shard();
            row.shards.get((shard.0 - first.0) as usize)
        }
        _ => None,
    }
}
