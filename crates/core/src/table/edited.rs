//! The table as it would be after an edit, on which the rules operate.

use {
    super::{
        Check, DomainRow, Row, RowEdit, RowKey, ServerRow, ServerState, ServiceRow, Table,
        Versioned,
    },
    crate::{
        id::{DomainName, Revision, ServerName, ServiceName},
        ownership::Assignment,
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// A table overlaid with the changes of an edit.
pub(super) struct EditedTable<'a> {
    table: &'a Table,
    edits: BTreeMap<&'a RowKey, Option<&'a Row>>,
    owners: BTreeSet<&'a ServerName>,
}

impl<'a> EditedTable<'a> {
    pub(super) fn new(table: &'a Table, edits: &'a [RowEdit]) -> Self {
        let mut owners = BTreeSet::new();
        for (_, row) in table.rows() {
            owners.extend(row.value.assignments().iter().flat_map(owner_names));
        }
        let edits = edits.iter().map(|edit| (&edit.key, edit.row.as_ref()));
        Self {
            table,
            edits: edits.collect(),
            owners,
        }
    }

    pub(super) fn revision(&self) -> Revision {
        self.table.revision()
    }

    /// The row before the edit.
    pub(super) fn before(&self, key: &RowKey) -> Option<&'a Row> {
        Some(&self.table.get(key)?.value)
    }

    fn after(&self, key: &RowKey) -> Option<&'a Row> {
        match self.edits.get(key) {
            Some(row) => *row,
            None => self.before(key),
        }
    }

    /// All rows after the edit.
    pub(super) fn rows(&self) -> impl Iterator<Item = &'a Row> {
        let unchanged = self.table.rows();
        let unchanged = unchanged.filter(|(key, _)| !self.edits.contains_key(key));
        let edited = self.edits.values().filter_map(|row| *row);
        unchanged.map(|(_, row)| &row.value).chain(edited)
    }

    pub(super) fn service(&self, name: &ServiceName) -> Option<&'a ServiceRow> {
        match self.after(&RowKey::Service(name.clone()))? {
            Row::Service(row) => Some(row),
            _ => None,
        }
    }

    pub(super) fn domain(&self, name: &DomainName) -> Option<&'a DomainRow> {
        match self.after(&RowKey::Domain(name.clone()))? {
            Row::Domain(row) => Some(row),
            _ => None,
        }
    }

    /// All servers of a service after the edit, ordered by name.
    pub(super) fn servers(&self, service: &ServiceName) -> Vec<&'a ServerRow> {
        let servers = self.rows().filter_map(|row| match row {
            Row::Server(row) if row.service == *service => Some(row),
            _ => None,
        });
        let mut servers: Vec<_> = servers.collect();
        servers.sort_by(|a, b| a.name.cmp(&b.name));
        servers
    }

    /// Servers that may own shards after the edit.
    pub(super) fn active_servers(&self, service: &ServiceName) -> Vec<&'a ServerRow> {
        let mut servers = self.servers(service);
        servers.retain(|row| row.state == ServerState::Active && row.weight.0 > 0);
        servers
    }

    /// Whether the server is the current or next owner of a shard or key.
    pub(super) fn owns(&self, server: &ServerName) -> bool {
        self.owners.contains(server)
    }

    /// The blocks and overrides of a service.
    pub(super) fn assignment_rows(
        &self,
        service: &ServiceName,
    ) -> BTreeMap<&'a RowKey, &'a Versioned<Row>> {
        let rows = self.table.rows().filter(|(key, _)| match key {
            RowKey::Block(name, _) | RowKey::Override(name, _) => name == service,
            _ => false,
        });
        rows.collect()
    }

    /// Preconditions on the rows that the rules depend on and that the edit does not
    /// write.
    pub(super) fn checks(&self, edits: &[RowEdit]) -> Vec<Check> {
        let mut keys = BTreeSet::new();
        for edit in edits {
            let rows = [edit.row.as_ref(), self.before(&edit.key)];
            for row in rows.into_iter().flatten() {
                self.add_dependencies(row, &mut keys);
            }
        }
        let unchanged = keys.into_iter().filter(|key| !self.edits.contains_key(key));
        let checks = unchanged.filter_map(|key| {
            let expect = self.table.get(&key)?.version;
            Some(Check { key, expect })
        });
        checks.collect()
    }

    fn add_dependencies(&self, row: &Row, keys: &mut BTreeSet<RowKey>) {
        let Row::Server(row) = row else { return };
        keys.insert(RowKey::Service(row.service.clone()));
        keys.insert(RowKey::Domain(row.domain.clone()));
        // One remaining active server is enough to satisfy the rule that a service keeps
        // an active server.
        let active = self.active_servers(&row.service);
        let is_edited =
            |row: &&&ServerRow| self.edits.contains_key(&RowKey::Server(row.name.clone()));
        if active.iter().any(|row| is_edited(&row)) {
            return;
        }
        keys.extend(active.first().map(|row| RowKey::Server(row.name.clone())));
    }
}

/// The names of the current and the next owner.
fn owner_names(assignment: &Assignment) -> [&ServerName; 2] {
    [&assignment.owner, assignment.next_owner()]
}
