//! JSON of a row of any kind.

use {
    super::{BlockWire, DomainWire, InstanceWire, OverrideWire, ServerWire, ServiceWire},
    crate::WireError,
    citron_core::table::Row,
    serde::{Deserialize, Serialize},
};

/// A row of the table. The field `kind` identifies the variant.
///
/// ```
/// use {citron_core::table::Row, citron_wire::row::RowWire};
/// let json = r#"{"kind": "domain", "name": "harbour"}"#;
/// let wire: RowWire = serde_json::from_str(json).unwrap();
/// let row = Row::try_from(wire).unwrap();
/// assert_eq!(row.key().to_string(), "domain/harbour");
/// ```
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "lowercase")]
pub enum RowWire {
    /// A service.
    Service(ServiceWire),
    /// A backend server.
    Server(ServerWire),
    /// A failure domain.
    Domain(DomainWire),
    /// An instance.
    Instance(InstanceWire),
    /// Assignments of a block of shards.
    Block(BlockWire),
    /// Assignment of a single key.
    Override(OverrideWire),
}

impl From<&Row> for RowWire {
    fn from(core: &Row) -> Self {
        match core {
            Row::Service(row) => Self::Service(row.into()),
            Row::Server(row) => Self::Server(row.into()),
            Row::Domain(row) => Self::Domain(row.into()),
            Row::Instance(row) => Self::Instance(row.into()),
            Row::Block(row) => Self::Block(row.into()),
            Row::Override(row) => Self::Override(row.into()),
        }
    }
}

impl TryFrom<RowWire> for Row {
    type Error = WireError;

    fn try_from(wire: RowWire) -> Result<Self, WireError> {
        Ok(match wire {
            RowWire::Service(row) => Self::Service(row.try_into()?),
            RowWire::Server(row) => Self::Server(row.try_into()?),
            RowWire::Domain(row) => Self::Domain(row.try_into()?),
            RowWire::Instance(row) => Self::Instance(row.try_into()?),
            RowWire::Block(row) => Self::Block(row.try_into()?),
            RowWire::Override(row) => Self::Override(row.try_into()?),
        })
    }
}
