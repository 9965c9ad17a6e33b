//! Request rates that servers state in their responses, divided among instances.

use {
    super::demand_rate::DemandRate,
    crate::{
        admission::Rate,
        id::{InstanceId, ServerName},
        time::Time,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Age at which a statement expires. A server that no request reaches cannot withdraw its
/// limit.
const STATEMENT_TTL: Duration = Duration::from_secs(30);
/// Age at which a peer's report expires.
const REPORT_TTL: Duration = Duration::from_secs(3);
/// Fraction of a stated rate that is used: the demand over all instances is an estimate.
const USED_SHARE: f64 = 0.9;
/// Requests per second that are sent over all instances to a server with a lower limit.
/// Only a response tells that the limit has ended.
const TRIAL_RATE: f64 = 0.2;
/// Shortest and longest Retry-After, in seconds.
const RETRY_AFTER_RANGE_S: [f64; 2] = [0.08, 3.0];

/// What a response says about the server's rate limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitStatement {
    /// The server takes this rate from all instances together.
    Limited(Rate),
    /// The server states no limit.
    Unlimited,
}

/// What one instance knows of a server with a rate limit, as instances report it to each
/// other.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitReport {
    /// Name of the server.
    pub server: ServerName,
    /// Latest statement that the server made to the instance itself, and its age. Statements
    /// are not relayed: their age would grow by less than the time they take on their way.
    pub heard: Option<(LimitStatement, Duration)>,
    /// Requests per second that the instance has for the server, admitted or not.
    pub demand: Rate,
}

/// Latest statement of one server.
#[derive(Debug, Clone, Copy)]
struct Stated {
    statement: LimitStatement,
    stated_at: Time,
    /// Whether this instance received the response with the statement.
    is_heard: bool,
    /// Fraction of a request that is admitted in addition, between 0 and 1. It carries the
    /// remainder of the previous requests, so that the admitted ones are evenly spaced.
    credit: f64,
}

#[derive(Debug)]
struct PeerReport {
    received: Time,
    demands: BTreeMap<ServerName, Rate>,
}

/// Rate limits that servers state for all instances together.
///
/// Every instance admits the same fraction of its requests: the limit divided by the
/// demand over all instances, which report theirs to each other. Equal shares of the limit
/// would leave most of it unused, as clients are spread unevenly, and shares that are
/// saved up while there is no demand would add up to one request per instance at once.
///
/// ```
/// use citron_core::{admission::Rate, dispatch::{LimitStatement, StatedLimits}, time::Time};
/// let mut limits = StatedLimits::default();
/// let server = "s-1".parse().unwrap();
/// assert!(limits.admit(&server, 1.0, Time::ZERO).is_ok());
/// limits.record_statement(&server, LimitStatement::Limited(Rate(2.0)), Time::ZERO, 0.5);
/// let admitted = (0..100).filter(|_| limits.admit(&server, 1.0, Time::ZERO).is_ok());
/// assert!(admitted.count() < 10);
/// ```
#[derive(Debug, Default)]
pub struct StatedLimits {
    stated: BTreeMap<ServerName, Stated>,
    /// Demand of this instance for each server, limited or not: a limit applies from the
    /// moment at which it is known.
    demands: BTreeMap<ServerName, DemandRate>,
    reports: BTreeMap<InstanceId, PeerReport>,
}

impl StatedLimits {
    /// Records the statement of a response that this instance received. `random`, uniform
    /// in 0 to 1, keeps instances that hear of a limit together from admitting their first
    /// requests together. Returns whether the limit has changed.
    pub fn record_statement(
        &mut self,
        server: &ServerName,
        statement: LimitStatement,
        now: Time,
        random: f64,
    ) -> bool {
        let stated = Stated {
            statement,
            stated_at: now,
            is_heard: true,
            credit: random,
        };
        self.update(server, stated)
    }

    /// Replaces the statement of a server by a later one. Returns whether the limit has
    /// changed.
    fn update(&mut self, server: &ServerName, later: Stated) -> bool {
        let Some(stated) = self.stated.get_mut(server) else {
            let is_limited = later.statement != LimitStatement::Unlimited;
            if is_limited {
                self.stated.insert(server.clone(), later);
            }
            return is_limited;
        };
        if stated.stated_at > later.stated_at {
            return false;
        }
        let credit = stated.credit;
        let previous = std::mem::replace(stated, Stated { credit, ..later });
        previous.statement != later.statement
    }

