//! Orders and answers.

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

/// Reads a scope as [`Scope`] displays it.
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

/// One grant.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrantWire {
    /// The service's name.
    pub service: String,
    /// `shard:NUMBER` or `key:HASH`.
    pub scope: String,
    /// The fencing token.
    pub epoch: u64,
    /// Whether it takes instead of giving.
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

/// A lease on the server's own clock.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseWire {
    /// The server's start.
    pub boot: u64,
    /// The end, in microseconds since the origin of the server's clock.
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

/// What a server is told. Without grants and lease it only tells its clock.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrantOrderWire {
    /// The start that the order is meant for; any, if absent. A server of
    /// another start refuses all of it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub boot: Option<u64>,
    /// The grants.
    #[serde(default)]
    pub grants: Vec<GrantWire>,
    /// The new end of the lease, if it is to be extended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<LeaseWire>,
}

/// What a server makes of one grant.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrantResultWire {
    /// Whether it is in force.
    pub accepted: bool,
    /// The highest epoch the server has seen of the scope.
    pub seen: u64,
}

/// A server's answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrantReplyWire {
    /// The server's start.
    pub boot: u64,
    /// Its clock, in microseconds since its origin.
    pub clock_us: u64,
    /// One result a grant.
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
