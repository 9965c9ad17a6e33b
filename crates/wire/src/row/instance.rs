//! JSON of instance rows.

use {
    crate::{WireError, error::parse_field},
    citron_core::{
        id::{Incarnation, Revision},
        table::{InstanceRow, InstanceState},
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// One incarnation of an instance.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceWire {
    /// Name of the instance.
    pub id: String,
    /// Incarnation number, which differs between process starts.
    pub incarnation: u64,
    /// Failure domain of the instance.
    pub domain: String,
    /// Address for requests of callers.
    pub traffic: SocketAddr,
    /// Address for calls of other instances.
    pub peer: SocketAddr,
    /// Address of the admin API.
    pub admin: SocketAddr,
    /// Whether the instance is shutting down.
    pub leaving: bool,
    /// Whether other instances have expelled it.
    #[serde(default)]
    pub expelled: bool,
    /// Revision in force at the instance when the row was written.
    pub revision: u64,
}

impl From<&InstanceRow> for InstanceWire {
    fn from(core: &InstanceRow) -> Self {
        Self {
            id: core.id.to_string(),
            incarnation: core.incarnation.0,
            domain: core.domain.to_string(),
            traffic: core.traffic_address,
            peer: core.peer_address,
            admin: core.admin_address,
            leaving: core.state == InstanceState::Leaving,
            expelled: core.state == InstanceState::Expelled,
            revision: core.revision.0,
        }
    }
}

impl TryFrom<InstanceWire> for InstanceRow {
    type Error = WireError;

    fn try_from(wire: InstanceWire) -> Result<Self, WireError> {
        let state = match (wire.leaving, wire.expelled) {
            (_, true) => InstanceState::Expelled,
            (true, false) => InstanceState::Leaving,
            (false, false) => InstanceState::Live,
        };
        Ok(Self {
            id: parse_field("id", &wire.id)?,
            incarnation: Incarnation(wire.incarnation),
            domain: parse_field("domain", &wire.domain)?,
            traffic_address: wire.traffic,
            peer_address: wire.peer,
            admin_address: wire.admin,
            state,
            revision: Revision(wire.revision),
        })
    }
}
