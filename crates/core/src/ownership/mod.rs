//! Who owns which shard, and how a shard changes hands.

mod assignment;
mod begin;
mod error;
mod event;
mod grant;
mod granter;
mod mover;
mod place;
mod rules;
mod scope;
mod spans;
mod waits;

use crate::membership::Member;

pub use {
    assignment::{Assignment, Phase},
    begin::{begin_move, begin_move_by},
    error::MoveError,
    event::{Ack, MoveAction, MoveEvent},
    grant::{Boot, Grant, GrantKind, GrantReply, GrantResult, Lease},
    granter::{Granter, Order},
    mover::Mover,
    place::{assignment, row_key},
    rules::{Rules, Strict},
    scope::Scope,
    spans::Spans,
};
