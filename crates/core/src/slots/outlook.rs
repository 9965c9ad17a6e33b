//! Expected times at a server.

use crate::time::Time;

/// Share of a margin that applies to waits.
const WAIT_MARGIN_SHARE: f64 = 0.5;

/// Estimates for one decision.
#[derive(Debug, Clone, Copy)]
pub struct Outlook {
    pub now: Time,
    /// Expected run time, in seconds.
    pub run_time: f64,
    /// Slots that others leave free.
    pub slots: u32,
    /// Requests that may be in flight.
    pub limit: usize,
    /// Time between instances and the server, in seconds.
    pub travel: f64,
}

impl Outlook {
    /// Expected wait, in seconds, for a slot of the server behind `ahead` requests.
    pub fn wait(&self, ahead: usize) -> f64 {
        let excess = (ahead + 1).saturating_sub(self.slots as usize);
        excess as f64 * self.interval()
    }

    /// Expected time, in seconds, until a request behind `ahead` others is granted.
    pub fn wait_for_grant(&self, ahead: usize, is_late: bool) -> f64 {
        let limit = match is_late {
            true => self.slots as usize,
            false => self.limit,
        };
        (ahead + 1).saturating_sub(limit) as f64 * self.interval()
    }

    /// Mean time between two completions, in seconds.
    pub fn interval(&self) -> f64 {
        self.run_time / f64::from(self.slots)
    }

    /// Whether the response behind `ahead` requests is expected before the objective, with
    /// `margin` times the expected run time.
    pub fn is_in_time(&self, ahead: usize, objective: Time, margin: f64) -> bool {
        let left = (objective - self.now).as_secs_f64();
        // A wait spans several run times and deviates less from its mean than one of them.
        let wait_margin = 1.0 + (margin - 1.0) * WAIT_MARGIN_SHARE;
        wait_margin * self.wait(ahead) + margin * self.run_time + self.travel <= left
    }
}
