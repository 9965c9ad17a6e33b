//! JSON of service rows.

use {
    crate::{
        WireError,
        error::{invalid_value, parse_field},
    },
    citron_core::{
        id::ShardBits,
        table::{KeySource, MoveBudget, Objectives, ServiceRow},
    },
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// A service and its settings. Durations are in milliseconds.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceWire {
    /// Name of the service.
    pub name: String,
    /// Operator that the service belongs to.
    pub operator: String,
    /// Host names that are routed to the service; any host if empty.
    #[serde(default)]
    pub hosts: Vec<String>,
    /// Path prefix that is routed to the service.
    pub prefix: String,
    /// Source of a request's key: `header:NAME`, or `segment:NUMBER` for a path segment.
    pub key: String,
    /// Methods whose requests may be retried after they may have run.
    pub idempotent: Vec<String>,
    /// Base-two logarithm of the number of shards.
    pub shard_bits: u8,
    /// Time limit of a request.
    pub deadline_ms: u64,
    /// Duration for which a failure domain that is cut off continues to serve requests.
    pub grace_ms: u64,
    /// Largest number of shards that are moved per minute to balance load.
    pub moves_minute: u32,
    /// Load of the most loaded server, in percent of the mean, above which a move starts.
    pub moves_threshold: u32,
    /// Service-level objective: allowed failed requests per million.
    pub slo_failures: u32,
    /// Service-level objective: latency up to which a request counts as fast.
    pub slo_latency_ms: u64,
    /// Service-level objective: allowed requests per million above that latency.
    pub slo_slower: u32,
}

impl From<&ServiceRow> for ServiceWire {
    fn from(core: &ServiceRow) -> Self {
        let key = match &core.key_source {
            KeySource::Header(name) => format!("header:{name}"),
            KeySource::Segment(number) => format!("segment:{number}"),
        };
        Self {
            name: core.name.to_string(),
            operator: core.operator.to_string(),
            hosts: core.hosts.clone(),
            prefix: core.prefix.clone(),
            key,
            idempotent: core.idempotent_methods.clone(),
            shard_bits: core.shard_bits.shard_count().trailing_zeros() as u8,
            deadline_ms: millis(core.deadline),
            grace_ms: millis(core.grace),
            moves_minute: core.move_budget.shards_per_minute,
            moves_threshold: core.move_budget.threshold_percent,
            slo_failures: core.objectives.failures_per_million,
            slo_latency_ms: millis(core.objectives.latency),
            slo_slower: core.objectives.slow_per_million,
        }
    }
}

impl TryFrom<ServiceWire> for ServiceRow {
    type Error = WireError;

    fn try_from(wire: ServiceWire) -> Result<Self, WireError> {
        let bits = ShardBits::new(wire.shard_bits);
        let shard_bits =
            bits.ok_or_else(|| invalid_value("shard_bits", wire.shard_bits, "0 to 20"))?;
        Ok(Self {
            name: parse_field("name", &wire.name)?,
            operator: parse_field("operator", &wire.operator)?,
            hosts: wire.hosts,
            prefix: wire.prefix,
            key_source: parse_key_source(&wire.key)?,
            idempotent_methods: wire.idempotent,
            shard_bits,
            deadline: Duration::from_millis(wire.deadline_ms),
            grace: Duration::from_millis(wire.grace_ms),
            move_budget: MoveBudget {
                shards_per_minute: wire.moves_minute,
                threshold_percent: wire.moves_threshold,
            },
            objectives: Objectives {
                failures_per_million: wire.slo_failures,
                latency: Duration::from_millis(wire.slo_latency_ms),
                slow_per_million: wire.slo_slower,
            },
        })
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

fn parse_key_source(text: &str) -> Result<KeySource, WireError> {
    let invalid = || invalid_value("key", text, "header:NAME or segment:NUMBER");
    match text.split_once(':') {
        Some(("header", name)) if !name.is_empty() => Ok(KeySource::Header(name.to_lowercase())),
        Some(("segment", number)) => number
            .parse()
            .map(KeySource::Segment)
            .map_err(|_| invalid()),
        _ => Err(invalid()),
    }
}
