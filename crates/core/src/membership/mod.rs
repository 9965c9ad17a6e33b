//! Membership of instances, and the routing leases that limit until when each may route.

mod error;
mod instances;
mod member;
mod relayed_leases;
mod report;
mod routing_lease;
mod status;

pub use {
    error::JoinError,
    instances::{Membership, longest_lease},
    member::Member,
    relayed_leases::RelayedLeases,
    report::InstanceReport,
    routing_lease::{RemainingLease, RoutingLease},
    status::InstanceStatus,
};
