//! A heartbeat.

use {
    super::{CrashesWire, DATAGRAM_MAX, Datagram, LoadWire, byte_budget::Room},
    crate::relay::AgeWire,
    serde::{Deserialize, Serialize},
};

/// The most bytes by which the number of loads is longer than that of none.
const COUNT_MAX: usize = 4;

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
    pub fn encode_fitting(mut self) -> Option<Vec<u8>> {
        let crashes = self.crashes.take();
        let loads = std::mem::take(&mut self.loads);
        let bare = Datagram::Heartbeat(self.clone()).encode()?;
        let mut room = Room::of(DATAGRAM_MAX.saturating_sub(bare.len() + COUNT_MAX));
        self.crashes = crashes.and_then(|crashes| crashes.cut(&mut room));
        self.loads = room.fill(loads);
        Datagram::Heartbeat(self).encode()
    }
}
