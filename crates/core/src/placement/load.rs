//! Amount of work.

use {
    crate::id::ParseIdError,
    std::{fmt, str::FromStr},
};

/// Load, as microseconds of busy slot time in a second. A server slot runs one request at
/// a time.
///
/// ```
/// use citron_core::placement::Load;
/// assert_eq!("1500000".parse(), Ok(Load(1_500_000)));
/// assert_eq!(Load(1_500_000).to_string(), "1.500 slots");
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Load(pub u64);

impl fmt::Display for Load {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}.{:03} slots",
            self.0 / 1_000_000,
            self.0 % 1_000_000 / 1_000
        )
    }
}

/// Parses a number of microseconds.
impl FromStr for Load {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let parsed = text.parse::<u64>();
        parsed.map(Self).map_err(|_| ParseIdError::Number {
            found: text.to_string(),
            min: 0,
            max: u64::MAX,
        })
    }
}
