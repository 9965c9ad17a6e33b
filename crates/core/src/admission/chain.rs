//! Everything that may turn a request away, asked in one place.

use {
    super::{
        Admission, Demand, Gate, GateConfig, OperatorRoom, Part, Release, Ticket, Turn, even_share,
    },
    crate::{
        crash::{CrashConfig, CrashLog, Fingerprint},
        health::{Check, HealthConfig, PoolHealth},
        id::{OperatorName, ServerName, ServiceName},
        routing::{Point, Reason, RouteMap},
        time::Time,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// When a caller may come back whose operator has too much in progress.
const CROWDED_WAIT: Duration = Duration::from_secs(1);

/// A try that is about to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ask {
    /// Its service.
    pub service: ServiceName,
    /// Where it goes.
    pub server: ServerName,
    /// Names it among those that wait.
    pub ticket: Ticket,
    /// What makes it the same request when it is sent again.
    pub print: Fingerprint,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// When its caller stops waiting.
    pub deadline: Time,
}

/// How a try that was started has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TryEnd {
    /// An answer was read whole.
    Answered {
        /// Time from the write to the answer's head: the rest depends on how fast
        /// the caller reads.
        head: Duration,
    },
    /// The server refused it for lack of slots.
    Refused,
    /// The connection was lost, or none could be made.
    Lost(Point),
    /// No answer came in time, on a connection opened for the try or with the
    /// server to blame for another reason.
    TimedOut,
    /// Anything that says nothing about the server: the caller left, an old
    /// connection was silent, the epoch was refused, the write was withheld.
    Other,
}

/// Limits, health and crashes of one instance, shared by its traffic threads.
///
/// [`Self::set_map`] for each new revision. For a request: [`Self::enter`] once;
/// then [`Self::ask`] before each try, [`Self::end`] after each that was started,
/// [`Self::next`] until `None` after each end and whenever [`Self::wake`] has come;
/// and [`Self::leave`] once. What [`Self::ask`] or [`Self::next`] sheds goes to the
/// attempt as `Event::Denied`.
#[derive(Debug)]
pub struct Guards {
    gates: BTreeMap<ServerName, Gate>,
    pools: BTreeMap<ServiceName, PoolHealth>,
    room: OperatorRoom,
    /// Crashes, for the exchange with other instances and for operators.
    pub crashes: CrashLog,
}

impl Guards {
    /// Guards that allow so many requests in progress.
    pub fn new(room: usize) -> Self {
        Self {
            gates: BTreeMap::new(),
            pools: BTreeMap::new(),
            room: OperatorRoom::new(room),
            crashes: CrashLog::new(CrashConfig::STANDARD),
        }
    }

    /// Follows the rows. New servers begin with the even part of `listed`
    /// instances; those that stay keep their state.
    pub fn set_map(&mut self, map: &RouteMap, listed: usize, now: Time) {
        let mut old = std::mem::take(&mut self.gates);
        for row in map.servers() {
            let share = even_share(row.slots, listed);
            let new = || Gate::new(GateConfig::STANDARD, share, now);
            let gate = old.remove(&row.name).unwrap_or_else(new);
            self.gates.insert(row.name.clone(), gate);
        }
        let mut pools = std::mem::take(&mut self.pools);
        for service in map.services() {
            let name = &service.row.name;
            let new = || PoolHealth::new(HealthConfig::STANDARD);
            let mut pool = pools.remove(name).unwrap_or_else(new);
            let own = map.servers().iter().filter(|row| row.service == *name);
            pool.set_servers(own.map(|row| row.name.clone()));
            self.pools.insert(name.clone(), pool);
        }
    }

    /// A request begins; `false` if its operator has its part of the instance.
    pub fn enter(&mut self, operator: &OperatorName) -> bool {
        self.room.enter(operator)
    }

    /// A request that entered is over.
    pub fn leave(&mut self, operator: &OperatorName) {
        self.room.leave(operator);
    }

