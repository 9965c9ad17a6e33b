//! Load that servers report with their responses.

use {
    crate::id::Slots,
    std::{fmt, str::FromStr},
    thiserror::Error,
};

/// Upper bound of each count; larger numbers are taken for errors.
const COUNT_MAX: u32 = 100_000;
/// Upper bound of the slowdown, in percent of the normal run time.
const PERCENT_MAX: u32 = 100_000;
/// Percentage that stands for the normal run time.
const PERCENT_NORMAL: u32 = 100;

/// A server's load over all clients at the time of a response.
///
/// The text form is `running,waiting,slots`, with an optional fourth number: the run time
/// in percent of the normal one.
///
/// ```
/// use citron_core::dispatch::ReportedLoad;
/// let load: ReportedLoad = "3,1,4,250".parse().unwrap();
/// assert_eq!((load.running, load.waiting, load.slots.0), (3, 1, 4));
/// assert_eq!(load.slowdown, 2.5);
/// assert!(load.has_room());
/// assert!("3,1".parse::<ReportedLoad>().is_err());
/// ```
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReportedLoad {
    /// Requests that are running.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that the server can run at a time.
    pub slots: Slots,
    /// Current run time as a multiple of the normal one.
    pub slowdown: f64,
}

/// Error for a load that is malformed or out of range.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error(
    "invalid load '{found}': expected running,waiting,slots and optionally the run time in percent of the normal one"
)]
pub struct ReportedLoadError {
    found: String,
}

impl ReportedLoad {
    /// Whether another request could start at once.
    pub fn has_room(&self) -> bool {
        self.running < self.slots.0
    }

    fn parse_fields(text: &str) -> Option<Self> {
        let mut fields = text.split(',').map(|part| part.trim().parse::<u32>().ok());
        let mut next = |max: u32| fields.next().flatten().filter(|value| *value <= max);
        let (running, waiting, slots) = (next(COUNT_MAX)?, next(COUNT_MAX)?, next(COUNT_MAX)?);
        let percent = match text.matches(',').count() {
            2 => PERCENT_NORMAL,
            _ => next(PERCENT_MAX)?,
        };
        (slots > 0 && percent > 0).then_some(Self {
            running,
            waiting,
            slots: Slots(slots),
            slowdown: f64::from(percent) / f64::from(PERCENT_NORMAL),
        })
    }
}

impl FromStr for ReportedLoad {
    type Err = ReportedLoadError;

    fn from_str(text: &str) -> Result<Self, ReportedLoadError> {
        let found = || text.chars().take(64).collect();
        Self::parse_fields(text).ok_or_else(|| ReportedLoadError { found: found() })
    }
}

impl fmt::Display for ReportedLoad {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let percent = (self.slowdown * f64::from(PERCENT_NORMAL)).round();
        let Self {
            running, waiting, ..
        } = self;
        write!(f, "{running},{waiting},{},{percent}", self.slots)
    }
}
