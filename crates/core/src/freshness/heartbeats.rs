//! How often instances hear each other, and after which silence one counts as lost.

use {super::PropagationTimes, std::time::Duration};

/// Silence after which the planner counts as lost at any size, and any other instance at the
/// earliest.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Missed heartbeats after which an instance counts as lost.
const MISSED_INTERVALS: f64 = 3.5;
/// Instances per unit of the interval: its multiple keeps the processor time of heartbeats
/// constant at any number of instances.
const INSTANCES_PER_STEP: usize = 7;
/// Time between two heartbeats of the planner at most: three are missing before it
/// counts as lost.
const MAX_PLANNER_INTERVAL: Duration = Duration::from_millis(400);

/// Who a heartbeat is from, as far as it tells how often they come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sender {
    /// An instance of the same failure domain.
    SameDomain,
    /// One of another.
    OtherDomain,
    /// The planner.
    Planner,
}

/// Heartbeat intervals among a number of instances that hear each other. The interval grows
/// with their number, and with it the silence after which one counts as lost.
///
/// ```
/// use {citron_core::freshness::{HeartbeatSchedule, Sender}, std::time::Duration};
/// let few = HeartbeatSchedule::for_instances(10);
/// assert_eq!(few.interval(Sender::SameDomain), Duration::from_millis(100));
/// assert_eq!(few.timeout(Sender::SameDomain), Duration::from_millis(1_500));
/// let many = HeartbeatSchedule::for_instances(39);
/// assert_eq!(many.interval(Sender::OtherDomain), Duration::from_millis(1_500));
/// assert_eq!(many.timeout(Sender::OtherDomain), Duration::from_millis(5_250));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeartbeatSchedule {
    same_domain: Duration,
}

impl HeartbeatSchedule {
    /// For `instances` that hear each other, the own one included.
    pub fn for_instances(instances: usize) -> Self {
        let steps = u32::try_from(instances / INSTANCES_PER_STEP)
            .unwrap_or(1)
            .max(1);
        Self {
            same_domain: PropagationTimes::STANDARD.heartbeat_interval * steps,
        }
    }

    /// Time between two heartbeats of a sender.
    pub fn interval(&self, sender: Sender) -> Duration {
        match sender {
            Sender::SameDomain => self.same_domain,
            Sender::OtherDomain => {
                self.same_domain * PropagationTimes::STANDARD.cross_domain_factor
            }
            Sender::Planner => self.same_domain.min(MAX_PLANNER_INTERVAL),
        }
    }

    /// After how long without a heartbeat a sender counts as lost.
    pub fn timeout(&self, sender: Sender) -> Duration {
        match sender {
            Sender::Planner => HEARTBEAT_TIMEOUT,
            Sender::SameDomain | Sender::OtherDomain => {
                HEARTBEAT_TIMEOUT.max(self.interval(sender).mul_f64(MISSED_INTERVALS))
            }
        }
    }
}
