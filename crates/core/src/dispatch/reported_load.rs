//! What servers say of their load.

use {
    crate::id::Slots,
    std::{fmt, str::FromStr},
    thiserror::Error,
};

/// More requests or slots than any server has: a larger number is a mistake.
const MOST: u32 = 100_000;
/// The slowest machine that is believed, in percent of the usual time.
const SLOWEST: u32 = 100_000;
/// Work takes as long as usual.
const USUAL: u32 = 100;

/// A server's load at the moment of an answer, over all its callers.
///
/// ```
/// use citron_core::dispatch::ToldLoad;
/// let told: ToldLoad = "3,1,4,250".parse().unwrap();
/// assert_eq!((told.running, told.waiting, told.slots.0), (3, 1, 4));
/// assert_eq!(told.slowness, 2.5);
/// assert!(told.has_room());
/// assert!("3,1".parse::<ToldLoad>().is_err());
/// ```
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ToldLoad {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that it runs at a time.
    pub slots: Slots,
    /// Time that work takes now, as a multiple of the usual.
    pub slowness: f64,
}

/// Figures of a load that cannot be.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("load '{found}': running, waiting, slots and, if told, percent of the usual time")]
pub struct ToldLoadError {
    found: String,
}

impl ToldLoad {
    /// Whether another request could begin at once.
    pub fn has_room(&self) -> bool {
        self.running < self.slots.0
    }

    fn read(text: &str) -> Option<Self> {
        let mut figures = text.split(',').map(|part| part.trim().parse::<u32>().ok());
        let mut next = |most: u32| figures.next().flatten().filter(|figure| *figure <= most);
        let (running, waiting, slots) = (next(MOST)?, next(MOST)?, next(MOST)?);
        let percent = match text.matches(',').count() {
            2 => USUAL,
            _ => next(SLOWEST)?,
        };
        (slots > 0 && percent > 0).then_some(Self {
            running,
            waiting,
            slots: Slots(slots),
            slowness: f64::from(percent) / f64::from(USUAL),
        })
    }
}

impl FromStr for ToldLoad {
    type Err = ToldLoadError;

    fn from_str(text: &str) -> Result<Self, ToldLoadError> {
        let found = || text.chars().take(64).collect();
        Self::read(text).ok_or_else(|| ToldLoadError { found: found() })
    }
}

impl fmt::Display for ToldLoad {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let percent = (self.slowness * f64::from(USUAL)).round();
        let Self {
            running, waiting, ..
        } = self;
        write!(f, "{running},{waiting},{},{percent}", self.slots)
    }
}
