//! Loads of all servers.

use {
    super::{Finish, ServerLoad},
    crate::{
        id::{InstanceId, ServerName},
        time::Time,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// A report older than this counts for nothing: its instance is gone or cut off,
/// and what it had at servers has ended or soon will.
const REPORT_TIME: Duration = Duration::from_secs(1);

/// What one instance says of a server.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerLoad {
    /// The server.
    pub server: ServerName,
    /// The instance's requests there.
    pub busy: u32,
    /// Run time of a request, in seconds, if it saw any lately.
    pub run: Option<f64>,
}

#[derive(Debug)]
struct Report {
    heard: Time,
    loads: Vec<PeerLoad>,
}

/// Loads by server, this instance's own and those that others report.
///
/// ```
/// use {citron_core::{dispatch::*, time::Time}, std::time::Duration};
/// let server = "s-1".parse().unwrap();
/// let mut book = LoadBook::default();
/// book.begin(&server, Time::ZERO);
/// let load = PeerLoad { server: server.clone(), busy: 2, run: None };
/// book.report("peer-1".parse().unwrap(), vec![load], Time::ZERO);
/// assert_eq!(book.get(&server).busy(), 3);
/// book.end(&server, Finish::Ran, Duration::from_millis(200), 1.0, Time::ZERO);
/// assert_eq!(book.get(&server).busy(), 2);
/// ```
#[derive(Debug, Default)]
pub struct LoadBook {
    servers: BTreeMap<ServerName, ServerLoad>,
    reports: BTreeMap<InstanceId, Report>,
    none: ServerLoad,
}

impl LoadBook {
    /// What is known of a server; nothing if it is new.
    pub fn get(&self, server: &ServerName) -> &ServerLoad {
        self.servers.get(server).unwrap_or(&self.none)
    }

    /// A request goes to a server.
    pub fn begin(&mut self, server: &ServerName, now: Time) {
        let load = self.servers.entry(server.clone()).or_default();
        load.average(now);
        load.own += 1;
    }

    /// It has ended.
    pub fn end(
        &mut self,
        server: &ServerName,
        finish: Finish,
        span: Duration,
        share: f64,
        now: Time,
    ) {
        if let Some(load) = self.servers.get_mut(server) {
            load.average(now);
            load.own = load.own.saturating_sub(1);
            load.note(finish, span, share, now);
        }
    }

    /// A request for a server was rejected without being sent.
    pub fn note_rejected(&mut self, server: &ServerName) {
        self.servers
            .entry(server.clone())
            .or_default()
            .note_rejected();
    }

    /// Replaces what another instance says of servers.
    pub fn report(&mut self, from: InstanceId, loads: Vec<PeerLoad>, now: Time) {
        for said in &loads {
            let load = self.servers.entry(said.server.clone()).or_default();
            load.average(now);
            load.peers += said.busy;
            if let Some(run) = said.run {
                load.note_peer_run(run, now);
            }
        }
        let heard = now;
        let former = self.reports.insert(from, Report { heard, loads });
        self.take_back(former, now);
        let old = |report: &Report| now - report.heard >= REPORT_TIME;
        let gone = self.reports.iter().find(|(_, report)| old(report));
        if let Some(name) = gone.map(|(name, _)| name.clone()) {
            let report = self.reports.remove(&name);
            self.take_back(report, now);
        }
    }

    fn take_back(&mut self, report: Option<Report>, now: Time) {
        for said in report.into_iter().flat_map(|report| report.loads) {
            if let Some(load) = self.servers.get_mut(&said.server) {
                load.average(now);
                load.peers = load.peers.saturating_sub(said.busy);
            }
        }
    }

    /// What this instance says of servers, the busiest first; those without a request
    /// are left out.
    pub fn own(&self, now: Time) -> Vec<PeerLoad> {
        let said = self.servers.iter().map(|(server, load)| PeerLoad {
            server: server.clone(),
            busy: load.own,
            run: load.own_run(now),
        });
        let said = said.filter(|said| said.busy > 0 || said.run.is_some());
        let mut said: Vec<PeerLoad> = said.collect();
        said.sort_by_key(|said| std::cmp::Reverse(said.busy));
        said
    }

    /// Forgets servers that are known no more and have nothing under way.
    pub fn retain(&mut self, keep: impl Fn(&ServerName) -> bool) {
        self.servers
            .retain(|server, load| load.own > 0 || keep(server));
    }
}
