//! The heartbeat of an instance.

use {
    super::{CrashesWire, Datagram, LoadWire, MAX_DATAGRAM_BYTES, byte_budget::ByteBudget},
    crate::relay::AgeWire,
    citron_core::dispatch::Reachability,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Largest number of extra bytes that the encoded length of the load list takes, compared
/// with that of an empty list.
const MAX_COUNT_BYTES: usize = 4;

/// State of an instance, sent to all other instances at a fixed interval.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the sender.
    pub instance: String,
    /// Incarnation of the sender.
    pub start: u64,
    /// Failure domain of the sender.
    pub domain: String,
    /// CPU share of the sender, in percent of one core.
    pub cpu: u32,
    /// Whether the sender is shutting down.
    pub leaving: bool,
    /// Whether the sender acts as the planner.
    pub planning: bool,
    /// Whether the store responds to the sender.
    pub store: bool,
    /// Versions of the sender's tables, in the order in which instances watch them.
    pub versions: [u64; 3],
    /// Ages of these tables.
    pub ages: [AgeWire; 3],
    /// Version of the row that names the planner the sender follows; 0 if there is none.
    pub leadership: u64,
    /// Loads that the sender causes at backend servers.
    pub loads: Vec<LoadWire>,
    /// Crash counts, if the sender knows any.
    pub crashes: Option<CrashesWire>,
    /// Whether backend servers respond to the sender.
    pub reach: ReachWire,
    /// Address on which the sender takes requests of callers from other instances.
    pub detour: Option<SocketAddr>,
}

/// Whether backend servers respond to an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReachWire {
    /// The instance has sent nothing lately.
    Unknown,
    /// They do.
    Reached,
    /// Half of them or more do not.
    CutOff,
}

impl From<Reachability> for ReachWire {
    fn from(reach: Reachability) -> Self {
        match reach {
            Reachability::Unknown => Self::Unknown,
            Reachability::Reached => Self::Reached,
            Reachability::CutOff => Self::CutOff,
        }
    }
}

impl Heartbeat {
    /// Encodes the heartbeat as one datagram. Crash counts and loads that do not fit are
    /// dropped from the end of their lists; the state of the sender itself always fits.
    pub fn encode_truncated(mut self) -> Option<Vec<u8>> {
        let crashes = self.crashes.take();
        let loads = std::mem::take(&mut self.loads);
        let bare = Datagram::Heartbeat(self.clone()).encode()?;
        let mut budget =
            ByteBudget::new(MAX_DATAGRAM_BYTES.saturating_sub(bare.len() + MAX_COUNT_BYTES));
        self.crashes = crashes.and_then(|crashes| crashes.truncate_to(&mut budget));
        self.loads = budget.take_fitting(loads);
        Datagram::Heartbeat(self).encode()
    }
}
