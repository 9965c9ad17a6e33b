//! What one datagram carries.

use {
    super::{Heartbeat, MovesWire},
    serde::{Deserialize, Serialize},
};

/// The largest datagram sent: below what a link carries in one piece.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// A datagram between instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// A heartbeat.
    Heartbeat(Heartbeat),
    /// Keys that callers asked for, to the planner.
    Keys(Vec<KeysWire>),
    /// Keys on their way, from the planner.
    Moves(MovesWire),
}

/// Keys of one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeysWire {
    /// The service.
    pub service: String,
    /// A key for each request.
    pub keys: Vec<u16>,
}

impl Datagram {
    /// As bytes; `None` if it does not fit into one datagram.
    pub fn encode(&self) -> Option<Vec<u8>> {
        let bytes = postcard::to_stdvec(self).ok()?;
        (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
    }

    /// From bytes; `None` if they are not understood.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
