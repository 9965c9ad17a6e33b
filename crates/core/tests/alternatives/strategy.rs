//! The ways that are weighed.

use std::time::Duration;

/// How ownership is decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// (a) All listed routers of the owner's domain acknowledge, or grace ends.
    /// The production rules as they are.
    Grace,
    /// (a) whose instances hand a request that they may not route themselves to
    /// one of the owner's domain. The ownership rules are those of (a); the
    /// hand-over exists in this test only.
    Handing,
    /// (a') A majority of a domain's confirmers. A variant that exists in this
    /// test only: its rounds and its wait are written here.
    Majority,
    /// (b) One router for each backend server, and no other routes to it.
    Router,
    /// (c) No serving past the confirmation: production rules without grace.
    NoGrace,
    /// Plain modulo hashing over the servers that each instance reaches.
    Modulo,
}

impl Way {
    pub const ALL: [Self; 6] = [
        Self::Grace,
        Self::Handing,
        Self::Majority,
        Self::Router,
        Self::NoGrace,
        Self::Modulo,
    ];

    pub fn title(self) -> &'static str {
        match self {
            Self::Grace => "(a) all acknowledge",
            Self::Handing => "(a) handing on",
            Self::Majority => "(a') majority",
            Self::Router => "(b) router a server",
            Self::NoGrace => "(c) no grace",
            Self::Modulo => "modulo, no lease",
        }
    }

    /// The graces to try, in seconds.
    pub fn graces(self) -> &'static [u64] {
        match self {
            Self::NoGrace | Self::Modulo => &[0],
            _ => &[30, 300],
        }
    }

    /// Whether a caller is served if any instance in reach can serve it.
    pub fn hands_on(self) -> bool {
        matches!(self, Self::Handing | Self::Router)
    }

    pub fn instances(self) -> usize {
        match self {
            Self::Router => super::cluster::SERVERS + 1,
            _ => 9,
        }
    }
}

/// One way in one scenario.
#[derive(Debug, Clone, Copy)]
pub struct Trial {
    pub scenario: super::scenario::Scenario,
    pub way: Way,
    pub grace: Duration,
    /// Way (a') broken on purpose: an instance's own vote is a majority.
    pub lone: bool,
}
