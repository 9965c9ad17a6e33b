//! Crash counts in a heartbeat.

use {
    super::byte_budget::ByteBudget,
    citron_core::crash::{CrashCount, CrashReport, Fingerprint, Lift},
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
}

/// Share of the remaining space of a heartbeat that crash counts may take.
const COUNTS_SHARE: f64 = 0.25;
/// Share of the space that then remains that lifts may take.
const LIFTS_SHARE: f64 = 0.25;

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
        (!self.counts.is_empty() || !self.lifts.is_empty()).then_some(self)
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
        let lifts = wire.lifts.into_iter().map(|(fingerprint, age)| Lift {
            fingerprint: Fingerprint(fingerprint),
            age: Duration::from_millis(age),
        });
        Self {
            number: wire.number,
            counts: counts.collect(),
            lifts: lifts.collect(),
        }
    }
}
