//! JSON of requests that are refused because they crashed backend servers.

use {
    citron_core::crash::CrashEntry,
    serde::{Deserialize, Serialize},
};

/// Crashes counted for requests of one fingerprint.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CrashEntryWire {
    /// Fingerprint of the requests, 16 hexadecimal digits.
    pub fingerprint: String,
    /// Method and path.
    pub label: String,
    /// Number of crashes known to this instance.
    pub crashes: u32,
    /// Remaining time for which such requests are refused, in milliseconds; absent if they
    /// are not refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refused_ms: Option<u64>,
}

/// Crashes known to one instance, by fingerprint.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RefusedWire {
    /// Entries, one per fingerprint.
    pub requests: Vec<CrashEntryWire>,
}

/// Request to end the refusal of requests with a fingerprint.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LiftWire {
    /// Fingerprint of the requests, 16 hexadecimal digits.
    pub fingerprint: String,
}

impl From<&CrashEntry> for CrashEntryWire {
    fn from(core: &CrashEntry) -> Self {
        let millis = core.refused.map(|span| span.as_millis());
        Self {
            fingerprint: core.fingerprint.to_string(),
            label: core.label.clone(),
            crashes: core.crashes,
            refused_ms: millis.map(|millis| u64::try_from(millis).unwrap_or(u64::MAX)),
        }
    }
}

impl From<&[CrashEntry]> for RefusedWire {
    fn from(core: &[CrashEntry]) -> Self {
        let requests = core.iter().map(CrashEntryWire::from).collect();
        Self { requests }
    }
}
