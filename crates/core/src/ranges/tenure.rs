//! How long a planner may act while the store does not confirm its leadership.

use {
    super::LeaseTimes,
    crate::{
        freshness::{HeartbeatSchedule, Sender},
        id::{Incarnation, InstanceId},
        time::Time,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Shortest time for which a planner acts after its last confirmation.
const UNCONFIRMED_MIN: Duration = Duration::from_secs(1);
/// Heartbeats of an instance in another failure domain that may be lost in a row without an end
/// of the planner's confirmation.
const HEARTBEATS_MIN: u32 = 3;
/// Longest time between sending and receiving a heartbeat.
const HEARTBEAT_DELAY_MAX: Duration = Duration::from_millis(500);
/// Processes of instances whose heartbeats confirm a planner's leadership while the store does
/// not answer. A planner names them in its claim.
///
/// More than half of them must confirm it. Once too few are left that do not follow another planner
/// and have not ended, it acts no longer than [`Witnesses::stop_delay`], whether or not it is heard.
///
/// ```
/// use {
///     citron_core::{id::Incarnation, ranges::Witnesses, time::Time},
///     std::time::Duration,
/// };
/// let names = ["n-2", "n-3", "n-4"];
/// let processes = names.map(|name| (name.parse().unwrap(), Incarnation(7)));
/// let witnesses = Witnesses::new(processes, Duration::from_secs(1));
/// let heard = |millis: u64| Some(Time::from_micros(millis * 1_000));
/// let last_heard = |name: &str| match name {
///     "n-2" => heard(900),
///     "n-3" => heard(700),
///     _ => None,
/// };
/// let confirmed = witnesses.confirmed_at(|name, _| last_heard(name.as_str()));
/// assert_eq!(confirmed, heard(700));
/// assert!(witnesses.may_confirm(|name, _| name.as_str() == "n-2"));
/// assert!(!witnesses.may_confirm(|name, _| name.as_str() != "n-2"));
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Witnesses {
    processes: BTreeMap<InstanceId, Incarnation>,
    /// How long the planner acts after its last confirmation.
    act_limit: Duration,
}

impl Witnesses {
    /// Creates the witnesses of a planner that acts for `act_limit` after a confirmation.
    pub fn new(
        processes: impl IntoIterator<Item = (InstanceId, Incarnation)>,
        act_limit: Duration,
    ) -> Self {
        Self {
            processes: processes.into_iter().collect(),
            act_limit,
        }
    }

    /// The processes, in the order of their names.
    pub fn processes(&self) -> impl Iterator<Item = (&InstanceId, Incarnation)> {
        self.processes
            .iter()
            .map(|(name, process)| (name, *process))
    }

    /// How long the planner acts after its last confirmation.
    pub fn act_limit(&self) -> Duration {
        self.act_limit
    }

    /// Longest time for which the planner acts once too few witnesses can confirm it.
    pub fn stop_delay(&self) -> Duration {
        self.act_limit + HEARTBEAT_DELAY_MAX
    }

    /// Time as of which more than half of the witnesses have confirmed the planner; `None` if
    /// there was no such time. `last_confirmed` is when a process last did.
    pub fn confirmed_at(
        &self,
        last_confirmed: impl Fn(&InstanceId, Incarnation) -> Option<Time>,
    ) -> Option<Time> {
        let times = self.processes();
        let times = times.filter_map(|(name, process)| last_confirmed(name, process));
        let mut times: Vec<Time> = times.collect();
        times.sort_by(|a, b| b.cmp(a));
        times.get(self.quorum() - 1).copied()
    }

    /// Whether enough witnesses are left to confirm the planner, apart from those of which
    /// `has_stopped` tells that they never will again.
    pub fn may_confirm(&self, has_stopped: impl Fn(&InstanceId, Incarnation) -> bool) -> bool {
        let left = self.processes();
        let left = left.filter(|(name, process)| !has_stopped(name, *process));
        left.count() >= self.quorum()
    }

    fn quorum(&self) -> usize {
        self.processes.len() / 2 + 1
    }
}

/// How long a planner acts after its last confirmation, if its heartbeats follow `schedule`.
/// Longer with more instances, whose heartbeats are rarer.
///
/// ```
/// use {
///     citron_core::{freshness::HeartbeatSchedule, ranges::{LeaseTimes, act_limit}},
///     std::time::Duration,
/// };
/// let times = LeaseTimes::STANDARD;
/// let few = act_limit(HeartbeatSchedule::for_instances(9), &times);
/// assert_eq!(few, Duration::from_secs(1));
/// let many = act_limit(HeartbeatSchedule::for_instances(70), &times);
/// assert_eq!(many, Duration::from_secs(10));
/// ```
pub fn act_limit(schedule: HeartbeatSchedule, times: &LeaseTimes) -> Duration {
    let heartbeats = schedule.interval(Sender::OtherDomain) * HEARTBEATS_MIN;
    let delayed = heartbeats + schedule.interval(Sender::SameDomain);
    UNCONFIRMED_MIN.max(delayed).min(times.outage_limit)
}

/// Time for which a planner may act: for a short time after the store or most of its witnesses
/// confirmed it, and for a limited time after the store did.
///
/// A planner that names no witnesses acts for the longer time, and its successors wait for that.
///
/// ```
/// use {
///     citron_core::{
///         id::Incarnation, ranges::{LeaseTimes, Tenure, Witnesses}, time::Time,
///     },
///     std::time::Duration,
/// };
/// let at = |millis: u64| Time::from_micros(millis * 1_000);
/// let witnesses = Witnesses::new(
///     ["n-2", "n-3"].map(|name| (name.parse().unwrap(), Incarnation(7))),
///     Duration::from_secs(1),
/// );
/// let mut tenure = Tenure::new(Some(witnesses), &LeaseTimes::STANDARD);
/// tenure.record_store(at(8_000));
/// assert_eq!(tenure.end(), at(9_000));
/// tenure.record_witnesses(|_, _| Some(at(8_900)));
/// assert_eq!(tenure.end(), at(9_900));
/// ```
#[derive(Debug)]
pub struct Tenure {
    witnesses: Option<Witnesses>,
    outage_limit: Duration,
    /// Last confirmation by the store.
    by_store: Time,
    /// Last confirmation by the store or by witnesses.
    last: Time,
}

impl Tenure {
    /// Begins with a claim that names these witnesses.
    pub fn new(witnesses: Option<Witnesses>, times: &LeaseTimes) -> Self {
        Self {
            witnesses,
            outage_limit: times.outage_limit,
            by_store: Time::ZERO,
            last: Time::ZERO,
        }
    }

    /// Records that the store confirmed the leadership in a call begun at `started`.
    pub fn record_store(&mut self, started: Time) {
        self.by_store = self.by_store.max(started);
        self.last = self.last.max(started);
    }

    /// Records when each witness last confirmed the leadership.
    pub fn record_witnesses(
        &mut self,
        last_confirmed: impl Fn(&InstanceId, Incarnation) -> Option<Time>,
    ) {
        let witnesses = self.witnesses.as_ref();
        let confirmed = witnesses.and_then(|witnesses| witnesses.confirmed_at(last_confirmed));
        self.last = self.last.max(confirmed.unwrap_or_default());
    }

    /// Time from which on the planner does not act, unless it is confirmed before.
    pub fn end(&self) -> Time {
        let latest = self.by_store + self.outage_limit;
        let witnesses = self.witnesses.as_ref();
        witnesses.map_or(latest, |witnesses| {
            latest.min(self.last + witnesses.act_limit)
        })
    }
}
