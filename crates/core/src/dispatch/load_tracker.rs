//! Loads of all servers.

use {
    super::{AttemptOutcome, ServerLoad},
    crate::{
        id::{InstanceId, ServerName},
        time::Time,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// A report older than this counts for nothing: its instance is gone or cut off,
/// and what it had at servers has ended or soon will.
const REPORT_TTL: Duration = Duration::from_secs(1);

/// What one instance says of a server.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerLoad {
    /// The server.
    pub server: ServerName,
    /// The instance's requests there.
    pub in_flight: u32,
    /// Run time of a request, in seconds, if it saw any lately.
    pub run_time: Option<f64>,
}

#[derive(Debug)]
struct PeerReport {
    received: Time,
    loads: Vec<PeerLoad>,
}

/// Loads by server, this instance's own and those that others report.
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
    /// What is known of a server; nothing if it is new.
    pub fn get(&self, server: &ServerName) -> &ServerLoad {
        self.servers.get(server).unwrap_or(&self.untracked)
    }

    /// A request goes to a server.
    pub fn begin(&mut self, server: &ServerName, now: Time) {
        let load = self.servers.entry(server.clone()).or_default();
        load.update_mean(now);
        load.local += 1;
    }

    /// It has ended.
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

    /// A request for a server was rejected without being sent.
    pub fn record_rejection(&mut self, server: &ServerName) {
        self.servers
            .entry(server.clone())
            .or_default()
            .record_rejection();
    }

    /// Replaces what another instance says of servers.
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

    /// What this instance says of servers, the busiest first; those without a request
    /// are left out.
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

    /// Forgets servers that are known no more and have nothing under way.
    pub fn retain(&mut self, keep: impl Fn(&ServerName) -> bool) {
        self.servers
            .retain(|server, load| load.local > 0 || keep(server));
    }
}
