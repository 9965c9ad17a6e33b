//! Hashes of keys, and the shards to which they belong.

use {
    super::ParseIdError,
    std::{fmt, str::FromStr},
    xxhash_rust::xxh3::xxh3_64,
};

/// Stable 64-bit hash of a key: XXH3, the same on every instance and in every version.
///
/// ```
/// use citron_core::id::KeyHash;
/// assert_eq!(KeyHash::from_key(b"bar-7"), KeyHash::from_key(b"bar-7"));
/// let text = KeyHash::from_key(b"bar-7").to_string();
/// assert_eq!(text.parse(), Ok(KeyHash::from_key(b"bar-7")));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyHash(pub u64);

impl KeyHash {
    /// The hash of a key's bytes.
    pub fn from_key(key: &[u8]) -> Self {
        Self(xxh3_64(key))
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for KeyHash {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        parse_hash(text).map(Self)
    }
}

/// Parses a 64-bit hash from hexadecimal digits, as hashes are displayed.
pub(crate) fn parse_hash(text: &str) -> Result<u64, ParseIdError> {
    u64::from_str_radix(text, 16).map_err(|_| ParseIdError::Number {
        found: text.to_string(),
        min: 0,
        max: u64::MAX,
    })
}

/// Number of a shard within its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ShardId(pub u32);

impl fmt::Display for ShardId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for ShardId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let parsed = text.parse::<u32>();
        parsed.map(Self).map_err(|_| ParseIdError::Number {
            found: text.to_string(),
            min: 0,
            max: u64::from(u32::MAX),
        })
    }
}

/// Base-two logarithm of a service's shard count.
///
/// ```
/// use citron_core::id::{KeyHash, ShardBits, ShardId};
/// let bits: ShardBits = "8".parse().unwrap();
/// assert_eq!(bits.shard_count(), 256);
/// assert_eq!(bits.shard_of(KeyHash(0xab00_0000_0000_0000)), ShardId(0xab));
/// assert!("21".parse::<ShardBits>().is_err());
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShardBits(u8);

impl ShardBits {
    /// Largest value, which is about a million shards.
    pub const MAX: u8 = 20;

    /// The shard count of `1 << bits`; `None` above [`Self::MAX`].
    pub fn new(bits: u8) -> Option<Self> {
        (bits <= Self::MAX).then_some(Self(bits))
    }

    /// The number of shards of the service.
    pub fn shard_count(self) -> u32 {
        1 << self.0
    }

    /// The shard of a key, given by the top bits of its hash.
    pub fn shard_of(self, key: KeyHash) -> ShardId {
        let top = key.0.checked_shr(64 - u32::from(self.0)).unwrap_or(0);
        ShardId(top as u32)
    }
}

impl fmt::Display for ShardBits {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for ShardBits {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let parsed = text.parse::<u8>().ok().and_then(Self::new);
        parsed.ok_or_else(|| ParseIdError::Number {
            found: text.to_string(),
            min: 0,
            max: u64::from(Self::MAX),
        })
    }
}
