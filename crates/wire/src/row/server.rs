//! JSON of backend server rows.

use {
    crate::{
        WireError,
        error::{invalid_value, parse_field},
    },
    citron_core::{
        id::{Slots, Weight},
        table::{Fencing, ServerRow, ServerState},
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// A backend server.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerWire {
    /// Name of the server.
    pub name: String,
    /// Name of the service that the server belongs to.
    pub service: String,
    /// Failure domain of the server.
    pub domain: String,
    /// Address for requests.
    pub address: SocketAddr,
    /// Relative share of the load, 0 to 10000.
    pub weight: u32,
    /// Rate limit, in requests per second.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cap: Option<u32>,
    /// Largest number of requests that the server runs concurrently.
    pub slots: u32,
    /// Largest number of connections to the server.
    pub connections: u32,
    /// Whether the server verifies fencing tokens.
    pub fenced: bool,
    /// `active`, `draining` or `retired`.
    pub state: String,
}

impl From<&ServerRow> for ServerWire {
    fn from(core: &ServerRow) -> Self {
        let state = match core.state {
            ServerState::Active => "active",
            ServerState::Draining => "draining",
            ServerState::Retired => "retired",
        };
        Self {
            name: core.name.to_string(),
            service: core.service.to_string(),
            domain: core.domain.to_string(),
            address: core.address,
            weight: core.weight.0,
            cap: core.rate_cap,
            slots: core.slots.0,
            connections: core.max_connections,
            fenced: core.fencing == Fencing::Checked,
            state: state.to_string(),
        }
    }
}

impl TryFrom<ServerWire> for ServerRow {
    type Error = WireError;

    fn try_from(wire: ServerWire) -> Result<Self, WireError> {
        let state = match wire.state.as_str() {
            "active" => ServerState::Active,
            "draining" => ServerState::Draining,
            "retired" => ServerState::Retired,
            other => return Err(invalid_value("state", other, "active, draining, retired")),
        };
        let fencing = match wire.fenced {
            true => Fencing::Checked,
            false => Fencing::Unchecked,
        };
        let weight: Weight = parse_field("weight", &wire.weight.to_string())?;
        let slots: Slots = parse_field("slots", &wire.slots.to_string())?;
        Ok(Self {
            name: parse_field("name", &wire.name)?,
            service: parse_field("service", &wire.service)?,
            domain: parse_field("domain", &wire.domain)?,
            address: wire.address,
            weight,
            rate_cap: wire.cap,
            slots,
            max_connections: wire.connections,
            fencing,
            state,
        })
    }
}
