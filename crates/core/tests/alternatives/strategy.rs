//! The ways that are weighed.

use std::time::Duration;

/// How ownership is decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Strategy {
    /// (a) All listed routers of the owner's domain acknowledge, or grace ends.
    /// The production rules as they are.
    AllAcknowledge,
    /// (a) whose instances hand a request that they may not route themselves to
    /// one of the owner's domain. The ownership rules are those of (a); the
    /// hand-over exists in this test only.
    Forwarding,
    /// (a') A majority of a domain's confirmers. A variant that exists in this
    /// test only: its rounds and its wait are written here.
    Majority,
    /// (b) One router for each backend server, and no other routes to it.
    RouterPerServer,
    /// (c) No serving past the confirmation: production rules without grace.
    NoGrace,
    /// Plain modulo hashing over the servers that each instance reaches.
    Modulo,
}

impl Strategy {
    pub const ALL: [Self; 6] = [
        Self::AllAcknowledge,
        Self::Forwarding,
        Self::Majority,
        Self::RouterPerServer,
        Self::NoGrace,
        Self::Modulo,
    ];

    pub fn title(self) -> &'static str {
        match self {
            Self::AllAcknowledge => "(a) all acknowledge",
            Self::Forwarding => "(a) handing on",
            Self::Majority => "(a') majority",
            Self::RouterPerServer => "(b) router a server",
            Self::NoGrace => "(c) no grace",
            Self::Modulo => "modulo, no lease",
        }
    }

    /// The graces to try, in seconds.
    pub fn grace_seconds(self) -> &'static [u64] {
        match self {
            Self::NoGrace | Self::Modulo => &[0],
            _ => &[30, 300],
        }
    }

    /// Whether a caller is served if any instance in reach can serve it.
    pub fn forwards(self) -> bool {
        matches!(self, Self::Forwarding | Self::RouterPerServer)
    }

    pub fn instance_count(self) -> usize {
        match self {
            Self::RouterPerServer => super::cluster::SERVER_COUNT + 1,
            _ => 9,
        }
    }
}

/// One way in one scenario.
#[derive(Debug, Clone, Copy)]
pub struct Trial {
    pub scenario: super::scenario::Scenario,
    pub strategy: Strategy,
    pub grace: Duration,
    /// Way (a') broken on purpose: an instance's own vote is a majority.
    pub accepts_single_vote: bool,
}
