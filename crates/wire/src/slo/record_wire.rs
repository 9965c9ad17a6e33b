//! Records, pages and their conversions.

use {
    crate::{WireError, error::parse_field},
    citron_core::{
        id::ServerName,
        slo::{Minute, Tally, TallySeries},
    },
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
};

/// Counts and durations of one service over a minute. Durations are in milliseconds.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TallyWire {
    /// Minute, counted from the Unix epoch.
    pub minute: u64,
    /// Name of the service.
    pub service: String,
    /// Number of requests that got a response.
    pub total: u64,
    /// Number of failed requests.
    pub failed: u64,
    /// Number of requests slower than the latency objective.
    pub slow: u64,
    /// Time for which shards were unreachable, as a mean over all shards.
    pub closed_ms: u64,
    /// Time over which `closed_ms` was observed.
    pub watched_ms: u64,
    /// Number of shards whose owner changed.
    pub moved: u64,
    /// Time for which requests occupied slots, by server.
    pub busy_ms: BTreeMap<String, u64>,
}

/// Counts by minute and service.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct RecordWire {
    /// Entries, sorted by minute and service.
    pub entries: Vec<TallyWire>,
}

/// Record of one instance for one hour, an object in the object store.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PageWire {
    /// Name of the instance.
    pub instance: String,
    /// Hour, counted from the Unix epoch.
    pub hour: u64,
    /// Counts of the instance.
    pub record: RecordWire,
}

/// Records of all instances, from which the burn rate of error budgets is computed.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct BurnWire {
    /// Current minute, counted from the Unix epoch.
    pub minute: u64,
    /// Names of the instances whose pages were read.
    pub instances: Vec<String>,
    /// Number of pages that could not be read.
    pub unread: u32,
    /// Sum of the records in these pages.
    pub record: RecordWire,
}

impl From<&TallySeries> for RecordWire {
    fn from(core: &TallySeries) -> Self {
        let entries = core.entries().map(|(minute, service, tally)| TallyWire {
            minute: minute.0,
            service: service.to_string(),
            total: tally.requests,
            failed: tally.failed,
            slow: tally.slow,
            closed_ms: millis(tally.unreachable),
            watched_ms: millis(tally.observed),
            moved: tally.shards_moved,
            busy_ms: tally
                .busy_time
                .iter()
                .map(|(server, time)| (server.to_string(), millis(*time)))
                .collect(),
        });
        let entries = entries.collect();
        Self { entries }
    }
}

impl TryFrom<RecordWire> for TallySeries {
    type Error = WireError;

    fn try_from(wire: RecordWire) -> Result<Self, WireError> {
        let mut record = Self::default();
        for entry in wire.entries {
            let minute = Minute(entry.minute);
            let service = parse_field("service", &entry.service)?;
            record.add(minute, &service, &entry.try_into()?);
        }
        Ok(record)
    }
}

impl TryFrom<TallyWire> for Tally {
    type Error = WireError;

    fn try_from(wire: TallyWire) -> Result<Self, WireError> {
        let mut busy_time: BTreeMap<ServerName, Duration> = BTreeMap::new();
        for (server, time) in &wire.busy_ms {
            busy_time.insert(
                parse_field("busy_ms", server)?,
                Duration::from_millis(*time),
            );
        }
        Ok(Self {
            requests: wire.total,
            failed: wire.failed,
            slow: wire.slow,
            unreachable: Duration::from_millis(wire.closed_ms),
            observed: Duration::from_millis(wire.watched_ms),
            shards_moved: wire.moved,
            busy_time,
        })
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
