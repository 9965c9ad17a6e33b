//! What instances tell each other several times a second.

use {
    citron_core::{
        crash::{CrashCount, CrashReport, Fingerprint, Lift},
        dispatch::PeerLoad,
        id::ParseIdError,
    },
    citron_wire::relay::AgeWire,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// The largest datagram sent: below what a link carries in one piece.
pub const DATAGRAM_MAX: usize = 1_400;

/// A datagram between instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// A heartbeat.
    Heartbeat(Heartbeat),
    /// Keys that callers asked for, to the planner.
    Keys(Vec<KeysWire>),
}

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
    /// Versions of its tables, in the order of [`super::watch::WATCHED`].
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

/// What an instance knows of requests that crash servers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CrashesWire {
    number: u64,
    counts: Vec<CrashWire>,
    /// Fingerprint, and milliseconds since.
    lifts: Vec<(u64, u64)>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct CrashWire {
    fingerprint: u64,
    label: String,
    crashes: u32,
    /// Milliseconds since the last one.
    age: u64,
}

impl From<CrashReport> for CrashesWire {
    fn from(report: CrashReport) -> Self {
        let counts = report.counts.into_iter().map(|count| CrashWire {
            fingerprint: count.fingerprint.0,
            label: count.label,
            crashes: count.crashes,
            age: count.age.as_millis() as u64,
        });
        let lifts = report.lifts.into_iter();
        Self {
            number: report.number,
            counts: counts.collect(),
            lifts: lifts
                .map(|lift| (lift.fingerprint.0, lift.age.as_millis() as u64))
                .collect(),
        }
    }
}

impl From<CrashesWire> for CrashReport {
    fn from(wire: CrashesWire) -> Self {
        let counts = wire.counts.into_iter().map(|count| CrashCount {
            fingerprint: Fingerprint(count.fingerprint),
            label: count.label,
            crashes: count.crashes,
            age: Duration::from_millis(count.age),
        });
        let lifts = wire.lifts.into_iter().map(|(print, age)| Lift {
            fingerprint: Fingerprint(print),
            age: Duration::from_millis(age),
        });
        Self {
            number: wire.number,
            counts: counts.collect(),
            lifts: lifts.collect(),
        }
    }
}

/// What an instance says of a server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadWire {
    server: String,
    busy: u32,
    /// Run time of a request in milliseconds; 0 if none was seen.
    run: u32,
}

impl From<PeerLoad> for LoadWire {
    fn from(load: PeerLoad) -> Self {
        let millis = load.run.map_or(0.0, |run| (run * 1_000.0).max(1.0));
        Self {
            server: load.server.to_string(),
            busy: load.busy,
            run: millis as u32,
        }
    }
}

impl TryFrom<LoadWire> for PeerLoad {
    type Error = ParseIdError;

    fn try_from(wire: LoadWire) -> Result<Self, ParseIdError> {
        Ok(Self {
            server: wire.server.parse()?,
            busy: wire.busy,
            run: (wire.run > 0).then(|| f64::from(wire.run) / 1_000.0),
        })
    }
}

/// Keys of one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeysWire {
    /// The service.
    pub service: String,
    /// A key for each request.
    pub keys: Vec<u16>,
}

impl Datagram {
    /// As bytes; `None` if it does not fit into one datagram.
    pub fn encode(&self) -> Option<Vec<u8>> {
        let bytes = postcard::to_stdvec(self).ok()?;
        (bytes.len() <= DATAGRAM_MAX).then_some(bytes)
    }

    /// From bytes; `None` if they are not understood.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
