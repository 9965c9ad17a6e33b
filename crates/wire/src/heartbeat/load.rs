//! Server loads in a heartbeat.

use {
    citron_core::{dispatch::PeerLoad, id::ParseIdError},
    serde::{Deserialize, Serialize},
};

/// Load that an instance causes at a backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadWire {
    server: String,
    busy: u32,
    /// Run time of a request in milliseconds; 0 if unknown.
    run: u32,
}

impl From<PeerLoad> for LoadWire {
    fn from(load: PeerLoad) -> Self {
        let millis = load.run_time.map_or(0.0, |run| (run * 1_000.0).max(1.0));
        Self {
            server: load.server.to_string(),
            busy: load.in_flight,
            run: millis as u32,
        }
    }
}

impl TryFrom<LoadWire> for PeerLoad {
    type Error = ParseIdError;

    fn try_from(wire: LoadWire) -> Result<Self, ParseIdError> {
        Ok(Self {
            server: wire.server.parse()?,
            in_flight: wire.busy,
            run_time: (wire.run > 0).then(|| f64::from(wire.run) / 1_000.0),
        })
    }
}
