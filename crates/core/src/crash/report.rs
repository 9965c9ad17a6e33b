//! What instances tell each other about crashes.

use {super::Fingerprint, std::time::Duration};

/// One fingerprint as one instance saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashCount {
    /// Which requests.
    pub fingerprint: Fingerprint,
    /// Method and path, for operators.
    pub label: String,
    /// Connections that died with such a request in flight.
    pub crashes: u32,
    /// Time since the last crash.
    pub age: Duration,
}

/// That crashes up to some time do not count: an operator let the requests through
/// again, or one of them was answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lift {
    /// Which requests.
    pub fingerprint: Fingerprint,
    /// Time since.
    pub age: Duration,
}

/// All that one start of one instance has counted. A later report replaces an
/// earlier one, so that a report that comes twice or late counts once.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct CrashReport {
    /// Counts the reports of one start.
    pub number: u64,
    /// What it counted.
    pub counts: Vec<CrashCount>,
    /// The lifts that it knows of.
    pub lifts: Vec<Lift>,
}

/// A fingerprint as an operator sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashEntry {
    /// Which requests.
    pub fingerprint: Fingerprint,
    /// Method and path.
    pub label: String,
    /// Crashes over all instances.
    pub crashes: u32,
    /// How much longer such requests are refused; `None` if they are not.
    pub refused: Option<Duration>,
}
