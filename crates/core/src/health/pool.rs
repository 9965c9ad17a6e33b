//! Outlier detection among the servers of a service.

use {
    super::{HealthConfig, HealthDecision, ServerHealth},
    crate::{id::ServerName, time::Time},
    std::{collections::BTreeMap, time::Duration},
};

/// Health of a service's servers, as one instance measures it.
///
/// Only the instance's own measurements count: a frozen server goes on reporting that it
/// is healthy. A failure of the instance or of its network makes all servers look
/// unhealthy, so that no more than a configured fraction of them is ejected.
///
/// ```
/// use citron_core::{health::*, time::Time};
/// let names = ["a", "b", "c", "d"].map(|name| name.parse().unwrap());
/// let mut pool = PoolHealth::new(HealthConfig::STANDARD);
/// pool.set_servers(names.iter().cloned());
/// for name in &names {
///     (0..10).for_each(|_| pool.record_failure(name, Time::ZERO));
/// }
/// assert_eq!(pool.ejected().count(), 1);
/// ```
#[derive(Debug)]
pub struct PoolHealth {
    config: HealthConfig,
    servers: BTreeMap<ServerName, ServerHealth>,
}

impl PoolHealth {
    /// Creates an empty pool.
    pub fn new(config: HealthConfig) -> Self {
        Self {
            config,
            servers: BTreeMap::new(),
        }
    }

    /// Replaces the list of servers; known servers keep their state.
    pub fn set_servers(&mut self, names: impl Iterator<Item = ServerName>) {
        let mut previous = std::mem::take(&mut self.servers);
        for name in names {
            let health = previous.remove(&name).unwrap_or_default();
            self.servers.insert(name, health);
        }
    }

    /// Records a response with its latency. Returns whether the server has just been
    /// restored, so that its warm-up starts.
    pub fn record_success(&mut self, name: &ServerName, latency: Duration, now: Time) -> bool {
        let is_slow = self.is_outlier(latency);
        let Some(server) = self.servers.get_mut(name) else {
            return false;
        };
        // A slow server responds to probes as well; slow responses must not restore it.
        if server.is_ejected() && is_slow {
            server.record_failure(&self.config, now);
            return false;
        }
        let is_restored = server.record_success(latency, &self.config);
        let smoothed = server.latency(&self.config);
        if smoothed.is_some_and(|smoothed| self.is_outlier(smoothed)) && self.has_room() {
            self.eject(name, now);
        }
        is_restored
    }

    /// Records a refusal: the server is busy but alive.
    pub fn record_alive(&mut self, name: &ServerName) {
        if let Some(server) = self.servers.get_mut(name) {
            server.record_alive();
        }
    }

    /// Records a failure: the server could not be reached, the connection died, or a
    /// connection opened for the request stayed silent.
    pub fn record_failure(&mut self, name: &ServerName, now: Time) {
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        let is_over_limit = server.record_failure(&self.config, now);
        if is_over_limit && self.has_room() {
            self.eject(name, now);
        }
    }

    /// Decides whether a request may be sent to a server.
    pub fn check(&mut self, name: &ServerName, idempotent: bool, now: Time) -> HealthDecision {
        let server = self.servers.get_mut(name);
        server.map_or(HealthDecision::Pass, |server| server.check(idempotent, now))
    }

    /// Ejected servers, for the planner to move their shards.
    pub fn ejected(&self) -> impl Iterator<Item = &ServerName> {
        let servers = self.servers.iter();
        let ejected_servers = servers.filter(|(_, server)| server.is_ejected());
        ejected_servers.map(|(name, _)| name)
    }

    fn eject(&mut self, name: &ServerName, now: Time) {
        if let Some(server) = self.servers.get_mut(name) {
            server.eject(now);
        }
    }

    /// Whether one more server may be ejected.
    fn has_room(&self) -> bool {
        let max_ejected = self.config.ejected_share_max * self.servers.len() as f64;
        (self.ejected().count() + 1) as f64 <= max_ejected
    }

    /// Whether a latency is far above the pool's median.
    fn is_outlier(&self, latency: Duration) -> bool {
        if latency <= self.config.slow_min {
            return false;
        }
        let servers = self.servers.values();
        let mut all: Vec<Duration> = servers
            .filter_map(|server| server.latency(&self.config))
            .collect();
        all.sort_unstable();
        let median = all.get(all.len().saturating_sub(1) / 2);
        median.is_some_and(|median| latency > median.mul_f64(self.config.slow_factor))
    }
}
