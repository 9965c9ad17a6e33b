//! Rows of services.

use {
    crate::id::{OperatorName, ServiceName, ShardBits},
    std::time::Duration,
};

/// Where a request carries its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeySource {
    /// In the header of this name.
    Header(String),
    /// In the path: segment 0 is the one after the first slash.
    Segment(usize),
}

/// How fast shards of a service may move for balance; losses are not counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MoveBudget {
    /// Shards a minute.
    pub shards_per_minute: u32,
    /// Load of the fullest server over the mean, in percent, that a move for
    /// balance needs to begin.
    pub threshold_percent: u32,
}

/// What the service promises its callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Objectives {
    /// Requests per million that may fail.
    pub failures_per_million: u32,
    /// Latency that counts as good.
    pub latency: Duration,
    /// Requests per million that may be slower.
    pub slow_per_million: u32,
}

/// A service: requests of one operator that are divided by key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceRow {
    /// Its name.
    pub name: ServiceName,
    /// The operator it belongs to.
    pub operator: OperatorName,
    /// Host names it answers to; any host if empty.
    pub hosts: Vec<String>,
    /// Paths it answers to begin with this.
    pub prefix: String,
    /// Where its requests carry their key.
    pub key_source: KeySource,
    /// Methods whose requests may run more than once.
    pub idempotent_methods: Vec<String>,
    /// How many shards its keys are divided into; fixed for its life.
    pub shard_bits: ShardBits,
    /// Time a request may take, unless its caller asks for less.
    pub deadline: Duration,
    /// How long an instance that is cut off from the platform goes on serving
    /// shards whose owner is in its own domain. A longer grace keeps a cut-off
    /// domain serving; a key whose owner and instances all vanish waits as long.
    pub grace: Duration,
    /// How fast shards move.
    pub move_budget: MoveBudget,
    /// What it promises.
    pub objectives: Objectives,
}
