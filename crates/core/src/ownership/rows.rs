//! Reading and writing assignments in the table.

use {
    super::{Assignment, Scope},
    crate::{
        id::{Revision, ServiceName},
        table::{BlockId, BlockRow, OverrideRow, Row, RowKey, Table, Versioned, Write},
    },
};

/// Returns the assignment of a scope with the version of the row that holds it; `None` if
/// the scope has no owner.
pub fn assignment(
    table: &Table,
    service: &ServiceName,
    scope: Scope,
) -> Option<Versioned<Assignment>> {
    let found = table.get(&row_key(service, scope))?;
    let version = found.version;
    let value = match (&found.value, scope) {
        (Row::Block(row), Scope::Shard(shard)) => {
            let index = shard.0 - row.block.first_shard().0;
            row.shards.get(index as usize)?.clone()
        }
        (Row::Override(row), Scope::Key(_)) => row.owner.clone(),
        _ => return None,
    };
    Some(Versioned { version, value })
}

/// Returns a write that replaces the assignment of an owned scope, or appends the
/// assignment of the first unowned shard of a block. The write is conditional on version
/// `expect` of the row.
pub(super) fn assignment_write(
    table: &Table,
    service: &ServiceName,
    scope: Scope,
    expect: Revision,
    new: Assignment,
) -> Write {
    let key = row_key(service, scope);
    let row = match scope {
        Scope::Shard(shard) => {
            let block = BlockId::from_shard(shard);
            let mut row = block_row(table, service, block);
            let index = (shard.0 - block.first_shard().0) as usize;
            match row.shards.get_mut(index) {
                Some(old) => *old = new,
                None => row.shards.push(new),
            }
            Row::Block(row)
        }
        Scope::Key(hash) => Row::Override(OverrideRow {
            service: service.clone(),
            key: hash,
            owner: new,
        }),
    };
    Write {
        key,
        expect,
        row: Some(row),
    }
}

/// Returns the key of the row that holds a scope's assignment.
pub fn row_key(service: &ServiceName, scope: Scope) -> RowKey {
    match scope {
        Scope::Shard(shard) => RowKey::Block(service.clone(), BlockId::from_shard(shard)),
        Scope::Key(hash) => RowKey::Override(service.clone(), hash),
    }
}

/// Returns the version of a row; 0 if the row does not exist.
pub(super) fn row_version(table: &Table, key: &RowKey) -> Revision {
    table.get(key).map_or(Revision(0), |found| found.version)
}

fn block_row(table: &Table, service: &ServiceName, block: BlockId) -> BlockRow {
    let key = RowKey::Block(service.clone(), block);
    match table.get(&key).map(|found| &found.value) {
        Some(Row::Block(row)) => row.clone(),
        _ => BlockRow {
            service: service.clone(),
            block,
            shards: Vec::new(),
        },
    }
}
