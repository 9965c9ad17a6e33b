//! JSON of grant orders and of the replies of backend servers.

use {
    crate::{
        WireError,
        error::{invalid_value, parse_field},
    },
    citron_core::{
        id::Epoch,
        ownership::{BootId, Grant, GrantKind, GrantReply, GrantResult, Scope, ServerLease},
    },
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Parses the text form of a [`Scope`], as its `Display` writes it.
///
/// # Errors
/// [`WireError`] if it is neither `shard:NUMBER` nor `key:HASH`.
pub fn parse_scope(text: &str) -> Result<Scope, WireError> {
    match text.split_once(':') {
        Some(("shard", shard)) => Ok(Scope::Shard(parse_field("scope", shard)?)),
        Some(("key", key)) => Ok(Scope::Key(parse_field("scope", key)?)),
        _ => Err(invalid_value("scope", text, "shard:NUMBER or key:HASH")),
    }
}

/// Grant or revocation of a scope.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrantWire {
    /// Name of the service.
    pub service: String,
    /// Scope, `shard:NUMBER` or `key:HASH`.
    pub scope: String,
    /// Fencing token.
    pub epoch: u64,
    /// Whether this revokes the scope instead of granting it.
    #[serde(default)]
    pub revoke: bool,
}

impl From<&Grant> for GrantWire {
    fn from(core: &Grant) -> Self {
        Self {
            service: core.service.to_string(),
            scope: core.scope.to_string(),
            epoch: core.epoch.0,
            revoke: core.kind == GrantKind::Revoke,
        }
    }
}

impl TryFrom<GrantWire> for Grant {
    type Error = WireError;

    fn try_from(wire: GrantWire) -> Result<Self, WireError> {
        let kind = match wire.revoke {
            true => GrantKind::Revoke,
            false => GrantKind::Own,
        };
        Ok(Self {
            service: parse_field("service", &wire.service)?,
            scope: parse_scope(&wire.scope)?,
            epoch: Epoch(wire.epoch),
            kind,
        })
    }
}

/// A lease whose end is a reading of the server's own clock.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseWire {
    /// Id of the server process.
    pub boot: u64,
    /// End of the lease, in microseconds since the origin of the server's clock.
    pub until_us: u64,
}

impl From<&ServerLease> for LeaseWire {
    fn from(core: &ServerLease) -> Self {
        Self {
            boot: core.boot.0,
            until_us: u64::try_from(core.until.as_micros()).unwrap_or(u64::MAX),
        }
    }
}

impl From<LeaseWire> for ServerLease {
    fn from(wire: LeaseWire) -> Self {
        Self {
            boot: BootId(wire.boot),
            until: Duration::from_micros(wire.until_us),
        }
    }
}

/// Order to a server. An order without grants and lease only reads the server's clock.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrantOrderWire {
    /// Id of the server process that the order is meant for; any process if absent.
    /// Another process rejects the whole order.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub boot: Option<u64>,
    /// Grants and revocations.
    #[serde(default)]
    pub grants: Vec<GrantWire>,
    /// New lease; absent if the lease is not extended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<LeaseWire>,
}

/// Result of one grant at a server.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrantResultWire {
    /// Whether the server has applied the grant.
    pub accepted: bool,
    /// Highest epoch that the server has received for the scope.
    pub seen: u64,
}

/// Reply of a server to an order.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrantReplyWire {
    /// Id of the server process.
    pub boot: u64,
    /// Reading of the server's clock, in microseconds since the clock's origin.
    pub clock_us: u64,
    /// One result per grant, in the order of the grants.
    pub results: Vec<GrantResultWire>,
}

impl From<GrantReplyWire> for GrantReply {
    fn from(wire: GrantReplyWire) -> Self {
        let result = |result: GrantResultWire| match result.accepted {
            true => GrantResult::Accepted,
            false => GrantResult::Stale {
                seen: Epoch(result.seen),
            },
        };
        Self {
            boot: BootId(wire.boot),
            clock: Duration::from_micros(wire.clock_us),
            results: wire.results.into_iter().map(result).collect(),
        }
    }
}
