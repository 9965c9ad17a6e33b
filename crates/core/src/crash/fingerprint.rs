//! Fingerprints that identify a request when it is sent again.

use {
    crate::id::{ParseIdError, parse_hash},
    std::{fmt, str::FromStr},
    xxhash_rust::xxh3::Xxh3,
};

/// Stable 64-bit hash of the parts of a request that stay the same when a client sends it
/// again.
///
/// ```
/// use citron_core::crash::Fingerprint;
/// let one = Fingerprint::from_parts(&[b"POST", b"/bars/7/pickups", b"body"]);
/// assert_eq!(one, Fingerprint::from_parts(&[b"POST", b"/bars/7/pickups", b"body"]));
/// assert_ne!(one, Fingerprint::from_parts(&[b"POST", b"/bars/7/pickup", b"sbody"]));
/// assert_eq!(one.to_string().parse(), Ok(one));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Hashes the given parts, such as method, path with query, `Idempotency-Key`, length
    /// of the body, and as much of the body as is buffered. Requests with equal parts
    /// count as the same.
    pub fn from_parts(parts: &[&[u8]]) -> Self {
        let mut hash = Xxh3::new();
        for part in parts {
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        Self(hash.digest())
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Fingerprint {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        parse_hash(text).map(Self)
    }
}
