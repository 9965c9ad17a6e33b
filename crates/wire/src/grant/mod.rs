//! Fenced grants to backend servers as JSON: `POST /.citron/grants`.
//!
//! Requests to such a server carry [`HEADER_SERVICE`], [`HEADER_SCOPE`] and
//! [`HEADER_EPOCH`]. A server that does not hold just that grant under a lease
//! in force answers 421 with [`HEADER_REFUSED`], its promise that it did not run
//! the request.

mod grant_wire;

pub use grant_wire::{
    GrantOrderWire, GrantReplyWire, GrantResultWire, GrantWire, LeaseWire, parse_scope,
};

/// Where a server takes grants.
pub const GRANTS_PATH: &str = "/.citron/grants";
/// Request header: the service.
pub const HEADER_SERVICE: &str = "citron-service";
/// Request header: the scope, as `shard:NUMBER` or `key:HASH`.
pub const HEADER_SCOPE: &str = "citron-scope";
/// Request header: the epoch.
pub const HEADER_EPOCH: &str = "citron-epoch";
/// Answer header: the server did not run the request; the value says why
/// (`epoch`, `lease`, `shed` or `draining`).
pub const HEADER_REFUSED: &str = "citron-refused";
