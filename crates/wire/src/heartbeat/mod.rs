//! What instances tell each other several times a second.

mod byte_budget;
mod crashes;
mod datagram;
mod load;
mod message;
mod moves;

pub use {
    crashes::CrashesWire,
    datagram::{DATAGRAM_MAX, Datagram, KeysWire},
    load::LoadWire,
    message::Heartbeat,
    moves::{MoveWire, MovesWire},
};