    /// Replaces the report of another instance. Returns the limits that have changed.
    pub fn apply_report(
        &mut self,
        peer: InstanceId,
        reports: Vec<LimitReport>,
        now: Time,
        mut random: impl FnMut() -> f64,
    ) -> Vec<(ServerName, LimitStatement)> {
        let mut changed = Vec::new();
        let mut demands = BTreeMap::new();
        for report in reports {
            if let Some((statement, age)) = report.heard {
                let stated = Stated {
                    statement,
                    stated_at: now - age,
                    is_heard: false,
                    credit: random(),
                };
                if self.update(&report.server, stated) {
                    changed.push((report.server.clone(), statement));
                }
            }
            demands.insert(report.server, report.demand);
        }
        let received = now;
        self.reports.insert(peer, PeerReport { received, demands });
        self.reports
            .retain(|_, report| now - report.received < REPORT_TTL);
        changed
    }

    /// Counts a request for a server, and decides whether it may be sent. `peer_factor` is
    /// the demand over all instances for each request known to this one; above 1 where
    /// only some of the instances report here.
    ///
    /// # Errors
    /// The time after which a rejected client should return.
    pub fn admit(
        &mut self,
        server: &ServerName,
        peer_factor: f64,
        now: Time,
    ) -> Result<(), Duration> {
        if let Some(demand) = self.demands.get_mut(server) {
            demand.count(now);
        } else {
            let mut demand = DemandRate::default();
            demand.count(now);
            self.demands.insert(server.clone(), demand);
        }
        let Some(limit) = self.limit(server, now) else {
            return Ok(());
        };
        let used = (limit.0 * USED_SHARE).max(TRIAL_RATE);
        let demand = self.known_demand(server, now) * peer_factor;
        let Some(stated) = self.stated.get_mut(server).filter(|_| demand > used) else {
            return Ok(());
        };
        stated.credit += used / demand;
        if stated.credit >= 1.0 {
            stated.credit -= 1.0;
            return Ok(());
        }
        // The requests of all clients that were rejected arrive again at about the rate
        // that the server takes.
        let seconds = demand / (used * used);
        let seconds = seconds.clamp(RETRY_AFTER_RANGE_S[0], RETRY_AFTER_RANGE_S[1]);
        Err(Duration::from_secs_f64(seconds))
    }

    /// Requests per second for a server at this instance and those that report to it.
    fn known_demand(&self, server: &ServerName, now: Time) -> f64 {
        let own = self.demands.get(server);
        let reports = self.reports.values();
        let recent = reports.filter(|report| now - report.received < REPORT_TTL);
        let peers = recent.filter_map(|report| report.demands.get(server));
        own.map_or(0.0, |demand| demand.rate(now).0) + peers.map(|demand| demand.0).sum::<f64>()
    }

    /// Rate that a server takes from all instances together; `None` if it states none.
    pub fn limit(&self, server: &ServerName, now: Time) -> Option<Rate> {
        let stated = self.stated.get(server)?;
        match stated.statement {
            LimitStatement::Limited(rate) if now - stated.stated_at < STATEMENT_TTL => Some(rate),
            _ => None,
        }
    }

    /// Number of servers that state a limit.
    pub fn limited_count(&self, now: Time) -> usize {
        let servers = self.stated.keys();
        servers
            .filter(|server| self.limit(server, now).is_some())
            .count()
    }

    /// Statements that have not expired and this instance's demand, to be reported to
    /// others; those that this instance heard last first.
    pub fn reports(&self, now: Time) -> Vec<LimitReport> {
        let stated = self.stated.iter();
        let stated = stated.filter(|(_, stated)| now - stated.stated_at < STATEMENT_TTL);
        let reported = stated.map(|(server, stated)| {
            let demand = self.demands.get(server);
            let heard = (stated.statement, now - stated.stated_at);
            LimitReport {
                server: server.clone(),
                heard: stated.is_heard.then_some(heard),
                demand: demand.map_or(Rate(0.0), |demand| demand.rate(now)),
            }
        });
        let mut reported: Vec<LimitReport> = reported.collect();
        reported.sort_by_key(|report| report.heard.map_or(STATEMENT_TTL, |(_, age)| age));
        reported
    }

    /// Removes servers that `keep` rejects.
    pub fn retain(&mut self, keep: impl Fn(&ServerName) -> bool) {
        self.stated.retain(|server, _| keep(server));
        self.demands.retain(|server, _| keep(server));
    }
}
