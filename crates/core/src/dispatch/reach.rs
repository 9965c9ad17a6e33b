//! Whether this instance reaches the backend servers.

use {
    crate::{id::ServerName, time::Time},
    std::{cmp::Reverse, collections::BTreeMap, time::Duration},
};

/// Number of servers that have to refuse connections or leave them unanswered, and the time
/// without a response of any server, for this instance to suspect its own links. Both are
/// ordinary where servers end and requests are few and long, so that servers are checked
/// before anything is concluded.
const UNREACHABLE_SERVERS: usize = 2;
const UNREACHABLE_TIME: Duration = Duration::from_millis(100);
/// The same for servers that close connections or are silent, as overloaded ones do too.
const FAILING_SERVERS: usize = 3;
const FAILING_TIME: Duration = Duration::from_secs(1);
/// Time for which a cut has to last before requests are rejected for it.
const CONFIRMED_AFTER: Duration = Duration::from_millis(500);
/// Time after which a refused connection proves a crash although nothing was sent to another
/// server since.
const CRASH_DOUBT_MAX: Duration = Duration::from_secs(1);
/// Time for which the last result at a server counts.
const RESULT_TTL: Duration = Duration::from_secs(10);
/// Time after a response for which the servers count as reached.
const REACHED_TTL: Duration = Duration::from_secs(2);

/// What an instance knows of its links to the servers, as it tells other instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reachability {
    /// Nothing was sent lately.
    Unknown,
    /// Servers respond to this instance.
    Reached,
    /// Half of the servers or more do not respond to this instance.
    CutOff,
}

/// What an instance concludes about its own links to the servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Links {
    /// Servers respond, or nothing says that they do not.
    Sound,
    /// Several servers have failed and none has responded since. Servers have to be checked.
    Suspected,
    /// None of the servers that were checked responded.
    CutOff,
}

/// How a server failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// It refused a connection, or left it unanswered.
    Unreachable,
    /// It closed a connection, or did not respond for a while.
    Failing,
}

/// Last results of requests, orders and checks at servers.
///
/// One server that does not respond has failed. Servers that fail one after the other while
/// none responds are either servers that end together, or beyond a cut of this instance's
/// links, which neither the store nor the heartbeats of other instances show. Only servers
/// that should respond, and do not when they are checked, tell the two apart.
///
/// ```
/// use {citron_core::{dispatch::*, time::Time}, std::time::Duration};
/// let at = |millis| Time::ZERO + Duration::from_millis(millis);
/// let mut reach = Reach::default();
/// reach.record_response(&"s-1".parse().unwrap(), at(100));
/// reach.record_failure(&"s-1".parse().unwrap(), Failure::Unreachable, at(110), at(120));
/// reach.record_failure(&"s-2".parse().unwrap(), Failure::Unreachable, at(130), at(400));
/// assert_eq!(reach.links(), Links::Suspected);
/// assert!(reach.record_failed_checks(at(400), at(410)));
/// assert!(reach.is_cut_off());
/// reach.record_response(&"s-3".parse().unwrap(), at(500));
/// assert!(!reach.is_cut_off());
/// assert_eq!(reach.state(at(500)), Reachability::CutOff);
/// reach.record_response(&"s-2".parse().unwrap(), at(510));
/// assert_eq!(reach.state(at(510)), Reachability::Reached);
/// ```
#[derive(Debug, Default)]
pub struct Reach {
    last_response: Option<Time>,
    servers: BTreeMap<ServerName, ServerEvidence>,
    is_suspected: bool,
    cut_off_since: Option<Time>,
}

/// What is known of one server.
#[derive(Debug, Clone, Copy)]
struct ServerEvidence {
    /// How the server failed last; `None` if it has responded since.
    failure: Option<Failure>,
    /// Whether an instance of another failure domain did not reach the server either, so that
    /// its failure says nothing of this instance's links.
    has_ended: bool,
    at: Time,
    last_response: Option<Time>,
}

impl ServerEvidence {
    /// Failure that may be due to this instance's links.
    fn own_failure(&self) -> Option<Failure> {
        self.failure.filter(|_| !self.has_ended)
    }
}

impl Reach {
    /// Records a response of a server, whatever its status. Returns whether it ends a
    /// suspicion or a cut.
    pub fn record_response(&mut self, server: &ServerName, now: Time) -> bool {
        self.last_response = Some(now);
        let evidence = self.evidence(server, now);
        evidence.failure = None;
        evidence.has_ended = false;
        evidence.last_response = Some(now);
        let ends = self.links() != Links::Sound;
        self.is_suspected = false;
        self.cut_off_since = None;
        ends
    }

