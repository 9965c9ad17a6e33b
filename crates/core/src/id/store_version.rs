//! Versions of a store that may come back from an older copy.

use {
    super::{ParseIdError, StoreEra},
    std::{fmt, str::FromStr},
};

/// Bits of a version that hold its number within the era.
const NUMBER_BITS: u32 = 40;

/// Version of the store, ordered first by the era and then by the number that the store gave
/// out in it.
///
/// A store that comes back from a copy gives out numbers again that it had given out before.
/// Only together with the era do they tell which of two states is newer. In era 0 a version
/// equals its number, so that instances that know no eras exchange the same values.
///
/// ```
/// use citron_core::id::{StoreEra, StoreVersion};
/// let before = StoreVersion::new(StoreEra(1), 90).unwrap();
/// let after = StoreVersion::new(StoreEra(2), 60).unwrap();
/// assert!(after > before);
/// assert_eq!((after.era(), after.number()), (StoreEra(2), 60));
/// assert_eq!(after.to_string(), "2.60");
/// assert_eq!("2.60".parse(), Ok(after));
/// assert_eq!(StoreVersion::new(StoreEra(0), 60), Some(StoreVersion(60)));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct StoreVersion(pub u64);

impl StoreVersion {
    /// The version of a row that does not exist, and of a table that was never read.
    pub const NONE: Self = Self(0);

    /// Combines an era and a number; `None` if one of them is too large.
    pub fn new(era: StoreEra, number: u64) -> Option<Self> {
        let era = u64::from(era.0);
        let fits = number >> NUMBER_BITS == 0 && era >> (u64::BITS - NUMBER_BITS) == 0;
        fits.then_some(Self(era << NUMBER_BITS | number))
    }

    /// The era in which the store gave out the version.
    pub fn era(self) -> StoreEra {
        StoreEra((self.0 >> NUMBER_BITS) as u32)
    }

    /// The version as the store spells it.
    pub fn number(self) -> u64 {
        self.0 & ((1 << NUMBER_BITS) - 1)
    }
}

impl fmt::Display for StoreVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era(), self.number())
    }
}

impl FromStr for StoreVersion {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let parse = || {
            let (era, number) = text.split_once('.')?;
            Self::new(era.parse().ok()?, number.parse().ok()?)
        };
        parse().ok_or_else(|| ParseIdError::Number {
            found: text.to_string(),
            min: 0,
            max: u64::MAX,
        })
    }
}
