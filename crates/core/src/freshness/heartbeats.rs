//! How often instances hear each other, and after which silence one counts as lost.

use {super::PropagationTimes, std::time::Duration};

/// Silence after which the planner counts as lost at any size, and any other instance at the
/// earliest.
pub const LOST: Duration = Duration::from_millis(1_500);
/// Missed heartbeats after which an instance counts as lost.
const MISSED_HEARTBEATS: f64 = 3.5;
/// Instances per unit of the interval: its multiple keeps the processor time of heartbeats
/// constant at any number of instances.
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

/// Heartbeat intervals among a number of instances that hear each other. The interval grows
/// with their number, and with it the silence after which one counts as lost.
///
/// ```
/// use {citron_core::freshness::{HeartbeatSchedule, Sender}, std::time::Duration};
/// let few = HeartbeatSchedule::among(10);
/// assert_eq!(few.period(Sender::Near), Duration::from_millis(100));
/// assert_eq!(few.lost_after(Sender::Near), Duration::from_millis(1_500));
/// let many = HeartbeatSchedule::among(39);
/// assert_eq!(many.period(Sender::Far), Duration::from_millis(1_500));
/// assert_eq!(many.lost_after(Sender::Far), Duration::from_millis(5_250));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeartbeatSchedule {
    near: Duration,
}

impl HeartbeatSchedule {
    /// For `instances` that hear each other, the own one included.
    pub fn among(instances: usize) -> Self {
        let multiple = u32::try_from(instances / FEW).unwrap_or(1).max(1);
        Self {
            near: PropagationTimes::STANDARD.heartbeat * multiple,
        }
    }

    /// Time between two heartbeats of a sender.
    pub fn period(&self, sender: Sender) -> Duration {
        match sender {
            Sender::Near => self.near,
            Sender::Far => self.near * PropagationTimes::STANDARD.cross_domain_factor,
            Sender::Planner => self.near.min(PLANNER),
        }
    }

    /// After how long without a heartbeat a sender counts as lost.
    pub fn lost_after(&self, sender: Sender) -> Duration {
        match sender {
            Sender::Planner => LOST,
            Sender::Near | Sender::Far => LOST.max(self.period(sender).mul_f64(MISSED_HEARTBEATS)),
        }
    }
}
