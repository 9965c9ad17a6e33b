//! Shard ownership: assignments, the protocol that moves a scope between backend servers,
//! and the grants and leases sent to servers that check epochs.

mod assignment;
mod begin_move;
mod error;
mod event;
mod grant;
mod granter;
mod lease_durations;
mod mover;
mod release_wait;
mod rows;
mod rules;
mod scope;

use crate::membership::Member;

pub use {
    assignment::{Assignment, Phase},
    begin_move::{begin_move, begin_move_with},
    error::MoveError,
    event::{Ack, MoveAction, MoveEvent},
    grant::{BootId, Grant, GrantKind, GrantReply, GrantResult, ServerLease},
    granter::{GrantOrder, Granter},
    lease_durations::LeaseDurations,
    mover::Mover,
    rows::{assignment, row_key},
    rules::{ProductionRules, ProtocolRules},
    scope::Scope,
};
