//! Moves of keys, as announced by the planner.

use {
    citron_core::{
        id::Epoch,
        ranges::{KeyRange, MoveNotice, OwnerHint, RangeKey},
    },
    serde::{Deserialize, Serialize},
};

/// Moves of one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MovesWire {
    /// Name of the service.
    pub service: String,
    /// The moves.
    pub moves: Vec<MoveWire>,
}

/// First and last key, epoch, and new owner; no owner while the previous one releases the
/// keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MoveWire(u16, u16, u64, Option<String>);

impl From<MoveNotice> for MoveWire {
    fn from(notice: MoveNotice) -> Self {
        let owner = match notice.hint {
            OwnerHint::Released => None,
            OwnerHint::Owned(server) => Some(server.to_string()),
        };
        let KeyRange { first, last } = notice.range;
        Self(first.0, last.0, notice.epoch.0, owner)
    }
}

impl TryFrom<MoveWire> for MoveNotice {
    type Error = String;

    fn try_from(MoveWire(first, last, epoch, owner): MoveWire) -> Result<Self, String> {
        let range = KeyRange::new(RangeKey(first), RangeKey(last));
        let hint = match owner {
            None => OwnerHint::Released,
            Some(name) => {
                let server = name.parse().map_err(|_| format!("owner '{name}'"))?;
                OwnerHint::Owned(server)
            }
        };
        Ok(Self {
            range: range.map_err(|error| error.to_string())?,
            epoch: Epoch(epoch),
            hint,
        })
    }
}
