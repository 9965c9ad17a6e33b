//! Loads of all servers.

use {
    super::{AttemptOutcome, ServerLoad},
    crate::{
        id::{InstanceId, ServerName},
        time::Time,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Age at which a report expires. Its instance has ended or is cut off by then, and its
/// requests at servers have ended or soon will.
const REPORT_TTL: Duration = Duration::from_secs(1);

/// Load that one instance puts on a server.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerLoad {
    /// Name of the server.
    pub server: ServerName,
    /// In-flight requests of the instance at the server.
    pub in_flight: u32,
    /// Run time of a request in seconds; `None` if the instance has not measured one
    /// lately.
    pub run_time: Option<f64>,
}

#[derive(Debug)]
struct PeerReport {
    received: Time,
    loads: Vec<PeerLoad>,
}

/// Loads by server, from this instance's own requests and other instances' reports.
///
/// ```
/// use {citron_core::{dispatch::*, time::Time}, std::time::Duration};
/// let server = "s-1".parse().unwrap();
/// let mut tracker = LoadTracker::default();
/// tracker.begin(&server, Time::ZERO);
/// let load = PeerLoad { server: server.clone(), in_flight: 2, run_time: None };
/// tracker.apply_report("peer-1".parse().unwrap(), vec![load], Time::ZERO);
/// assert_eq!(tracker.get(&server).in_flight(), 3);
/// tracker.end(&server, AttemptOutcome::Ran, Duration::from_millis(200), 1.0, Time::ZERO);
/// assert_eq!(tracker.get(&server).in_flight(), 2);
/// ```
#[derive(Debug, Default)]
pub struct LoadTracker {
    servers: BTreeMap<ServerName, ServerLoad>,
    reports: BTreeMap<InstanceId, PeerReport>,
    untracked: ServerLoad,
}

impl LoadTracker {
    /// Load of a server; an empty one if the server is unknown.
    pub fn get(&self, server: &ServerName) -> &ServerLoad {
        self.servers.get(server).unwrap_or(&self.untracked)
    }

    /// Counts a request sent to a server.
    pub fn begin(&mut self, server: &ServerName, now: Time) {
        let load = self.servers.entry(server.clone()).or_default();
        load.update_mean(now);
        load.local += 1;
    }

    /// Counts the end of a request and its outcome.
    pub fn end(
        &mut self,
        server: &ServerName,
        outcome: AttemptOutcome,
        span: Duration,
        share: f64,
        now: Time,
    ) {
        if let Some(load) = self.servers.get_mut(server) {
            load.update_mean(now);
            load.local = load.local.saturating_sub(1);
            load.record(outcome, span, share, now);
        }
    }

    /// Counts a request for a server that was rejected without being sent.
    pub fn record_rejection(&mut self, server: &ServerName) {
        self.servers
            .entry(server.clone())
            .or_default()
            .record_rejection();
    }

    /// Records that a request had to wait for a slot of a server, or was denied one.
    pub fn record_contention(&mut self, server: &ServerName, now: Time) {
        let load = self.servers.entry(server.clone()).or_default();
        load.record_contention(now);
    }

    /// Records that a server asks this instance for rest until `until`. Returns whether it
    /// was not at rest before.
    pub fn record_rest(&mut self, server: &ServerName, until: Time, now: Time) -> bool {
        let load = self.servers.entry(server.clone()).or_default();
        load.record_rest(until, now)
    }

    /// Replaces the report of another instance, and drops one expired report of any
    /// instance.
    pub fn apply_report(&mut self, peer: InstanceId, loads: Vec<PeerLoad>, now: Time) {
        for reported in &loads {
            let load = self.servers.entry(reported.server.clone()).or_default();
            load.update_mean(now);
            load.peers += reported.in_flight;
            if let Some(run_time) = reported.run_time {
                load.record_peer_run_time(run_time, now);
            }
        }
        let received = now;
        let previous = self.reports.insert(peer, PeerReport { received, loads });
        self.subtract_report(previous, now);
        let is_expired = |report: &PeerReport| now - report.received >= REPORT_TTL;
        let expired = self.reports.iter().find(|(_, report)| is_expired(report));
        if let Some(name) = expired.map(|(name, _)| name.clone()) {
            let report = self.reports.remove(&name);
            self.subtract_report(report, now);
        }
    }

    fn subtract_report(&mut self, report: Option<PeerReport>, now: Time) {
        for reported in report.into_iter().flat_map(|report| report.loads) {
            if let Some(load) = self.servers.get_mut(&reported.server) {
                load.update_mean(now);
                load.peers = load.peers.saturating_sub(reported.in_flight);
            }
        }
    }

    /// This instance's loads, to be reported to others, the busiest server first. Servers
    /// with neither in-flight requests nor a recent run time are left out.
    pub fn local_loads(&self, now: Time) -> Vec<PeerLoad> {
        let reported = self.servers.iter().map(|(server, load)| PeerLoad {
            server: server.clone(),
            in_flight: load.local,
            run_time: load.local_run_time(now),
        });
        let reported =
            reported.filter(|reported| reported.in_flight > 0 || reported.run_time.is_some());
        let mut reported: Vec<PeerLoad> = reported.collect();
        reported.sort_by_key(|reported| std::cmp::Reverse(reported.in_flight));
        reported
    }

    /// Removes servers that `keep` rejects, but for those with in-flight requests of this
    /// instance.
    pub fn retain(&mut self, keep: impl Fn(&ServerName) -> bool) {
        self.servers
            .retain(|server, load| load.local > 0 || keep(server));
    }
}
