//! JSON of the rows that assign shards and keys to backend servers.

use {
    crate::{WireError, error::parse_field},
    citron_core::{
        id::Epoch,
        ownership::{Assignment, Phase},
        table::{BlockId, BlockRow, OverrideRow},
    },
    serde::{Deserialize, Serialize},
};

/// Assignment of a shard or key to a server; `to` is present while the owner releases it.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AssignmentWire {
    /// Name of the owner.
    pub owner: String,
    /// Fencing token of the owner.
    pub epoch: u64,
    /// Name of the next owner.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub to: Option<String>,
}

impl From<&Assignment> for AssignmentWire {
    fn from(core: &Assignment) -> Self {
        let to = match &core.phase {
            Phase::Owned => None,
            Phase::Releasing { to } => Some(to.to_string()),
        };
        Self {
            owner: core.owner.to_string(),
            epoch: core.epoch.0,
            to,
        }
    }
}

impl TryFrom<AssignmentWire> for Assignment {
    type Error = WireError;

    fn try_from(wire: AssignmentWire) -> Result<Self, WireError> {
        let phase = match &wire.to {
            None => Phase::Owned,
            Some(to) => Phase::Releasing {
                to: parse_field("to", to)?,
            },
        };
        Ok(Self {
            owner: parse_field("owner", &wire.owner)?,
            epoch: Epoch(wire.epoch),
            phase,
        })
    }
}

/// Assignments of a block of consecutive shards.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BlockWire {
    /// Name of the service.
    pub service: String,
    /// Number of the block.
    pub block: u32,
    /// One assignment per shard.
    pub shards: Vec<AssignmentWire>,
}

impl From<&BlockRow> for BlockWire {
    fn from(core: &BlockRow) -> Self {
        Self {
            service: core.service.to_string(),
            block: core.block.0,
            shards: core.shards.iter().map(AssignmentWire::from).collect(),
        }
    }
}

impl TryFrom<BlockWire> for BlockRow {
    type Error = WireError;

    fn try_from(wire: BlockWire) -> Result<Self, WireError> {
        let shards = wire.shards.into_iter().map(Assignment::try_from);
        Ok(Self {
            service: parse_field("service", &wire.service)?,
            block: BlockId(wire.block),
            shards: shards.collect::<Result<_, _>>()?,
        })
    }
}

/// Assignment of a single key, which overrides that of its shard.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OverrideWire {
    /// Name of the service.
    pub service: String,
    /// Hash of the key, 16 hexadecimal digits.
    pub key: String,
    /// Assignment of the key.
    pub owner: AssignmentWire,
}

impl From<&OverrideRow> for OverrideWire {
    fn from(core: &OverrideRow) -> Self {
        Self {
            service: core.service.to_string(),
            key: core.key.to_string(),
            owner: AssignmentWire::from(&core.owner),
        }
    }
}

impl TryFrom<OverrideWire> for OverrideRow {
    type Error = WireError;

    fn try_from(wire: OverrideWire) -> Result<Self, WireError> {
        Ok(Self {
            service: parse_field("service", &wire.service)?,
            key: parse_field("key", &wire.key)?,
            owner: wire.owner.try_into()?,
        })
    }
}
