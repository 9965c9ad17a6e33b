//! A heartbeat.

use {
    super::{CrashesWire, Datagram, LoadWire, MAX_DATAGRAM_BYTES, byte_budget::ByteBudget},
    crate::relay::AgeWire,
    serde::{Deserialize, Serialize},
};

/// The most bytes by which the number of loads is longer than that of none.
const MAX_COUNT_BYTES: usize = 4;

/// Sent at fixed times, with what others need to know.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the sender.
    pub instance: String,
    /// Its start.
    pub start: u64,
    /// Its failure domain.
    pub domain: String,
    /// Its part of a processor, in percent.
    pub cpu: u32,
    /// Whether it is about to end.
    pub leaving: bool,
    /// Whether it acts as the planner.
    pub planning: bool,
    /// Whether the store answers it.
    pub store: bool,
    /// Versions of its tables, in the order in which instances watch them.
    pub versions: [u64; 3],
    /// How old they are.
    pub ages: [AgeWire; 3],
    /// Version of the row that names the planner it follows; 0 for none.
    pub leadership: u64,
    /// What it has at servers.
    pub loads: Vec<LoadWire>,
    /// Requests that crashed servers, if it knows of any.
    pub crashes: Option<CrashesWire>,
}

impl Heartbeat {
    /// As a datagram, with as much as fits of what it says of crashes and loads, the
    /// first of each first. What it says of its sender always fits.
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
