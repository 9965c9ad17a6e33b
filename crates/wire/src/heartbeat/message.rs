//! A heartbeat.

use {
    super::{CrashesWire, DATAGRAM_MAX, Datagram, LoadWire},
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
    /// As a datagram, with as many of the loads as fit, the first ones first.
    pub fn encode_fitting(mut self) -> Option<Vec<u8>> {
        let loads = std::mem::take(&mut self.loads);
        let bare = Datagram::Heartbeat(self.clone()).encode()?;
        let mut left = DATAGRAM_MAX.saturating_sub(bare.len() + COUNT_MAX);
        let fits = |load: &LoadWire| {
            let size = postcard::experimental::serialized_size(load).unwrap_or(usize::MAX);
            let fits = size <= left;
            left = left.saturating_sub(size);
            fits
        };
        self.loads = loads.into_iter().take_while(fits).collect();
        Datagram::Heartbeat(self).encode()
    }
}
