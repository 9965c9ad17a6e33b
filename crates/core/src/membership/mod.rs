//! Which instances there are, and until when each may route.

mod confirmation;
mod error;
mod member;
mod relays;
mod report;
mod roster;
mod status;

pub use {
    confirmation::{Confirmation, Remaining},
    error::JoinError,
    member::Member,
    relays::Relays,
    report::InstanceReport,
    roster::{Roster, longest_leave},
    status::InstanceStatus,
};
