//! Encoding of the age of a table.

use {
    citron_core::freshness::Age,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Age of a table in milliseconds, plus one; 0 if the table was never read.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct AgeWire(u32);

impl From<Age> for AgeWire {
    fn from(age: Age) -> Self {
        // Rounded up, as an understated age would hide a lost response.
        let millis = |age: Duration| u32::try_from(age.as_micros().div_ceil(1_000));
        Self(age.map_or(0, |age| millis(age).unwrap_or(u32::MAX).saturating_add(1)))
    }
}

impl From<AgeWire> for Age {
    fn from(wire: AgeWire) -> Self {
        let millis = wire.0.checked_sub(1)?;
        Some(Duration::from_millis(millis.into()))
    }
}
