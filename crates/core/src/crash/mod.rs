//! Quarantine of requests that crash the servers that run them.

mod fingerprint;
mod report;
mod tracker;

pub use {
    fingerprint::Fingerprint,
    report::{CrashCount, CrashEntry, CrashReport, Lift, RelayedReport},
    tracker::{CrashConfig, CrashTracker},
};
