//! Rows of services.

use {
    crate::id::{OperatorName, ServiceName, ShardBits},
    std::time::Duration,
};

/// Location of the key in a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeySource {
    /// The header of this name.
    Header(String),
    /// A path segment; segment 0 follows the first slash.
    Segment(usize),
}

/// Limits on moving shards for balance. Moves away from lost servers are not limited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MoveBudget {
    /// Shards that may move per minute.
    pub shards_per_minute: u32,
    /// Load of the most loaded server, in percent of the mean load, from which shards are
    /// moved for balance.
    pub threshold_percent: u32,
}

/// Service-level objectives of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Objectives {
    /// Requests per million that may fail.
    pub failures_per_million: u32,
    /// Latency up to which a request counts as fast enough.
    pub latency: Duration,
    /// Requests per million that may take longer than `latency`.
    pub slow_per_million: u32,
}

/// Row of a service: requests of one operator that are sharded by key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceRow {
    /// Name of the service.
    pub name: ServiceName,
    /// The operator that the service belongs to.
    pub operator: OperatorName,
    /// Host names of the service's requests; any host if empty.
    pub hosts: Vec<String>,
    /// Path prefix of the service's requests.
    pub prefix: String,
    /// Location of the key in the service's requests.
    pub key_source: KeySource,
    /// HTTP methods whose requests may run more than once.
    pub idempotent_methods: Vec<String>,
    /// Number of shards, as a power of two. It cannot change while the service has
    /// shards.
    pub shard_bits: ShardBits,
    /// Time that a request may take, unless its caller asks for less.
    pub deadline: Duration,
    /// Grace period: how long an instance that is cut off from the platform keeps serving
    /// shards whose owner is in its own failure domain. A longer period keeps an isolated
    /// domain available for longer, but a key whose owner and instances all fail is
    /// unavailable for as long.
    pub grace: Duration,
    /// Limits on moving shards for balance.
    pub move_budget: MoveBudget,
    /// Service-level objectives.
    pub objectives: Objectives,
}
