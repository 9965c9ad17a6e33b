//! Crash counts in a heartbeat.

use {
    super::byte_budget::ByteBudget,
    citron_core::{
        crash::{CrashCount, CrashReport, Fingerprint, Lift, RelayedReport},
        id::{Incarnation, ParseIdError},
    },
    serde::{Deserialize, Serialize},
    std::{cmp::Reverse, time::Duration},
};

/// Crash counts and lifts that an instance knows, by request fingerprint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CrashesWire {
    number: u64,
    counts: Vec<CrashWire>,
    /// Fingerprint, and milliseconds since the lift.
    lifts: Vec<(u64, u64)>,
    relayed: Vec<RelayedWire>,
}

/// Report that the sender passes on, without labels.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct RelayedWire {
    instance: String,
    start: u64,
    number: u64,
    /// Fingerprint, crashes, and milliseconds since the last crash.
    counts: Vec<(u64, u32, u64)>,
    /// Fingerprint, and milliseconds since the lift.
    lifts: Vec<(u64, u64)>,
}

impl RelayedWire {
    fn newest_age(&self) -> Option<u64> {
        let counts = self.counts.iter().map(|count| count.2);
        counts.chain(self.lifts.iter().map(|lift| lift.1)).min()
    }
}

/// Share of the remaining space of a heartbeat that crash counts may take.
const COUNTS_SHARE: f64 = 0.25;
/// Share of the space that then remains that lifts may take.
const LIFTS_SHARE: f64 = 0.25;
/// Share of the space that then remains that relayed counts may take.
const RELAYED_SHARE: f64 = 0.5;

impl CrashesWire {
    /// Keeps as many entries as fit into a share of the budget: the counts that are
    /// closest to a refusal, and the newest lifts, as older ones have already been sent.
    /// Returns `None` if nothing is left.
    pub(super) fn truncate_to(mut self, budget: &mut ByteBudget) -> Option<Self> {
        self.counts
            .sort_by_key(|count| (Reverse(count.crashes), count.age));
        self.lifts.sort_by_key(|(_, age)| *age);
        let mut share = budget.split_off(COUNTS_SHARE);
        self.counts = share.take_fitting(self.counts);
        budget.return_unused(share);
        let mut share = budget.split_off(LIFTS_SHARE);
        self.lifts = share.take_fitting(self.lifts);
        budget.return_unused(share);
        self.relayed.sort_by_key(RelayedWire::newest_age);
        let mut share = budget.split_off(RELAYED_SHARE);
        self.relayed = share.take_fitting(self.relayed);
        budget.return_unused(share);
        let is_empty = self.counts.is_empty() && self.lifts.is_empty() && self.relayed.is_empty();
        (!is_empty).then_some(self)
    }
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct CrashWire {
    fingerprint: u64,
    label: String,
    crashes: u32,
    /// Milliseconds since the last crash.
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
        Self {
            number: report.number,
            counts: counts.collect(),
            lifts: encode_lifts(report.lifts),
            relayed: report.relayed.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<RelayedReport> for RelayedWire {
    fn from(relayed: RelayedReport) -> Self {
        let counts = relayed.counts.into_iter();
        let counts = counts.map(|count| {
            let age = count.age.as_millis() as u64;
            (count.fingerprint.0, count.crashes, age)
        });
        Self {
            instance: relayed.instance.to_string(),
            start: relayed.incarnation.0,
            number: relayed.number,
            counts: counts.collect(),
            lifts: encode_lifts(relayed.lifts),
        }
    }
}

impl TryFrom<RelayedWire> for RelayedReport {
    type Error = ParseIdError;

    fn try_from(wire: RelayedWire) -> Result<Self, ParseIdError> {
        let counts = wire.counts.into_iter();
        let counts = counts.map(|(fingerprint, crashes, age)| CrashCount {
            fingerprint: Fingerprint(fingerprint),
            label: String::new(),
            crashes,
            age: Duration::from_millis(age),
        });
        Ok(Self {
            instance: wire.instance.parse()?,
            incarnation: Incarnation(wire.start),
            number: wire.number,
            counts: counts.collect(),
            lifts: decode_lifts(wire.lifts),
        })
    }
}

fn encode_lifts(lifts: Vec<Lift>) -> Vec<(u64, u64)> {
    let encode = |lift: Lift| (lift.fingerprint.0, lift.age.as_millis() as u64);
    lifts.into_iter().map(encode).collect()
}

fn decode_lifts(lifts: Vec<(u64, u64)>) -> Vec<Lift> {
    let decode = |(fingerprint, age)| Lift {
        fingerprint: Fingerprint(fingerprint),
        age: Duration::from_millis(age),
    };
    lifts.into_iter().map(decode).collect()
}

impl TryFrom<CrashesWire> for CrashReport {
    type Error = ParseIdError;

    fn try_from(wire: CrashesWire) -> Result<Self, ParseIdError> {
        let counts = wire.counts.into_iter().map(|count| CrashCount {
            fingerprint: Fingerprint(count.fingerprint),
            label: count.label,
            crashes: count.crashes,
            age: Duration::from_millis(count.age),
        });
        let relayed = wire.relayed.into_iter().map(TryInto::try_into);
        Ok(Self {
            number: wire.number,
            counts: counts.collect(),
            lifts: decode_lifts(wire.lifts),
            relayed: relayed.collect::<Result<_, ParseIdError>>()?,
        })
    }
}