    /// What a caller is told whose request may not enter.
    pub fn crowded() -> Admission {
        Admission::Shed {
            reason: Reason::Crowded,
            wait: CROWDED_WAIT,
        }
    }

    /// Whether a try may be sent. The gate comes last, so that what is
    /// refused for another reason takes neither a slot nor the cap.
    pub fn ask(&mut self, ask: &Ask, now: Time) -> Admission {
        if let Some(wait) = self.crashes.refused(ask.print, now) {
            let reason = Reason::Quarantined;
            return Admission::Shed { reason, wait };
        }
        let pool = self.pools.get_mut(&ask.service);
        let check = pool.map(|pool| pool.check(&ask.server, ask.idempotent, now));
        if let Some(Check::Refuse { wait }) = check {
            let reason = Reason::Ejected;
            return Admission::Shed { reason, wait };
        }
        match self.gates.get_mut(&ask.server) {
            Some(gate) => gate.arrive(ask.ticket, ask.deadline, now),
            None => Admission::Start,
        }
    }

    /// A try that was started has ended, after so long. `label` names the request
    /// to operators if it crashes servers.
    pub fn end(&mut self, ask: &Ask, label: &str, end: TryEnd, held: Duration, now: Time) {
        let back = self.note_health(ask, end, now);
        match end {
            TryEnd::Answered { .. } => self.crashes.answered(ask.print, now),
            TryEnd::Lost(point) if !point.is_clean() => {
                self.crashes.crashed(ask.print, label, &ask.server, now);
            }
            _ => {}
        }
        let Some(gate) = self.gates.get_mut(&ask.server) else {
            return;
        };
        gate.end(release(end), held, now);
        if back {
            gate.set_cold(now);
        }
    }

    /// Takes the next waiting request of a server that may start, or that has to
    /// be refused.
    pub fn next(&mut self, server: &ServerName, now: Time) -> Option<Turn> {
        self.gates.get_mut(server)?.next(now)
    }

    /// When [`Self::next`] may have an answer without another event before.
    pub fn wake(&self, server: &ServerName, now: Time) -> Option<Time> {
        self.gates.get(server)?.wake(now)
    }

    /// The caller of a waiting request left.
    pub fn give_up(&mut self, ask: &Ask) {
        if let Some(gate) = self.gates.get_mut(&ask.server) {
            gate.leave(ask.ticket, ask.deadline);
        }
    }

    /// What to send to the other instances, once for each exchange.
    pub fn demands(&mut self, now: Time) -> BTreeMap<ServerName, Demand> {
        let gates = self.gates.iter_mut();
        gates
            .map(|(name, gate)| (name.clone(), gate.demand(now)))
            .collect()
    }

    /// Sets this instance's part of a server.
    pub fn set_part(&mut self, server: &ServerName, part: Part, now: Time) {
        if let Some(gate) = self.gates.get_mut(server) {
            gate.set_share(part.share, now);
            gate.set_cap(part.cap, now);
        }
    }

    /// The servers that are ejected, for the planner to move their shards.
    pub fn ejected(&self) -> impl Iterator<Item = &ServerName> {
        self.pools.values().flat_map(PoolHealth::ejected)
    }

    fn note_health(&mut self, ask: &Ask, end: TryEnd, now: Time) -> bool {
        let Some(pool) = self.pools.get_mut(&ask.service) else {
            return false;
        };
        match end {
            TryEnd::Answered { head } => pool.succeeded(&ask.server, head, now),
            TryEnd::Lost(_) | TryEnd::TimedOut => {
                pool.failed(&ask.server, now);
                false
            }
            TryEnd::Refused => {
                pool.alive(&ask.server);
                false
            }
            TryEnd::Other => false,
        }
    }
}

fn release(end: TryEnd) -> Release {
    match end {
        TryEnd::Answered { .. } => Release::Answered,
        TryEnd::Refused => Release::Refused,
        TryEnd::TimedOut => Release::TimedOut,
        TryEnd::Lost(_) | TryEnd::Other => Release::Other,
    }
}
