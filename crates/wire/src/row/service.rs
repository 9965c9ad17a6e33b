//! Service rows as JSON.

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

/// A service. Times are in milliseconds.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceWire {
    /// Its name.
    pub name: String,
    /// The operator it belongs to.
    pub operator: String,
    /// Host names it answers to; any host if empty.
    #[serde(default)]
    pub hosts: Vec<String>,
    /// Paths it answers to begin with this.
    pub prefix: String,
    /// `header:NAME` or `segment:NUMBER`.
    pub key: String,
    /// Methods whose requests may run more than once.
    pub idempotent: Vec<String>,
    /// Base-two logarithm of the shard count.
    pub shard_bits: u8,
    /// Time a request may take.
    pub deadline_ms: u64,
    /// How long a cut-off domain goes on serving.
    pub grace_ms: u64,
    /// Shards a minute that may move for balance.
    pub moves_minute: u32,
    /// Load of the fullest server over the mean, in percent, that begins a move.
    pub moves_threshold: u32,
    /// Requests per million that may fail.
    pub slo_failures: u32,
    /// Latency that counts as good.
    pub slo_latency_ms: u64,
    /// Requests per million that may be slower.
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
