//! Weighted rendezvous hashing.

use {
    crate::{id::ServerName, ownership::Scope},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Returns the rendezvous score of a server for a scope. The server with the highest
/// score is preferred.
///
/// The score depends only on the server's name, its weight and the scope. When a server
/// leaves, only its own scopes move; when it returns, it gets the same scopes back.
pub fn rendezvous_score(server: &ServerName, weight: u64, scope: Scope) -> f64 {
    let seed = match scope {
        Scope::Shard(shard) => u64::from(shard.0),
        Scope::Key(key) => !key.0,
    };
    let hash = xxh3_64_with_seed(server.id().as_bytes(), seed);
    // Maps the hash to a number strictly between 0 and 1.
    let unit = ((hash >> 12) as f64 + 0.5) / (1_u64 << 52) as f64;
    -(weight as f64) / unit.ln()
}
