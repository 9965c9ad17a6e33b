//! How often instances hear each other, and after which silence one counts as lost.

use {super::HearTimes, std::time::Duration};

/// After so long without a heartbeat the planner counts as lost at any size, and any
/// other instance at the earliest: a slowed instance or a lossy link is no reason.
pub const LOST: Duration = Duration::from_millis(1_500);
/// Heartbeats that must be missing at least before an instance counts as lost.
const LOST_BEATS: f64 = 3.5;
/// So many instances that hear each other are few. With a multiple of them the time
/// between heartbeats is that multiple: they then take the same part of a small
/// processor at any number.
const FEW: usize = 7;
/// Time between two heartbeats of the planner at most: three are missing before it
/// counts as lost.
const PLANNER: Duration = Duration::from_millis(400);

/// Who a heartbeat is from, as far as it tells how often they come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sender {
    /// An instance of the same failure domain.
    Near,
    /// One of another.
    Far,
    /// The planner.
    Planner,
}

/// The times of heartbeats among so many instances that hear each other.
///
/// The failure: heartbeats become rarer with the number of instances, and with a fixed
/// time after which one counts as lost each is lost and found again between any two
/// of them. Each finding makes its hearer tell all others at once, hundreds of times a
/// second, and whether the planner seems lost is chance.
///
/// ```
/// use {citron_core::freshness::{Beats, Sender}, std::time::Duration};
/// let few = Beats::among(10);
/// assert_eq!(few.period(Sender::Near), Duration::from_millis(100));
/// assert_eq!(few.lost_after(Sender::Near), Duration::from_millis(1_500));
/// let many = Beats::among(39);
/// assert_eq!(many.period(Sender::Far), Duration::from_millis(1_500));
/// assert_eq!(many.lost_after(Sender::Far), Duration::from_millis(5_250));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Beats {
    near: Duration,
}

impl Beats {
    /// For `instances` that hear each other, the own one included.
    pub fn among(instances: usize) -> Self {
        let multiple = u32::try_from(instances / FEW).unwrap_or(1).max(1);
        Self {
            near: HearTimes::STANDARD.heartbeat * multiple,
        }
    }

    /// Time between two heartbeats of a sender.
    pub fn period(&self, sender: Sender) -> Duration {
        match sender {
            Sender::Near => self.near,
            Sender::Far => self.near * HearTimes::STANDARD.far,
            Sender::Planner => self.near.min(PLANNER),
        }
    }

    /// After how long without a heartbeat a sender counts as lost.
    pub fn lost_after(&self, sender: Sender) -> Duration {
        match sender {
            Sender::Planner => LOST,
            Sender::Near | Sender::Far => LOST.max(self.period(sender).mul_f64(LOST_BEATS)),
        }
    }
}
