//! Rows of one kind.

use {
    super::{DomainRow, InstanceRow, Row, RowKey, ServerRow, ServiceRow, Table},
    crate::id::{DomainName, InstanceId, ServerName, ServiceName},
};

/// Rows of one kind, by name or all of them in the order of their names.
///
/// ```
/// use citron_core::table::Table;
/// let table = Table::default();
/// assert_eq!(table.servers().count(), 0);
/// assert!(table.service(&"balances".parse().unwrap()).is_none());
/// ```
impl Table {
    /// A service.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceRow> {
        match &self.get(&RowKey::Service(name.clone()))?.value {
            Row::Service(row) => Some(row),
            _ => None,
        }
    }

    /// A backend server.
    pub fn server(&self, name: &ServerName) -> Option<&ServerRow> {
        match &self.get(&RowKey::Server(name.clone()))?.value {
            Row::Server(row) => Some(row),
            _ => None,
        }
    }

    /// A failure domain.
    pub fn domain(&self, name: &DomainName) -> Option<&DomainRow> {
        match &self.get(&RowKey::Domain(name.clone()))?.value {
            Row::Domain(row) => Some(row),
            _ => None,
        }
    }

    /// An instance.
    pub fn instance(&self, id: &InstanceId) -> Option<&InstanceRow> {
        match &self.get(&RowKey::Instance(id.clone()))?.value {
            Row::Instance(row) => Some(row),
            _ => None,
        }
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceRow> {
        self.rows().filter_map(|(_, row)| match &row.value {
            Row::Service(row) => Some(row),
            _ => None,
        })
    }

    /// All backend servers.
    pub fn servers(&self) -> impl Iterator<Item = &ServerRow> {
        self.rows().filter_map(|(_, row)| match &row.value {
            Row::Server(row) => Some(row),
            _ => None,
        })
    }

    /// All instances.
    pub fn instances(&self) -> impl Iterator<Item = &InstanceRow> {
        self.rows().filter_map(|(_, row)| match &row.value {
            Row::Instance(row) => Some(row),
            _ => None,
        })
    }
}
