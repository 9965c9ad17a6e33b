//! Datagrams between instances.

use {
    super::{
        Heartbeat, MovesWire, PermitAnswerWire, PermitRequestWire, SlotAnswerWire, SlotReleaseWire,
        SlotRequestWire, StatementsWire,
    },
    citron_core::slots::SlotMessage,
    serde::{Deserialize, Serialize},
};

/// Largest size of a datagram, in bytes. It is below the usual MTU, so that datagrams are
/// not fragmented.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// A datagram between instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// Heartbeat, sent to all instances.
    Heartbeat(Heartbeat),
    /// Keys of recent requests, sent to the planner.
    Keys(Vec<KeysWire>),
    /// Moves of keys, sent by the planner.
    Moves(MovesWire),
    /// Statements of servers, sent along with heartbeats while there are any.
    Statements(StatementsWire),
    /// Request for a permit, sent to the planner.
    PermitRequest(PermitRequestWire),
    /// Answer to a request for a permit.
    PermitAnswer(PermitAnswerWire),
    /// Request for a slot of a server, sent to its broker.
    SlotRequest(SlotRequestWire),
    /// Answer to a request for a slot.
    SlotAnswer(SlotAnswerWire),
    /// End of a request for a slot, sent to the broker.
    SlotRelease(SlotReleaseWire),
}

impl From<&SlotMessage> for Datagram {
    fn from(message: &SlotMessage) -> Self {
        match message {
            SlotMessage::Request { number, request } => {
                Self::SlotRequest(SlotRequestWire::new(*number, request))
            }
            SlotMessage::Answer { number, answer } => {
                Self::SlotAnswer(SlotAnswerWire::new(*number, *answer))
            }
            SlotMessage::Release { number, outcome } => {
                Self::SlotRelease(SlotReleaseWire::new(*number, outcome))
            }
        }
    }
}

/// Keys of recent requests for one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeysWire {
    /// Name of the service.
    pub service: String,
    /// One key per request.
    pub keys: Vec<u16>,
}

impl Datagram {
    /// Encodes the datagram; `None` if it is larger than [`MAX_DATAGRAM_BYTES`].
    pub fn encode(&self) -> Option<Vec<u8>> {
        let bytes = postcard::to_stdvec(self).ok()?;
        (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
    }

    /// Decodes a datagram; `None` if it is malformed.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
