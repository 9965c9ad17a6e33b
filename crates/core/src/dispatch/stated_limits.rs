//! Request rates that servers state in their responses, as one instance knows them.

use {
    super::permits::{Denial, PermitAnswer, PermitRequest, used_rate},
    crate::{admission::Rate, id::ServerName, time::Time},
    std::{collections::BTreeMap, time::Duration},
};

/// Age at which a statement expires. A server that no request reaches cannot withdraw its
/// limit.
const STATEMENT_TTL: Duration = Duration::from_secs(30);
/// By how much longer ago than it seems a server may have made a statement that a peer
/// reports: the time that a datagram takes, and waits to be read.
const REPORT_DELAY_MAX: Duration = Duration::from_millis(200);
/// Time without an answer after which an instance counts as cut off from the planner. A
/// planner that is lost is replaced within it.
const ISSUER_LOST_AFTER: Duration = Duration::from_secs(5);
/// Number of requests without an answer that this takes as well.
const ISSUER_LOST_REQUESTS: u32 = 5;
/// Time for which no permit is asked for, and Retry-After, if none was answered.
const UNANSWERED: Denial = Denial {
    retry_after: Duration::from_millis(500),
    pause: Duration::from_millis(200),
};

/// What a response says about the server's rate limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitStatement {
    /// The server takes this rate from all instances together.
    Limited(Rate),
    /// The server states no limit.
    Unlimited,
}

/// Statement that a server made to an instance, as instances report it to each other.
/// Statements are not relayed: their age would grow by less than the time they take on
/// their way.
#[derive(Debug, Clone, PartialEq)]
pub struct LimitReport {
    /// Name of the server.
    pub server: ServerName,
    /// Latest statement that the server made to the instance itself.
    pub statement: LimitStatement,
    /// Time since then.
    pub age: Duration,
}

/// Share of a limit that an instance uses by itself.
#[derive(Debug, Clone, Copy)]
pub struct EqualShare {
    /// Place of the instance among all, by name.
    pub rank: usize,
    /// Number of all instances that may be there.
    pub instances: usize,
}

impl EqualShare {
    /// Permits to begin with, different for each instance, so that all do not come to
    /// their first whole one together.
    fn first_permits(self) -> f64 {
        self.rank as f64 / self.instances.max(1) as f64
    }
}

/// Whether a request for a server may be sent.
#[derive(Debug, Clone, PartialEq)]
pub enum Admission {
    /// The server states no limit.
    Free,
    /// The request needs a permit.
    NeedsPermit(PermitRequest),
    /// There is no permit now; a rejected client should return after this time.
    Rejected(Duration),
}

/// Latest statement of one server, and the permits that were asked for since.
#[derive(Debug, Clone)]
struct Stated {
    statement: LimitStatement,
    stated_at: Time,
    /// Whether this instance received the response with the statement.
    is_heard: bool,
    /// Requests since a permit was last asked for.
    arrivals: u32,
    denial: Option<(Denial, Time)>,
    /// Permits that this instance has for itself while it is cut off from the planner.
    own_permits: f64,
    own_refilled: Time,
}

/// Requests for permits without an answer.
#[derive(Debug, Clone, Copy)]
struct Silence {
    since: Time,
    requests: u32,
}

/// Rate limits that servers state for all instances together.
///
/// An instance asks for a permit for each request to such a server
/// ([`PermitIssuer`](super::PermitIssuer)), and after a denial for none until the next one
/// can be issued. An instance that gets no answers for a while uses an equal share of the
/// limit by itself.
///
/// ```
/// use citron_core::{admission::Rate, dispatch::*, time::Time};
/// let mut limits = StatedLimits::default();
/// let server = "s-1".parse().unwrap();
/// assert_eq!(limits.admit(&server, Time::ZERO), Admission::Free);
/// limits.record_statement(&server, LimitStatement::Limited(Rate(2.0)), Time::ZERO);
/// let admission = limits.admit(&server, Time::ZERO);
/// assert!(matches!(admission, Admission::NeedsPermit(_)));
/// ```
#[derive(Debug, Default)]
pub struct StatedLimits {
    stated: BTreeMap<ServerName, Stated>,
    /// Requests for permits since the last answer.
    silence: Option<Silence>,
}

impl StatedLimits {
    /// Records the statement of a response that this instance received. Returns whether
    /// the limit has changed.
    pub fn record_statement(
        &mut self,
        server: &ServerName,
        statement: LimitStatement,
        now: Time,
    ) -> bool {
        self.update(server, statement, now, true)
    }

    /// Applies the report of another instance, sent at `sent`. Returns the limits that
    /// have changed.
    pub fn apply_report(
        &mut self,
        reports: Vec<LimitReport>,
        sent: Time,
    ) -> Vec<(ServerName, LimitStatement)> {
        let mut changed = Vec::new();
        for report in reports {
            if self.update(&report.server, report.statement, sent - report.age, false) {
                changed.push((report.server, report.statement));
            }
        }
        changed
    }

