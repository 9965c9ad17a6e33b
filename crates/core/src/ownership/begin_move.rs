//! The first commit of a move.

use {
    super::{
        Assignment, MoveError, Phase, ProductionRules, ProtocolRules, Scope,
        rows::{assignment, assignment_write, row_key, row_version},
    },
    crate::{
        id::{Epoch, ServerName, ServiceName, ShardId},
        table::{BlockId, Commit, Row, ServerState, ServiceRow, Table, Write},
    },
};

/// Returns the commit that begins to move a scope to a server; a [`super::Mover`]
/// completes the move. A shard without an owner is assigned directly. For a key that is
/// still part of its shard, the same commit extracts the key and raises the shard's
/// epoch, so that servers refuse late requests for the key under the shard's old epoch.
///
/// # Errors
///
/// [`MoveError`] if the move cannot begin; nothing is to be committed then.
pub fn begin_move(
    table: &Table,
    service: &ServiceName,
    scope: Scope,
    to: &ServerName,
) -> Result<Commit, MoveError> {
    begin_move_with::<ProductionRules>(table, service, scope, to)
}

/// Same as [`begin_move`], with the given rules. Used by the model check.
///
/// # Errors
///
/// As [`begin_move`].
pub fn begin_move_with<R: ProtocolRules>(
    table: &Table,
    service: &ServiceName,
    scope: Scope,
    to: &ServerName,
) -> Result<Commit, MoveError> {
    let row = service_row(table, service)?;
    check_target(table, service, to)?;
    check_shard(row, scope)?;
    let writes = match assignment(table, service, scope) {
        Some(found) => {
            let new = release::<R>(service, scope, found.value, to)?;
            vec![assignment_write(table, service, scope, found.version, new)]
        }
        None => match scope {
            Scope::Shard(shard) => vec![assign(table, service, shard, to)?],
            Scope::Key(key) => {
                extract_key::<R>(table, service, row.shard_bits.shard_of(key), scope, to)?
            }
        },
    };
    Ok(Commit {
        writes,
        history: None,
    })
}

fn service_row<'a>(table: &'a Table, service: &ServiceName) -> Result<&'a ServiceRow, MoveError> {
    let unknown = || MoveError::UnknownService {
        service: service.clone(),
    };
    table.service(service).ok_or_else(unknown)
}

fn check_target(table: &Table, service: &ServiceName, to: &ServerName) -> Result<(), MoveError> {
    let server = to.clone();
    let Some(row) = table.server(to) else {
        return Err(MoveError::UnknownServer { server });
    };
    if row.service != *service {
        return Err(MoveError::WrongService {
            server,
            found: row.service.clone(),
            service: service.clone(),
        });
    }
    if row.state != ServerState::Active {
        let state = row.state;
        return Err(MoveError::NotActive { server, state });
    }
    Ok(())
}

fn check_shard(row: &ServiceRow, scope: Scope) -> Result<(), MoveError> {
    let last = row.shard_bits.shard_count() - 1;
    match scope {
        Scope::Shard(shard) if shard.0 > last => Err(MoveError::UnknownShard {
            service: row.name.clone(),
            scope,
            last,
        }),
        _ => Ok(()),
    }
}

fn release<R: ProtocolRules>(
    service: &ServiceName,
    scope: Scope,
    old: Assignment,
    to: &ServerName,
) -> Result<Assignment, MoveError> {
    if let Phase::Releasing { to } = old.phase {
        return Err(MoveError::AlreadyMoving {
            service: service.clone(),
            scope,
            to,
        });
    }
    if old.owner == *to {
        let server = to.clone();
        return Err(MoveError::AlreadyOwner { server, scope });
    }
    Ok(Assignment {
        owner: old.owner,
        epoch: R::release_epoch(old.epoch),
        phase: Phase::Releasing { to: to.clone() },
    })
}

fn assign(
    table: &Table,
    service: &ServiceName,
    shard: ShardId,
    to: &ServerName,
) -> Result<Write, MoveError> {
    let key = row_key(service, Scope::Shard(shard));
    let first = BlockId::from_shard(shard).first_shard().0;
    let assigned = match table.get(&key).map(|found| &found.value) {
        Some(Row::Block(row)) => row.shards.len() as u32,
        _ => 0,
    };
    let next = first + assigned;
    if shard.0 != next {
        return Err(MoveError::Unowned {
            service: service.clone(),
            scope: Scope::Shard(shard),
            next,
        });
    }
    // Higher than every epoch of a deleted service of the same name, as each change of
    // owner takes a commit and so raises the revision.
    let epoch = Epoch(table.revision().0 + 1);
    let new = Assignment::owned(to.clone(), epoch);
    let scope = Scope::Shard(shard);
    let expect = row_version(table, &key);
    Ok(assignment_write(table, service, scope, expect, new))
}

fn extract_key<R: ProtocolRules>(
    table: &Table,
    service: &ServiceName,
    shard: ShardId,
    scope: Scope,
    to: &ServerName,
) -> Result<Vec<Write>, MoveError> {
    let shard_scope = Scope::Shard(shard);
    let Some(found) = assignment(table, service, shard_scope) else {
        return Err(MoveError::Unowned {
            service: service.clone(),
            scope,
            next: shard.0,
        });
    };
    let key_assignment = release::<R>(service, scope, found.value.clone(), to)?;
    let mut shard_assignment = found.value;
    shard_assignment.epoch = R::release_epoch(shard_assignment.epoch);
    Ok(vec![
        assignment_write(
            table,
            service,
            scope,
            crate::id::Revision(0),
            key_assignment,
        ),
        assignment_write(table, service, shard_scope, found.version, shard_assignment),
    ])
}
