//! The ways that are compared.

use std::time::Duration;

/// How owners are kept apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Leases; a mover waits for every instance, with a grace.
    Leases,
    /// The same, but a majority of the domain's instances ends the wait early,
    /// and routing on grace needs a majority.
    Confirmers,
    /// Each instance hashes over the servers that it reaches; no leases.
    Modulo,
}

/// One way.
#[derive(Debug, Clone, Copy)]
pub struct Way {
    /// Name in the report.
    pub name: &'static str,
    /// What keeps owners apart.
    pub kind: Kind,
    /// The service's grace.
    pub grace: Duration,
}

const fn way(name: &'static str, kind: Kind, seconds: u64) -> Way {
    Way {
        name,
        kind,
        grace: Duration::from_secs(seconds),
    }
}

/// All ways.
pub const WAYS: [Way; 6] = [
    way("grace alone, 5 s", Kind::Leases, 5),
    way("grace alone, 30 s", Kind::Leases, 30),
    way("grace alone, 900 s", Kind::Leases, 900),
    way("confirmers, 900 s", Kind::Confirmers, 900),
    way("no grace", Kind::Leases, 0),
    way("modulo, no leases", Kind::Modulo, 0),
];
