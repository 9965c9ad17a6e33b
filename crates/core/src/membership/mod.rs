//! Which instances there are, and until when each may route.

mod error;
mod instances;
mod member;
mod relayed_leases;
mod report;
mod routing_lease;
mod status;

pub use {
    error::JoinError,
    instances::{Roster, longest_leave},
    member::Member,
    relayed_leases::Relays,
    report::InstanceReport,
    routing_lease::{Confirmation, Remaining},
    status::InstanceStatus,
};
