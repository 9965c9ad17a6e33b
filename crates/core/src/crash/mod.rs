//! Requests that crash the servers that run them.

mod fingerprint;
mod log;
mod report;

pub use {
    fingerprint::Fingerprint,
    log::{CrashConfig, CrashLog},
    report::{CrashCount, CrashEntry, CrashReport, Lift},
};
