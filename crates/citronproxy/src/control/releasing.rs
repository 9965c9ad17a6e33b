//! Scopes that the table shows as releasing.

use {
    super::ScopeKey,
    citron_core::{
        id::{Revision, ShardId},
        ownership::{Phase, Scope},
        table::{Row, Table},
    },
    std::collections::BTreeSet,
};

/// The scopes that are releasing in one revision of the table.
///
/// They are computed once per revision, because that visits every assignment, and moves
/// are stepped many times between two revisions.
#[derive(Debug, Default)]
pub struct ReleasingScopes {
    revision: Option<Revision>,
    scopes: BTreeSet<ScopeKey>,
}

impl ReleasingScopes {
    /// Recomputes the scopes if the table has a newer revision.
    pub fn refresh(&mut self, table: &Table) {
        if self.revision == Some(table.revision()) {
            return;
        }
        self.revision = Some(table.revision());
        self.scopes = find_releasing(table);
    }

    /// All releasing scopes.
    pub fn scopes(&self) -> &BTreeSet<ScopeKey> {
        &self.scopes
    }
}

fn find_releasing(table: &Table) -> BTreeSet<ScopeKey> {
    let mut keys = BTreeSet::new();
    for (_, row) in table.rows() {
        match &row.value {
            Row::Block(block) => {
                let first = block.block.first_shard().0;
                for (shard, owner) in (first..).zip(&block.shards) {
                    if matches!(owner.phase, Phase::Releasing { .. }) {
                        let scope = Scope::Shard(ShardId(shard));
                        keys.insert((block.service.clone(), scope));
                    }
                }
            }
            Row::Override(key) if !key.owner.is_routable() => {
                keys.insert((key.service.clone(), Scope::Key(key.key)));
            }
            _ => {}
        }
    }
    keys
}
