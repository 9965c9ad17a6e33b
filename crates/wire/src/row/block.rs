//! Ownership rows as JSON.

use {
    crate::{WireError, error::parse_field},
    citron_core::{
        id::Epoch,
        ownership::{Assignment, Phase},
        table::{BlockId, BlockRow, OverrideRow},
    },
    serde::{Deserialize, Serialize},
};

/// An assignment; `to` is there while the shard is being released.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AssignmentWire {
    /// The owner's name.
    pub owner: String,
    /// The fencing token.
    pub epoch: u64,
    /// The next owner's name.
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

/// A run of shards.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BlockWire {
    /// The service's name.
    pub service: String,
    /// The block's number.
    pub block: u32,
    /// One assignment a shard.
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

/// A key taken out of its shard.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OverrideWire {
    /// The service's name.
    pub service: String,
    /// The key's hash, 16 hexadecimal digits.
    pub key: String,
    /// Its owner.
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
