//! Requests that crashed servers.

use {
    citron_core::crash::CrashEntry,
    serde::{Deserialize, Serialize},
};

/// Requests of one kind.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CrashEntryWire {
    /// What makes them the same, 16 hexadecimal digits.
    pub fingerprint: String,
    /// Method and path.
    pub label: String,
    /// Crashes that this instance knows of.
    pub crashes: u32,
    /// How much longer they are refused, in milliseconds; missing if they are not.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refused_ms: Option<u64>,
}

/// Requests that crashed servers, as one instance knows of them.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RefusedWire {
    /// The requests.
    pub requests: Vec<CrashEntryWire>,
}

/// Lets requests through again.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LiftWire {
    /// Which.
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
