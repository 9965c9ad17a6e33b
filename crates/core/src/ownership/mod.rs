//! Who owns which shard, and how a shard changes hands.

mod assignment;
mod grant;
mod scope;

pub use {
    assignment::{Assignment, Phase},
    grant::{Boot, Grant, GrantKind, GrantReply, GrantResult, Lease},
    scope::Scope,
};
