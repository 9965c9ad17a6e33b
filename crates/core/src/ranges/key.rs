//! Keys of an ordered space, and ranges of them.

use {
    super::RangeError,
    std::{fmt, str::FromStr},
};

/// Key of an ordered space, from 0 to 65,535.
///
/// ```
/// use citron_core::ranges::RangeKey;
/// assert_eq!("7".parse(), Ok(RangeKey(7)));
/// assert!("65536".parse::<RangeKey>().is_err());
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RangeKey(pub u16);

impl fmt::Display for RangeKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for RangeKey {
    type Err = RangeError;

    fn from_str(text: &str) -> Result<Self, RangeError> {
        let parsed = text.parse().map(Self);
        parsed.map_err(|_| RangeError::InvalidKey {
            input: text.to_string(),
        })
    }
}

/// Inclusive range of keys.
///
/// ```
/// use citron_core::ranges::{KeyRange, RangeKey};
/// let range: KeyRange = "4-9".parse().unwrap();
/// assert!(range.contains(RangeKey(9)));
/// assert_eq!(range.len(), 6);
/// assert!("9-4".parse::<KeyRange>().is_err());
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyRange {
    /// Lowest key of the range.
    pub first: RangeKey,
    /// Highest key of the range.
    pub last: RangeKey,
}

impl KeyRange {
    /// The whole key space.
    pub const ALL: Self = Self {
        first: RangeKey(0),
        last: RangeKey(u16::MAX),
    };

    /// Creates a range after checking the order of its ends.
    ///
    /// # Errors
    ///
    /// Returns [`RangeError::InvalidOrder`] if `first` is above `last`.
    pub fn new(first: RangeKey, last: RangeKey) -> Result<Self, RangeError> {
        if first > last {
            return Err(RangeError::InvalidOrder { first, last });
        }
        Ok(Self { first, last })
    }

    /// Number of keys in the range, at least 1.
    #[allow(clippy::len_without_is_empty)]
    pub fn len(self) -> u32 {
        u32::from(self.last.0) - u32::from(self.first.0) + 1
    }

    /// Whether the range contains `key`.
    pub fn contains(self, key: RangeKey) -> bool {
        self.first <= key && key <= self.last
    }

    /// Whether the range contains all keys of `other`.
    pub fn covers(self, other: Self) -> bool {
        self.first <= other.first && other.last <= self.last
    }

    /// Keys that both ranges contain; `None` if they are disjoint.
    pub fn intersection(self, other: Self) -> Option<Self> {
        let first = self.first.max(other.first);
        let last = self.last.min(other.last);
        (first <= last).then_some(Self { first, last })
    }

    /// The key after `last`; `None` at the end of the key space.
    pub fn next_key(self) -> Option<RangeKey> {
        self.last.0.checked_add(1).map(RangeKey)
    }

    /// The parts of this range below and above `excluded`, which lies within the range.
    pub fn difference(self, excluded: Self) -> [Option<Self>; 2] {
        let below = (self.first < excluded.first).then(|| Self {
            first: self.first,
            last: RangeKey(excluded.first.0 - 1),
        });
        let above = (excluded.last < self.last).then(|| Self {
            first: RangeKey(excluded.last.0 + 1),
            last: self.last,
        });
        [below, above]
    }
}

/// Removes the keys of `excluded` from `ranges`.
pub fn subtract(ranges: Vec<KeyRange>, excluded: KeyRange) -> Vec<KeyRange> {
    let remainder = |range: KeyRange| match range.intersection(excluded) {
        Some(intersection) => range
            .difference(intersection)
            .into_iter()
            .flatten()
            .collect(),
        None => vec![range],
    };
    ranges.into_iter().flat_map(remainder).collect()
}

impl fmt::Display for KeyRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.first, self.last)
    }
}

impl FromStr for KeyRange {
    type Err = RangeError;

    fn from_str(text: &str) -> Result<Self, RangeError> {
        let ends = text.split_once('-').ok_or_else(|| RangeError::InvalidKey {
            input: text.to_string(),
        })?;
        Self::new(ends.0.parse()?, ends.1.parse()?)
    }
}
