//! Use of a server by others than its broker.

use {
    crate::{dispatch::ReportedLoad, id::Slots, time::Time},
    std::{collections::VecDeque, time::Duration},
};

/// Time for which reported requests of others count.
const REPORT_TTL: Duration = Duration::from_secs(1);
/// Time for which a refusal without reported load counts as one request of others.
const REFUSAL_TTL: Duration = Duration::from_millis(500);
/// Most refusals that count at a time.
const REFUSALS_MAX: usize = 256;
/// Weight of a new report in the moving average: others come and go within a run time.
const REPORT_WEIGHT: f64 = 0.2;

/// Requests at a server that its broker has not granted.
///
/// A lease covers the whole time of its request at the server, so reports that exceed the
/// leases on average show requests of others. Single reports may exceed or fall short of them,
/// as releases travel. Without reports, refusals show requests of others, or a server that
/// refuses for another reason: they take at most half of the slots, and a queue of others
/// shows in the run times as well.
#[derive(Debug, Default)]
pub struct SharedUse {
    reported: f64,
    reported_until: Time,
    refusals: VecDeque<Time>,
}

impl SharedUse {
    /// Requests of others at the server, of which refusals account for at most half of `slots`.
    pub fn requests(&self, slots: Slots, now: Time) -> u32 {
        let counted = self.refusals.iter().filter(|end| **end > now).count();
        let counted = u32::try_from(counted).unwrap_or(u32::MAX).min(slots.0 / 2);
        let reported = self.reported_at(now).max(0.0).round() as u32;
        reported.max(counted)
    }

    fn reported_at(&self, now: Time) -> f64 {
        match now < self.reported_until {
            true => self.reported,
            false => 0.0,
        }
    }

    /// Records that the server refused a request while `leases` others were granted.
    pub fn record_refusal(&mut self, load: Option<ReportedLoad>, leases: u32, now: Time) {
        if let Some(load) = load {
            // A server that refuses although it reports no other requests has another reason
            // than a lack of slots, and may accept the next request.
            let excess = excess(&load, leases);
            if excess > 0.0 {
                self.reported = excess.max(self.reported_at(now));
                self.reported_until = now + REPORT_TTL;
            }
            return;
        }
        self.refusals.retain(|end| *end > now);
        if self.refusals.len() < REFUSALS_MAX {
            self.refusals.push_back(now + REFUSAL_TTL);
        }
    }

    /// Records the load that the server reports with a response, while `leases` other requests
    /// are granted. The report includes the request of the response.
    pub fn record_load(&mut self, load: &ReportedLoad, leases: u32, now: Time) {
        let excess = excess(load, leases.saturating_add(1));
        match now < self.reported_until {
            true => self.reported += (excess - self.reported) * REPORT_WEIGHT,
            false => self.reported = excess.min(0.0),
        }
        self.reported_until = now + REPORT_TTL;
    }
}

/// Requests at the server beyond those that the broker has granted; negative if there are fewer.
fn excess(load: &ReportedLoad, granted: u32) -> f64 {
    f64::from(load.running) + f64::from(load.waiting) - f64::from(granted)
}
