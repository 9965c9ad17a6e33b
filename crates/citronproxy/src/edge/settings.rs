//! Settings of an instance on an external platform.

use {
    crate::settings::{SettingsError, parse},
    citron_core::{
        id::{DomainName, InstanceId, Slots},
        slowstart::ColdBound,
    },
    serde::Deserialize,
    std::{io::Read, net::SocketAddr, path::Path, time::Duration},
};

/// Largest row that the store is assumed to accept if the settings do not say, in bytes.
const DEFAULT_ROW_BYTES_MAX: usize = 65_536;

/// Limit of additional requests due to retries, over all instances together.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetrySettings {
    /// Retries allowed for each request.
    pub ratio: f64,
    /// Retries allowed in addition within a window, over all instances.
    pub extra: f64,
}

/// When brokers allocate the slots of servers.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SlotBrokerSettings {
    /// Least number of instances for each slot of a server. Where fewer instances share a
    /// slot, an instance's own view of the load is sufficient.
    pub instances_per_slot: f64,
}

impl SlotBrokerSettings {
    /// Whether a broker allocates the slots of a server.
    ///
    /// ```
    /// use {citron_core::id::Slots, citronproxy::edge::SlotBrokerSettings};
    /// let settings = SlotBrokerSettings { instances_per_slot: 4.0 };
    /// assert!(settings.applies_to(Slots(4), 16));
    /// assert!(!settings.applies_to(Slots(6), 16));
    /// ```
    pub fn applies_to(&self, slots: Slots, instances: usize) -> bool {
        instances as f64 >= self.instances_per_slot * f64::from(slots.0)
    }
}

/// Settings of one instance.
#[derive(Debug, Clone)]
pub struct EdgeSettings {
    /// Name of the instance; stays the same across restarts.
    pub instance: InstanceId,
    /// Failure domain of the instance.
    pub domain: DomainName,
    /// Address on which the instance serves callers.
    pub traffic_address: SocketAddr,
    /// Address on which load balancers check whether the instance is ready.
    pub ready_address: SocketAddr,
    /// Address on which the instance talks to other instances, over TCP and UDP.
    pub peer_address: SocketAddr,
    /// Address on which the instance takes requests of callers from other instances; none
    /// if unset.
    pub detour_address: Option<SocketAddr>,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// How long the instance may take to leave after SIGTERM.
    pub leave_timeout: Duration,
    /// How long a leaving server may still be sent requests, counted from when its state
    /// became known.
    pub drain_period: Duration,
    /// The same for servers of a failure domain that is being evacuated.
    pub evacuation_period: Duration,
    /// Limit of the request rate of cold servers.
    pub cold_bound: ColdBound,
    /// Limit of retries.
    pub retry_budget: RetrySettings,
    /// Address of the metrics endpoint; metrics are not served if unset.
    pub metrics_address: Option<SocketAddr>,
    /// Longest lease that servers accept.
    pub lease_max: Duration,
    /// Largest row that the store accepts, in bytes.
    pub row_bytes_max: usize,
    /// Whether the planner stores the speeds of servers and the shares of demand that it
    /// learned, in a row for each service, and assigns keys by those of former planners.
    pub keep_loads: bool,
    /// Share of a processor that the instance may use, in percent. Instances with a
    /// larger share are preferred as planner and as readers of the store.
    pub cpu_percent: u32,
    /// When brokers allocate the slots of servers; never if unset.
    pub slot_brokers: Option<SlotBrokerSettings>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawSettings {
    instance: String,
    domain: String,
    traffic: SocketAddr,
    ready: SocketAddr,
    peer: SocketAddr,
    #[serde(default)]
    detour: Option<SocketAddr>,
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
    keep_loads: bool,
    #[serde(default)]
    metrics: Option<SocketAddr>,
    #[serde(default)]
    slot_brokers: Option<SlotBrokerSettings>,
}

/// How far the request rate of cold servers may exceed their rated one, over all
/// instances.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct ColdSettings {
    /// Factor applied to the rate.
    factor: Option<f64>,
    /// Additional requests in any one second.
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
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// [`SettingsError`] names the file, the field or line, what was found and what is
    /// allowed.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        Self::from_raw(path, parse::load(path)?)
    }

    /// Reads and validates settings from any source; `path` only names the source in
    /// errors.
    ///
    /// # Errors
    /// As [`EdgeSettings::load`].
    pub fn read(path: &Path, source: impl Read) -> Result<Self, SettingsError> {
        Self::from_raw(path, parse::read(path, source)?)
    }

    fn from_raw(path: &Path, raw: RawSettings) -> Result<Self, SettingsError> {
        Ok(Self {
            instance: parse::name(path, "instance", &raw.instance)?,
            domain: parse::name(path, "domain", &raw.domain)?,
            traffic_address: raw.traffic,
            ready_address: raw.ready,
            peer_address: raw.peer,
            detour_address: raw.detour,
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
            keep_loads: raw.keep_loads,
            cpu_percent: (raw.cpu_share * 100.0) as u32,
            slot_brokers: parse_slot_brokers(path, raw.slot_brokers)?,
        })
    }
}

fn parse_slot_brokers(
    path: &Path,
    raw: Option<SlotBrokerSettings>,
) -> Result<Option<SlotBrokerSettings>, SettingsError> {
    let is_valid = |settings: &SlotBrokerSettings| settings.instances_per_slot > 0.0;
    match raw.filter(|settings| !is_valid(settings)) {
        None => Ok(raw),
        Some(settings) => Err(SettingsError::Value {
            file: path.to_path_buf(),
            field: "slot_brokers.instances_per_slot".to_string(),
            found: settings.instances_per_slot.to_string(),
            allowed: "a number above 0".to_string(),
        }),
    }
}
