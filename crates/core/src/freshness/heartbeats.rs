//! Heartbeat intervals among instances, and timeouts after which an instance counts as
//! lost.

use {super::PropagationTimes, std::time::Duration};

/// Time without a heartbeat after which the planner counts as lost, for any number of
/// instances. For other instances it is the shortest timeout.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Heartbeat intervals without a heartbeat after which an instance counts as lost.
const MISSED_INTERVALS: f64 = 3.5;
/// Instances for each step of the interval. An interval that grows with the number of
/// instances keeps the processor time spent on heartbeats constant.
const INSTANCES_PER_STEP: usize = 7;
/// Longest interval between heartbeats of the planner, so that three are missed before
/// the planner counts as lost.
const MAX_PLANNER_INTERVAL: Duration = Duration::from_millis(400);

/// The kind of a heartbeat's sender, which determines the interval.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sender {
    /// An instance of the receiver's failure domain.
    SameDomain,
    /// An instance of another failure domain.
    OtherDomain,
    /// The planner, in any failure domain.
    Planner,
}

/// Heartbeat intervals and timeouts for a number of instances that exchange heartbeats.
/// The intervals grow with the number of instances, and the timeouts with the intervals.
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
    /// The schedule for `instances` that exchange heartbeats, including the local one.
    pub fn for_instances(instances: usize) -> Self {
        let steps = u32::try_from(instances / INSTANCES_PER_STEP)
            .unwrap_or(1)
            .max(1);
        Self {
            same_domain: PropagationTimes::STANDARD.heartbeat_interval * steps,
        }
    }

    /// The time between two heartbeats of a sender.
    pub fn interval(&self, sender: Sender) -> Duration {
        match sender {
            Sender::SameDomain => self.same_domain,
            Sender::OtherDomain => {
                self.same_domain * PropagationTimes::STANDARD.cross_domain_factor
            }
            Sender::Planner => self.same_domain.min(MAX_PLANNER_INTERVAL),
        }
    }

    /// The time without a heartbeat after which a sender counts as lost.
    pub fn timeout(&self, sender: Sender) -> Duration {
        match sender {
            Sender::Planner => HEARTBEAT_TIMEOUT,
            Sender::SameDomain | Sender::OtherDomain => {
                HEARTBEAT_TIMEOUT.max(self.interval(sender).mul_f64(MISSED_INTERVALS))
            }
        }
    }
}
