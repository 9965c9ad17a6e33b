//! Weighted rendezvous hashing.

use {
    crate::{id::ServerName, ownership::Scope},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// How well a server suits a scope: the highest of all servers wins.
///
/// The score of a server depends on nothing but its name, its weight and the
/// scope, so that a server that leaves gives away its own scopes only, and one
/// that returns gets the same ones back.
pub fn rendezvous_score(server: &ServerName, weight: u64, scope: Scope) -> f64 {
    let seed = match scope {
        Scope::Shard(shard) => u64::from(shard.0),
        Scope::Key(key) => !key.0,
    };
    let hash = xxh3_64_with_seed(server.id().as_bytes(), seed);
    // The hash as a number strictly between 0 and 1.
    let unit = ((hash >> 12) as f64 + 0.5) / (1_u64 << 52) as f64;
    -(weight as f64) / unit.ln()
}
