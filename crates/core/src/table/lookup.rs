//! Lookup of rows by kind.

use {
    super::{DomainRow, InstanceRow, Row, RowKey, ServerRow, ServiceRow, Table},
    crate::id::{DomainName, InstanceId, ServerName, ServiceName},
};

/// Typed access to rows: one by name, or all rows of a kind ordered by name.
///
/// ```
/// use citron_core::table::Table;
/// let table = Table::default();
/// assert_eq!(table.servers().count(), 0);
/// assert!(table.service(&"balances".parse().unwrap()).is_none());
/// ```
impl Table {
    /// The service of this name.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceRow> {
        match &self.get(&RowKey::Service(name.clone()))?.value {
            Row::Service(row) => Some(row),
            _ => None,
        }
    }

    /// The backend server of this name.
    pub fn server(&self, name: &ServerName) -> Option<&ServerRow> {
        match &self.get(&RowKey::Server(name.clone()))?.value {
            Row::Server(row) => Some(row),
            _ => None,
        }
    }

    /// The failure domain of this name.
    pub fn domain(&self, name: &DomainName) -> Option<&DomainRow> {
        match &self.get(&RowKey::Domain(name.clone()))?.value {
            Row::Domain(row) => Some(row),
            _ => None,
        }
    }

    /// The instance of this name.
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
