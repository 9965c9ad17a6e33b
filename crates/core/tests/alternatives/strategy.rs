//! The strategies that are compared.

use std::time::Duration;

/// How ownership is decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Strategy {
    /// (a) All listed routers of the owner's domain acknowledge, or the grace ends. These are
    /// the production rules, unchanged.
    AllAcknowledge,
    /// (a), where an instance forwards a request that it may not route itself to an instance in
    /// the owner's domain. The ownership rules are those of (a); forwarding exists only in this
    /// test.
    Forwarding,
    /// (a') A majority of the confirmers of a domain confirms leases and acknowledges releases.
    /// This variant exists only in this test, which implements its rounds of votes and its
    /// wait.
    Majority,
    /// (b) One router for each backend server; no other instance routes to that server.
    RouterPerServer,
    /// (c) The production rules with a grace of zero: no serving after the confirmation ends.
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

    /// Name of the strategy in the result table.
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

    /// Graces that are tried, in seconds.
    pub fn grace_seconds(self) -> &'static [u64] {
        match self {
            Self::NoGrace | Self::Modulo => &[0],
            _ => &[30, 300],
        }
    }

    /// Whether a request is served if any instance in reach of its caller can serve it.
    pub fn forwards(self) -> bool {
        matches!(self, Self::Forwarding | Self::RouterPerServer)
    }

    /// Number of instances; one more than the servers at the start where each server, also the
    /// one that joins, has its own router.
    pub fn instance_count(self) -> usize {
        match self {
            Self::RouterPerServer => super::cluster::SERVER_COUNT + 1,
            _ => 9,
        }
    }
}

/// One strategy with one grace in one scenario.
#[derive(Debug, Clone, Copy)]
pub struct Trial {
    /// The scenario.
    pub scenario: super::scenario::Scenario,
    /// The strategy.
    pub strategy: Strategy,
    /// Time from the start of its last read of the platform for which an instance may continue
    /// to route to servers of its own domain.
    pub grace: Duration,
    /// Deliberate fault in strategy (a'): one vote, such as the instance's own, counts as a
    /// majority.
    pub accepts_single_vote: bool,
}
