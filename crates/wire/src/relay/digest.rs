//! Digest for comparing copies of a table.

use {
    std::{fmt, num::ParseIntError, str::FromStr},
    xxhash_rust::xxh3::Xxh3,
};

/// Hash of the keys and versions of a table's rows.
///
/// ```
/// use citron_wire::relay::Digest;
/// let digest = Digest::from_rows([("a", 4), ("b", 7)]);
/// assert_eq!(digest, Digest::from_rows([("a", 4), ("b", 7)]));
/// assert_ne!(digest, Digest::from_rows([("a", 4)]));
/// assert_eq!(digest.to_string().parse(), Ok(digest));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Digest(u64);

impl Digest {
    /// Computes the digest of rows, which must be sorted by key.
    pub fn from_rows<'a>(rows: impl IntoIterator<Item = (&'a str, u64)>) -> Self {
        let mut hasher = Xxh3::new();
        for (key, version) in rows {
            hasher.update(&(key.len() as u64).to_le_bytes());
            hasher.update(key.as_bytes());
            hasher.update(&version.to_le_bytes());
        }
        Self(hasher.digest())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Digest {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u64::from_str_radix(text, 16).map(Self)
    }
}
