//! What instances tell each other several times a second.

mod byte_budget;
mod crashes;
mod datagram;
mod load;
mod message;
mod moves;

pub use {
    crashes::CrashesWire,
    datagram::{Datagram, KeysWire, MAX_DATAGRAM_BYTES},
    load::LoadWire,
    message::Heartbeat,
    moves::{MoveWire, MovesWire},
};
