//! Datagrams between instances, most of which are heartbeats sent several times per second.

mod byte_budget;
mod crashes;
mod datagram;
mod load;
mod message;
mod moves;
mod permits;
mod slots;
mod statements;

pub use {
    crashes::CrashesWire,
    datagram::{Datagram, KeysWire, MAX_DATAGRAM_BYTES},
    load::LoadWire,
    message::{Heartbeat, ReachWire},
    moves::{MoveWire, MovesWire},
    permits::{PermitAnswerWire, PermitRequestWire},
    slots::{SlotAnswerWire, SlotReleaseWire, SlotRequestWire, SlotWireError},
    statements::{LeavingWire, LimitWire, StatementsWire},
};
