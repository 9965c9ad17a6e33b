//! Numeric identifiers and quantities.

use {
    super::ParseIdError,
    std::{fmt, str::FromStr},
};

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident, $repr:ty, $min:expr, $max:expr) => {
        $(#[$doc])*
        ///
        /// ```
        #[doc = concat!("use citron_core::id::", stringify!($name), ";")]
        #[doc = concat!("let number: ", stringify!($name), " = \"7\".parse().unwrap();")]
        /// assert_eq!(number.to_string(), "7");
        #[doc = concat!("assert!(\"seven\".parse::<", stringify!($name), ">().is_err());")]
        /// ```
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
        pub struct $name(pub $repr);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, ParseIdError> {
                let number = text.parse::<$repr>().ok();
                let valid = number.filter(|n| ($min..=$max).contains(n));
                valid.map(Self).ok_or_else(|| ParseIdError::Number {
                    found: text.to_string(),
                    min: $min,
                    max: $max as u64,
                })
            }
        }
    };
}

number_type!(
    /// Version of the whole table: the number of the last commit. Rows carry the revision
    /// of the commit that wrote them; 0 means that the row does not exist.
    Revision, u64, 0, u64::MAX
);
number_type!(
    /// Number of times that the store has come back from an older copy of its rows; 0 if it
    /// does not tell.
    StoreEra, u32, 0, u32::MAX
);
number_type!(
    /// Fencing token of a shard, which increases with every change of owner and is never
    /// reused.
    Epoch, u64, 0, u64::MAX
);
/// Bits of an epoch that count within an era of the store.
const EPOCH_COUNTER_BITS: u32 = 32;

impl Epoch {
    /// The lowest epoch of an era of the store, above all epochs of earlier eras. A store that
    /// comes back from a copy no longer tells which epochs were given out since.
    ///
    /// ```
    /// use citron_core::id::{Epoch, StoreEra};
    /// assert_eq!(Epoch::first_of(StoreEra(0)), Epoch(0));
    /// assert!(Epoch::first_of(StoreEra(2)) > Epoch(Epoch::first_of(StoreEra(1)).0 + 1_000_000));
    /// ```
    pub fn first_of(era: StoreEra) -> Self {
        Self(u64::from(era.0) << EPOCH_COUNTER_BITS)
    }
}

number_type!(
    /// Random number that distinguishes process starts of the same instance.
    Incarnation, u64, 0, u64::MAX
);
number_type!(
    /// Start time of a backend server, in Unix milliseconds by its own clock. The limit
    /// is the year 2286: a larger value is in another unit.
    StartTime, u64, 0, 10_000_000_000_000_u64
);
number_type!(
    /// Number of a commit among the commits of one writer.
    CommitId, u64, 0, u64::MAX
);
number_type!(
    /// Number of requests that a backend server runs concurrently.
    Slots, u32, 1, 65_536
);
number_type!(
    /// Weight of a backend server in the load of its service; 0 excludes the server.
    Weight, u32, 0, 10_000
);
