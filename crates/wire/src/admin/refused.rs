//! Requests that crashed backend servers.

use {
    citron_core::crash::CrashEntry,
    serde::{Deserialize, Serialize},
};

/// Requests of one fingerprint.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RefusedEntryWire {
    /// The fingerprint, 16 hexadecimal digits.
    pub fingerprint: String,
    /// Method and path of one of them.
    pub label: String,
    /// Crashes over all instances.
    pub crashes: u32,
    /// How much longer they are refused, in seconds, rounded up; missing if they
    /// are not refused yet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seconds: Option<u64>,
}

impl From<&CrashEntry> for RefusedEntryWire {
    fn from(core: &CrashEntry) -> Self {
        Self {
            fingerprint: core.fingerprint.to_string(),
            label: core.label.clone(),
            crashes: core.crashes,
            seconds: core
                .refused
                .map(|left| left.as_millis().div_ceil(1_000) as u64),
        }
    }
}

/// All that an instance knows of.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RefusedWire {
    /// In the order of their fingerprints.
    pub entries: Vec<RefusedEntryWire>,
}
