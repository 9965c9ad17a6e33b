//! Calls between instances: `schema/peer.capnp`, whose generated code is
//! [`crate::peer_capnp`].

mod ask;
mod changes;
mod report;
mod status;

pub use {
    ask::{AckAnswer, AckAsk, Asker},
    changes::{read_changes, write_changes},
    report::{read_report, write_report},
    status::{read_status, write_status},
};