    /// Records that an attempt at a server failed, which began at `started`. Returns whether a
    /// suspicion begins.
    pub fn record_failure(
        &mut self,
        server: &ServerName,
        failure: Failure,
        started: Time,
        now: Time,
    ) -> bool {
        self.evidence(server, now).failure = Some(failure);
        if self.links() != Links::Sound || !self.is_since_response(started) {
            return false;
        }
        let failures = self.recent(now);
        let failures = failures.filter(|evidence| self.is_since_response(evidence.at));
        let failures: Vec<Failure> = failures.filter_map(ServerEvidence::own_failure).collect();
        let is_unreachable = |failure: &&Failure| **failure == Failure::Unreachable;
        let unreachable = failures.iter().filter(is_unreachable);
        let quiet = now - self.last_response.unwrap_or(started);
        let begins = (unreachable.count() >= UNREACHABLE_SERVERS && quiet >= UNREACHABLE_TIME)
            || (failures.len() >= FAILING_SERVERS && quiet >= FAILING_TIME);
        self.is_suspected = begins;
        begins
    }

    /// Records that a server has not responded for a while to what was sent at `started`.
    /// It may be slow, so that this counts only if no other server has responded since
    /// either. Returns whether a suspicion begins.
    pub fn record_silence(
        &mut self,
        server: &ServerName,
        failure: Failure,
        started: Time,
        now: Time,
    ) -> bool {
        self.is_since_response(started) && self.record_failure(server, failure, started, now)
    }

    /// Records that an instance of another failure domain does not reach the server either.
    pub fn record_ended(&mut self, server: &ServerName, now: Time) {
        self.evidence(server, now).has_ended = true;
    }

    /// Records that no server has responded to checks that began at `started`. Returns
    /// whether a cut begins: not if another server has responded meanwhile.
    pub fn record_failed_checks(&mut self, started: Time, now: Time) -> bool {
        let begins = self.links() == Links::Suspected && self.is_since_response(started);
        if begins {
            self.cut_off_since = Some(now);
        }
        begins
    }

    /// Servers that should respond if the links are sound: the last to have responded come
    /// first, those that have failed since last.
    pub fn by_last_response(&self) -> Vec<&ServerName> {
        let mut servers: Vec<_> = self.servers.iter().collect();
        servers.sort_by_key(|(_, evidence)| {
            (evidence.failure.is_some(), Reverse(evidence.last_response))
        });
        servers.into_iter().map(|(server, _)| server).collect()
    }

    /// Drops servers that are not listed any more; their failures say nothing of the links.
    pub fn retain(&mut self, keep: impl Fn(&ServerName) -> bool) {
        self.servers.retain(|server, _| keep(server));
    }

    fn is_since_response(&self, at: Time) -> bool {
        self.last_response.is_none_or(|response| at >= response)
    }

    /// Evidence on a server, with the time of the last result set to `now`.
    fn evidence(&mut self, server: &ServerName, now: Time) -> &mut ServerEvidence {
        if !self.servers.contains_key(server) {
            let is_recent = |evidence: &ServerEvidence| now - evidence.at < RESULT_TTL;
            self.servers.retain(|_, evidence| is_recent(evidence));
        }
        let evidence = self.servers.entry(server.clone());
        let evidence = evidence.or_insert(ServerEvidence {
            failure: None,
            has_ended: false,
            at: now,
            last_response: None,
        });
        evidence.at = now;
        evidence
    }

    fn recent(&self, now: Time) -> impl Iterator<Item = &ServerEvidence> {
        let evidence = self.servers.values();
        evidence.filter(move |evidence| now - evidence.at < RESULT_TTL)
    }

    /// What this instance concludes about its own links.
    pub fn links(&self) -> Links {
        match (self.cut_off_since, self.is_suspected) {
            (Some(_), _) => Links::CutOff,
            (None, true) => Links::Suspected,
            (None, false) => Links::Sound,
        }
    }

    /// Whether no server responds to this instance.
    pub fn is_cut_off(&self) -> bool {
        self.links() == Links::CutOff
    }

    /// Whether no server has responded for so long, checks of this instance included, that
    /// there is no point in sending a request.
    pub fn is_surely_cut_off(&self, now: Time) -> bool {
        self.cut_off_since
            .is_some_and(|since| now - since >= CONFIRMED_AFTER)
    }

    /// Whether a connection that was refused at `refused_at` proves that its server has
    /// ended. `None` while that is not known: the links of this instance may refuse all
    /// connections, which shows as soon as another server responds or fails.
    pub fn confirms_crash(&self, refused_at: Time, now: Time) -> Option<bool> {
        match self.links() {
            Links::CutOff => return Some(false),
            Links::Suspected => return None,
            Links::Sound => {}
        }
        let has_response = self.last_response.is_some_and(|at| at >= refused_at);
        (has_response || now - refused_at >= CRASH_DOUBT_MAX).then_some(true)
    }

    /// What this instance tells others about its links.
    pub fn state(&self, now: Time) -> Reachability {
        let is_unreachable =
            |evidence: &&ServerEvidence| evidence.own_failure() == Some(Failure::Unreachable);
        let unreachable = self.recent(now).filter(is_unreachable).count();
        let is_majority = 2 * unreachable >= self.recent(now).count();
        if self.is_cut_off() || (unreachable >= UNREACHABLE_SERVERS && is_majority) {
            return Reachability::CutOff;
        }
        match self.last_response {
            Some(at) if now - at < REACHED_TTL => Reachability::Reached,
            _ => Reachability::Unknown,
        }
    }
}
