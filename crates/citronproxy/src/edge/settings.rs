//! Settings of an instance on an outside platform.

use {
    crate::settings::{SettingsError, parse},
    citron_core::{
        id::{DomainName, InstanceId},
        slowstart::ColdBound,
    },
    serde::Deserialize,
    std::{net::SocketAddr, path::Path, time::Duration},
};

/// The largest row that a store is taken to accept if the settings do not tell, in bytes.
const DEFAULT_ROW_BYTES_MAX: usize = 65_536;

/// How much retries may add, over all instances together.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetrySettings {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries beyond that within a window, for all instances.
    pub extra: f64,
}

/// Settings of one instance.
#[derive(Debug, Clone)]
pub struct EdgeSettings {
    /// Its name, the same across restarts.
    pub instance: InstanceId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Where it takes callers' requests.
    pub traffic_address: SocketAddr,
    /// Where balancers ask whether it takes requests.
    pub ready_address: SocketAddr,
    /// Where it talks with other instances, over TCP and UDP.
    pub peer_address: SocketAddr,
    /// The platform's store.
    pub store_address: SocketAddr,
    /// How long it may take to leave after SIGTERM.
    pub leave_timeout: Duration,
    /// How long after the news that a server leaves it may still get requests.
    pub drain_period: Duration,
    /// The same after the news that its failure domain is evacuated.
    pub evacuation_period: Duration,
    /// How far cold servers may be loaded.
    pub cold_bound: ColdBound,
    /// What retries may add.
    pub retry_budget: RetrySettings,
    /// Where metrics are read; nowhere if it is not set.
    pub metrics_address: Option<SocketAddr>,
    /// The longest lease that servers take.
    pub lease_max: Duration,
    /// The largest row that the store takes, in bytes.
    pub row_bytes_max: usize,
    /// Its part of a processor, in percent: the planner and the readers of the
    /// store should be instances that have much of one.
    pub cpu_percent: u32,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawSettings {
    instance: String,
    domain: String,
    traffic: SocketAddr,
    ready: SocketAddr,
    peer: SocketAddr,
    store: SocketAddr,
    leave_s: f64,
    drain_s: f64,
    #[serde(default)]
    evacuate_s: Option<f64>,
    #[serde(default)]
    cold: ColdSettings,
    retries: RetrySettings,
    lease_max_s: f64,
    cpu_share: f64,
    #[serde(default)]
    row_bytes: Option<usize>,
    #[serde(default)]
    metrics: Option<SocketAddr>,
}

/// How far above their rate cold servers may be loaded, over all instances.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct ColdSettings {
    /// Factor of the rate.
    factor: Option<f64>,
    /// Requests in any second beyond that.
    extra: Option<f64>,
}

impl From<ColdSettings> for ColdBound {
    fn from(raw: ColdSettings) -> Self {
        Self {
            factor: raw.factor.unwrap_or(1.0).max(0.0),
            extra: raw.extra.unwrap_or(0.0).max(0.0),
        }
    }
}

impl EdgeSettings {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// [`SettingsError`] names the file, the field or line, what was found and
    /// what is allowed.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let raw: RawSettings = parse::load(path)?;
        Ok(Self {
            instance: parse::name(path, "instance", &raw.instance)?,
            domain: parse::name(path, "domain", &raw.domain)?,
            traffic_address: raw.traffic,
            ready_address: raw.ready,
            peer_address: raw.peer,
            store_address: raw.store,
            leave_timeout: parse::seconds(path, "leave_s", raw.leave_s)?,
            drain_period: parse::seconds(path, "drain_s", raw.drain_s)?,
            evacuation_period: parse::seconds(
                path,
                "evacuate_s",
                raw.evacuate_s.unwrap_or(raw.drain_s),
            )?,
            cold_bound: raw.cold.into(),
            retry_budget: raw.retries,
            metrics_address: raw.metrics,
            lease_max: parse::seconds(path, "lease_max_s", raw.lease_max_s)?,
            row_bytes_max: raw.row_bytes.unwrap_or(DEFAULT_ROW_BYTES_MAX),
            cpu_percent: (raw.cpu_share * 100.0) as u32,
        })
    }
}