    /// Replaces the statement of a server by a later one. Returns whether the limit has
    /// changed.
    fn update(
        &mut self,
        server: &ServerName,
        statement: LimitStatement,
        stated_at: Time,
        is_heard: bool,
    ) -> bool {
        let is_limited = statement != LimitStatement::Unlimited;
        let Some(stated) = self.stated.get_mut(server) else {
            if is_limited {
                let stated = Stated {
                    statement,
                    stated_at,
                    is_heard,
                    arrivals: 0,
                    denial: None,
                    own_permits: 0.0,
                    own_refilled: stated_at,
                };
                self.stated.insert(server.clone(), stated);
            }
            return is_limited;
        };
        // A report that took long must not withdraw a limit that was stated meanwhile.
        let margin = match is_heard || is_limited {
            true => Duration::ZERO,
            false => REPORT_DELAY_MAX,
        };
        if stated.stated_at + margin > stated_at {
            return false;
        }
        let is_changed = stated.statement != statement;
        stated.statement = statement;
        stated.stated_at = stated_at;
        stated.is_heard = is_heard;
        is_changed
    }

    /// Decides whether a request may be sent to a server.
    pub fn admit(&mut self, server: &ServerName, now: Time) -> Admission {
        let Some(limit) = self.limit(server, now) else {
            return Admission::Free;
        };
        let Some(stated) = self.stated.get_mut(server) else {
            return Admission::Free;
        };
        stated.arrivals += 1;
        if let Some((denial, until)) = stated.denial
            && now < until
        {
            return Admission::Rejected(denial.retry_after);
        }
        Admission::NeedsPermit(PermitRequest {
            server: server.clone(),
            limit,
            arrivals: std::mem::take(&mut stated.arrivals),
        })
    }

    /// Records the answer to a request for a permit.
    ///
    /// # Errors
    /// The time after which a rejected client should return.
    pub fn record_answer(
        &mut self,
        server: &ServerName,
        answer: PermitAnswer,
        now: Time,
    ) -> Result<(), Duration> {
        self.silence = None;
        match answer {
            PermitAnswer::Granted => Ok(()),
            PermitAnswer::Denied(denial) => self.deny(server, denial, now),
        }
    }

    /// Records that a request for a permit was not answered. `share` is this instance's
    /// part of a limit while it is cut off from the planner.
    ///
    /// # Errors
    /// The time after which a rejected client should return.
    pub fn record_silence(
        &mut self,
        server: &ServerName,
        share: EqualShare,
        now: Time,
    ) -> Result<(), Duration> {
        let silence = self.silence.get_or_insert(Silence {
            since: now,
            requests: 0,
        });
        silence.requests += 1;
        let is_cut_off =
            now - silence.since >= ISSUER_LOST_AFTER && silence.requests >= ISSUER_LOST_REQUESTS;
        if is_cut_off && self.take_own_permit(server, share, now) {
            return Ok(());
        }
        if let Some(stated) = self.stated.get_mut(server).filter(|_| !is_cut_off) {
            stated.own_permits = share.first_permits();
            stated.own_refilled = now;
        }
        self.deny(server, UNANSWERED, now)
    }

    fn deny(&mut self, server: &ServerName, denial: Denial, now: Time) -> Result<(), Duration> {
        if let Some(stated) = self.stated.get_mut(server) {
            stated.denial = Some((denial, now + denial.pause));
        }
        Err(denial.retry_after)
    }

    /// Takes a permit of this instance's own share of a limit, of which at most one is
    /// saved up.
    fn take_own_permit(&mut self, server: &ServerName, share: EqualShare, now: Time) -> bool {
        let Some(limit) = self.limit(server, now) else {
            return true;
        };
        let Some(stated) = self.stated.get_mut(server) else {
            return true;
        };
        let rate = used_rate(limit).0 / share.instances.max(1) as f64;
        let elapsed = (now - stated.own_refilled).as_secs_f64();
        stated.own_permits = (stated.own_permits + rate * elapsed).min(1.0);
        stated.own_refilled = now;
        let is_granted = stated.own_permits >= 1.0;
        if is_granted {
            stated.own_permits -= 1.0;
        }
        is_granted
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

    /// Statements that this instance received and that have not expired, to be reported to
    /// others, the latest first.
    pub fn reports(&self, now: Time) -> Vec<LimitReport> {
        let heard = self.stated.iter().filter(|(_, stated)| stated.is_heard);
        let reported = heard.map(|(server, stated)| LimitReport {
            server: server.clone(),
            statement: stated.statement,
            age: now - stated.stated_at,
        });
        let mut reported: Vec<LimitReport> = reported
            .filter(|report| report.age < STATEMENT_TTL)
            .collect();
        reported.sort_by_key(|report| report.age);
        reported
    }

    /// Removes servers that `keep` rejects.
    pub fn retain(&mut self, keep: impl Fn(&ServerName) -> bool) {
        self.stated.retain(|server, _| keep(server));
    }
}
