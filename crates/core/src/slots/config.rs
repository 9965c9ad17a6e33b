//! Tuning values of a broker.

use std::time::Duration;

/// Tuning values of a [`super::SlotBroker`].
#[derive(Debug, Clone, PartialEq)]
pub struct SlotConfig {
    /// Factor on the expected run time with which a request must meet its objective to be
    /// queued. Half of the excess over 1 applies to the expected wait.
    ///
    /// Run times spread by about 30%, so the 95th percentile is 1.5 times the mean. The
    /// factor on the wait leaves time for a server that slows down meanwhile; the queue that
    /// remains is still long enough to keep all slots busy.
    pub queue_margin: f64,
    /// Demand, as a multiple of what the server completes, from which on the margin begins,
    /// and from which on it is whole. Below, the queue drains by itself, and a denial would
    /// waste a slot; above, each late response takes the slot of one in time.
    pub margin_demand: [f64; 2],
    /// Time for the grant, the request and the response between instances and servers,
    /// subtracted from the time left to the objective: three messages of up to 2 ms.
    pub travel: Duration,
    /// Run time of a server before its first release.
    pub initial_run_time: Duration,
    /// Most requests that are queued for one server.
    pub queue_max: usize,
    /// Longest wait of a request that can no longer meet its objective.
    pub late_wait_max: Duration,
    /// Share of the time left to the deadline that such a request may wait, and that a
    /// Retry-After may take.
    pub deadline_share: f64,
    /// Share of the recent grants below which lower priorities are not shed, from 0 to 1.
    /// They are to keep a quarter; with 0.25 here they kept 24%, as the requests that are
    /// queued when the share falls below are shed first.
    pub lower_priority_share: f64,
    /// Time after a request's deadline at which its lease ends without a release.
    pub lease_grace: Duration,
    /// Multiple of the run time after which the release of a lease counts as lost if a
    /// request that was granted later has ended. It exceeds the 5 times that single
    /// requests may take, plus their time in the server's queue.
    pub lost_after_runs: f64,
    /// Shortest Retry-After.
    pub retry_after_min: Duration,
    /// Random deviation of a Retry-After, as a fraction of it.
    pub retry_jitter: f64,
    /// Time after which the record of a server without requests is dropped.
    pub idle_max: Duration,
}

impl SlotConfig {
    /// The values used in production.
    pub const STANDARD: Self = Self {
        queue_margin: 1.5,
        margin_demand: [0.8, 1.2],
        travel: Duration::from_millis(6),
        initial_run_time: Duration::from_millis(200),
        queue_max: 64,
        late_wait_max: Duration::from_secs(1),
        deadline_share: 1.0 / 3.0,
        lower_priority_share: 0.3,
        lease_grace: Duration::from_millis(100),
        lost_after_runs: 8.0,
        retry_after_min: Duration::from_millis(80),
        retry_jitter: 0.15,
        idle_max: Duration::from_secs(60),
    };
}
