//! Messages of the calls between instances. The schema is `schema/peer.capnp`, its generated
//! code [`crate::peer_capnp`].

mod changes;
mod report;
mod requests;
mod status;

pub use {
    changes::{read_changes, write_changes},
    report::{read_report, write_report},
    requests::{AcknowledgeRequest, AcknowledgeResponse, Asker},
    status::{read_status, write_status},
};
