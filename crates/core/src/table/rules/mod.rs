//! What rows an operator may write.

mod server;
mod service;

use {
    super::{
        DomainRow, DomainState, Row, RowEdit, RowKey, ServerRow, ServiceRow, TableError,
        edited::View,
    },
    std::ops::RangeInclusive,
};

/// The longest name of who makes an edit, in bytes.
const MAX_BY: usize = 128;

/// Checks one row of an edit against the whole table as it would be.
pub(super) fn check(edit: &RowEdit, by: &str, view: &View<'_>) -> Result<(), TableError> {
    let rules = Rules {
        key: &edit.key,
        view,
    };
    if by.is_empty() || by.len() > MAX_BY || by.chars().any(char::is_control) {
        return rules.broken("by", by, "1 to 128 bytes without control characters");
    }
    if let RowKey::Block(..) | RowKey::Override(..) | RowKey::Instance(_) = edit.key {
        return rules.broken("kind", "a row of the system", "service, server, domain");
    }
    let Some(row) = &edit.row else {
        return rules.delete();
    };
    if row.key() != edit.key {
        return rules.broken("key", &row.key().to_string(), "the key of the row itself");
    }
    match row {
        Row::Service(row) => rules.service(row),
        Row::Server(row) => rules.server(row),
        Row::Domain(row) => rules.domain(row, by),
        Row::Instance(_) | Row::Block(_) | Row::Override(_) => Ok(()),
    }
}

/// An error that names the row, the field, what it holds and what it may hold.
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
    view: &'a View<'a>,
}

impl Rules<'_> {
    fn broken(&self, field: &str, found: &str, allowed: &str) -> Result<(), TableError> {
        Err(invalid(self.key, field, found, allowed))
    }

    fn range<T>(&self, field: &str, found: T, range: RangeInclusive<T>) -> Result<(), TableError>
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
        self.broken(field, &found.to_string(), &allowed)
    }

    fn delete(&self) -> Result<(), TableError> {
        match self.view.before(self.key) {
            Some(Row::Service(row)) => self.delete_service(row),
            Some(Row::Server(row)) => self.delete_server(row),
            Some(Row::Domain(row)) => self.delete_domain(row),
            _ => self.broken("key", "no such row", "a row that is there"),
        }
    }

    fn delete_service(&self, row: &ServiceRow) -> Result<(), TableError> {
        match self.view.servers(&row.name).first() {
            None => Ok(()),
            Some(server) => {
                let found = format!("still used by server/{}", server.name);
                self.broken("name", &found, "no servers, or all deleted in this edit")
            }
        }
    }

    fn delete_server(&self, row: &ServerRow) -> Result<(), TableError> {
        let leaves = self.view.service(&row.service).is_some();
        if leaves && self.view.owns(&row.name) {
            return self.broken(
                "name",
                "the owner of shards",
                "a server that owns none: drain it",
            );
        }
        self.keeps_serving(row)
    }

    fn delete_domain(&self, row: &DomainRow) -> Result<(), TableError> {
        let user = self.view.rows().find(|other| match other {
            Row::Server(server) => server.domain == row.name,
            Row::Instance(instance) => instance.domain == row.name,
            _ => false,
        });
        match user {
            None => Ok(()),
            Some(user) => {
                let found = format!("still used by {}", user.key());
                self.broken("name", &found, "no servers and no instances")
            }
        }
    }

    fn domain(&self, row: &DomainRow, by: &str) -> Result<(), TableError> {
        let before = match self.view.before(self.key) {
            Some(Row::Domain(before)) => Some(before),
            _ => None,
        };
        let confirmers = before.map_or(&[][..], |before| &before.confirmers);
        if row.confirmers != confirmers {
            return self.broken(
                "confirmers",
                "changed",
                "as they are: the system keeps them",
            );
        }
        let same = before.is_some_and(|before| before.state == row.state);
        match &row.state {
            // The statement ends a wait that protects the keys, so it must be
            // clear who vouched for it.
            DomainState::Lost { by: said } if !same && said != by => {
                self.broken("lost_by", said, "who makes the edit")
            }
            _ => Ok(()),
        }
    }
}
