//! JSON of fenced grants to backend servers: `POST /.citron/grants`.
//!
//! Requests to a server that verifies fencing tokens carry [`HEADER_SERVICE`],
//! [`HEADER_SCOPE`] and [`HEADER_EPOCH`]. A server that does not hold exactly this grant
//! under a valid lease responds with status 421 and [`HEADER_REFUSED`], which guarantees
//! that it did not run the request.

mod grant_wire;

pub use grant_wire::{
    GrantOrderWire, GrantReplyWire, GrantResultWire, GrantWire, LeaseWire, parse_scope,
};

/// Path at which a server accepts grants.
pub const GRANTS_PATH: &str = "/.citron/grants";
/// Request header with the name of the service.
pub const HEADER_SERVICE: &str = "citron-service";
/// Request header with the scope, `shard:NUMBER` or `key:HASH`.
pub const HEADER_SCOPE: &str = "citron-scope";
/// Request header with the epoch.
pub const HEADER_EPOCH: &str = "citron-epoch";
/// Response header that guarantees that the server did not run the request. Its value is
/// the reason: `epoch`, `lease`, `shed` or `draining`.
pub const HEADER_REFUSED: &str = "citron-refused";
