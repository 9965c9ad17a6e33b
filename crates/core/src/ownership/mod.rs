//! Who owns which shard, and how a shard changes hands.

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
    begin_move::{begin_move, begin_move_by},
    error::MoveError,
    event::{Ack, MoveAction, MoveEvent},
    grant::{Boot, Grant, GrantKind, GrantReply, GrantResult, Lease},
    granter::{Granter, Order},
    lease_durations::Spans,
    mover::Mover,
    rows::{assignment, row_key},
    rules::{Rules, Strict},
    scope::Scope,
};
