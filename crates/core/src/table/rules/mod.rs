//! Validation rules for the rows that operators write.

mod server;
mod service;

use {
    super::{
        DomainRow, DomainState, Row, RowEdit, RowKey, ServerRow, ServiceRow, TableError,
        edited::EditedTable,
    },
    std::ops::RangeInclusive,
};

/// Longest name of an edit's author, in bytes.
const MAX_AUTHOR_BYTES: usize = 128;

/// Validates one row of an edit against the whole table as it would be after the edit.
pub(super) fn check(
    edit: &RowEdit,
    author: &str,
    edited: &EditedTable<'_>,
) -> Result<(), TableError> {
    let rules = Rules {
        key: &edit.key,
        edited,
    };
    if author.is_empty() || author.len() > MAX_AUTHOR_BYTES || author.chars().any(char::is_control)
    {
        return rules.reject("by", author, "1 to 128 bytes without control characters");
    }
    if let RowKey::Block(..) | RowKey::Override(..) | RowKey::Instance(_) = edit.key {
        return rules.reject("kind", "a system row", "service, server, domain");
    }
    let Some(row) = &edit.row else {
        return rules.check_delete();
    };
    if row.key() != edit.key {
        return rules.reject("key", &row.key().to_string(), "the key of the row itself");
    }
    match row {
        Row::Service(row) => rules.check_service(row),
        Row::Server(row) => rules.check_server(row),
        Row::Domain(row) => rules.check_domain(row, author),
        Row::Instance(_) | Row::Block(_) | Row::Override(_) => Ok(()),
    }
}

/// An error that names the row, the field, its value and the values allowed.
pub(super) fn invalid(key: &RowKey, field: &str, found: &str, allowed: &str) -> TableError {
    TableError::Invalid {
        key: key.clone(),
        field: field.to_string(),
        found: found.to_string(),
        allowed: allowed.to_string(),
    }
}

struct Rules<'a> {
    key: &'a RowKey,
    edited: &'a EditedTable<'a>,
}

impl Rules<'_> {
    fn reject(&self, field: &str, found: &str, allowed: &str) -> Result<(), TableError> {
        Err(invalid(self.key, field, found, allowed))
    }

    fn check_range<T>(
        &self,
        field: &str,
        found: T,
        range: RangeInclusive<T>,
    ) -> Result<(), TableError>
    where
        T: PartialOrd + ToString,
    {
        if range.contains(&found) {
            return Ok(());
        }
        let allowed = format!(
            "{} to {}",
            range.start().to_string(),
            range.end().to_string()
        );
        self.reject(field, &found.to_string(), &allowed)
    }

    fn check_delete(&self) -> Result<(), TableError> {
        match self.edited.before(self.key) {
            Some(Row::Service(row)) => self.check_delete_service(row),
            Some(Row::Server(row)) => self.check_delete_server(row),
            Some(Row::Domain(row)) => self.check_delete_domain(row),
            _ => self.reject("key", "no such row", "an existing row"),
        }
    }

    fn check_delete_service(&self, row: &ServiceRow) -> Result<(), TableError> {
        match self.edited.servers(&row.name).first() {
            None => Ok(()),
            Some(server) => {
                let found = format!("still used by server/{}", server.name);
                self.reject("name", &found, "no servers, or all deleted in this edit")
            }
        }
    }

    fn check_delete_server(&self, row: &ServerRow) -> Result<(), TableError> {
        let service_remains = self.edited.service(&row.service).is_some();
        if service_remains && self.edited.owns(&row.name) {
            return self.reject(
                "name",
                "the owner of shards",
                "a server that owns none: drain it",
            );
        }
        self.check_active_server_remains(row)
    }

    fn check_delete_domain(&self, row: &DomainRow) -> Result<(), TableError> {
        let user = self.edited.rows().find(|other| match other {
            Row::Server(server) => server.domain == row.name,
            Row::Instance(instance) => instance.domain == row.name,
            _ => false,
        });
        match user {
            None => Ok(()),
            Some(user) => {
                let found = format!("still used by {}", user.key());
                self.reject("name", &found, "no servers and no instances")
            }
        }
    }

    fn check_domain(&self, row: &DomainRow, author: &str) -> Result<(), TableError> {
        let before = match self.edited.before(self.key) {
            Some(Row::Domain(before)) => Some(before),
            _ => None,
        };
        let confirmers = before.map_or(&[][..], |before| &before.confirmers);
        if row.confirmers != confirmers {
            return self.reject(
                "confirmers",
                "changed",
                "unchanged: the system maintains them",
            );
        }
        let is_unchanged = before.is_some_and(|before| before.state == row.state);
        match &row.state {
            // The declaration ends a wait that protects the keys' exclusive ownership, so
            // the row must name the author who is responsible for it.
            DomainState::Lost { declared_by } if !is_unchanged && declared_by != author => {
                self.reject("lost_by", declared_by, "the author of the edit")
            }
            _ => Ok(()),
        }
    }
}
