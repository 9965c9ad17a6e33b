//! Wire types of citronproxy: JSON of the platform, of the admin API and of backend server
//! grants, and messages between instances. They convert to and from the types of
//! `citron-core`, so that no decision depends on an encoding.

pub mod admin;
pub mod grant;
pub mod heartbeat;
pub mod peer;
pub mod relay;
pub mod row;
pub mod slo;
pub mod table;
pub mod uri;

mod error;

/// Code generated from `schema/peer.capnp`; `docs/DEVELOPING.md` describes how.
#[allow(missing_docs, clippy::all, reason = "generated")]
pub mod peer_capnp;

pub use error::WireError;
