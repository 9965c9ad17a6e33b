//! Reports of crashes that instances exchange.

use {
    super::Fingerprint,
    crate::id::{Incarnation, InstanceId},
    std::time::Duration,
};

/// Crashes of one fingerprint that one instance counted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashCount {
    /// Fingerprint of the requests.
    pub fingerprint: Fingerprint,
    /// Method and path, for operators.
    pub label: String,
    /// Crashes with such a request in flight.
    pub crashes: u32,
    /// Time since the last crash.
    pub age: Duration,
}

/// End of a quarantine: crashes up to some time no longer count, as an operator lifted it
/// or such a request was answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lift {
    /// Fingerprint of the requests.
    pub fingerprint: Fingerprint,
    /// Time since the lift.
    pub age: Duration,
}

/// Report of one incarnation of an instance, passed on by another instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayedReport {
    /// Name of the instance that reported.
    pub instance: InstanceId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Sequence number of its latest report.
    pub number: u64,
    /// Crashes that it counted, of fingerprints that a further crash may put into
    /// quarantine.
    pub counts: Vec<CrashCount>,
    /// Lifts that began at it.
    pub lifts: Vec<Lift>,
}

/// Crashes and lifts that one incarnation of an instance reports. A later report replaces
/// an earlier one, so that duplicate or delayed reports count once.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct CrashReport {
    /// Sequence number of the report within the incarnation.
    pub number: u64,
    /// Crashes that the instance counted.
    pub counts: Vec<CrashCount>,
    /// Lifts that began at the instance.
    pub lifts: Vec<Lift>,
    /// Reports of other instances that this one passes on.
    pub relayed: Vec<RelayedReport>,
}

impl CrashReport {
    /// Whether the report tells nothing.
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty() && self.lifts.is_empty() && self.relayed.is_empty()
    }
}

/// A fingerprint with its crashes, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashEntry {
    /// Fingerprint of the requests.
    pub fingerprint: Fingerprint,
    /// Method and path.
    pub label: String,
    /// Crashes over all instances.
    pub crashes: u32,
    /// Remaining time of the quarantine; `None` if such requests are not refused.
    pub refused: Option<Duration>,
}
