//! What the instances last told each other about their demand.

use {
    super::{Demand, Rate, SlotShare, share::slot_share},
    crate::{
        id::{InstanceId, ServerName, Slots},
        table::ServerRow,
        time::Time,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// How long a report counts.
const REPORT_TTL: Duration = Duration::from_secs(2);

/// An instance's part of a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerQuota {
    /// Of its slots.
    pub share: SlotShare,
    /// Of its cap, if it has one.
    pub cap: Option<Rate>,
}

#[derive(Debug)]
struct DemandReport {
    received: Time,
    demands: BTreeMap<ServerName, Demand>,
}

/// The demand of the other instances, by server, on the control thread.
///
/// An instance that is listed but not heard of may be cut off from this one and
/// go on sending. Its even part of each server is left to it, so that the two
/// sides of a partition together do not overload the server.
///
/// ```
/// use citron_core::{admission::{Demand, DemandTracker, Rate}, id::Slots, time::Time};
/// let tracker = DemandTracker::default();
/// let own = Demand { arrivals: Rate(100.0), answers: Rate(50.0) };
/// let server = "server-1".parse().unwrap();
/// assert_eq!(tracker.quota(&server, Slots(4), None, own, 10, Time::ZERO).share.slots(), 0.4);
/// ```
#[derive(Debug, Default)]
pub struct DemandTracker {
    reports: BTreeMap<InstanceId, DemandReport>,
}

impl DemandTracker {
    /// Takes in a report; a later one replaces it.
    pub fn record(&mut self, from: InstanceId, demands: BTreeMap<ServerName, Demand>, now: Time) {
        self.reports
            .retain(|_, report| now - report.received <= REPORT_TTL);
        self.reports.insert(
            from,
            DemandReport {
                received: now,
                demands,
            },
        );
    }

    /// This instance's part of a server, `instances` being how many instances there
    /// are, itself included.
    pub fn quota(
        &self,
        server: &ServerName,
        slots: Slots,
        cap: Option<Rate>,
        own: Demand,
        instances: usize,
        now: Time,
    ) -> ServerQuota {
        let mut demands = vec![own];
        demands.extend(self.current(server, now));
        let instances = instances.max(demands.len());
        let known_share = demands.len() as f64 / instances as f64;
        let share = slot_share(f64::from(slots.0) * known_share, &own, &demands);
        let cap = cap.map(|cap| Rate(cap.0 * known_share * own.fraction_of(&demands)));
        ServerQuota { share, cap }
    }

    /// The same with what the server's row says.
    pub fn quota_for_row(
        &self,
        row: &ServerRow,
        own: Demand,
        instances: usize,
        now: Time,
    ) -> ServerQuota {
        let cap = row.rate_cap.map(|cap| Rate(f64::from(cap)));
        self.quota(&row.name, row.slots, cap, own, instances, now)
    }

    fn current(&self, server: &ServerName, now: Time) -> impl Iterator<Item = Demand> {
        let current = self
            .reports
            .values()
            .filter(move |report| now - report.received <= REPORT_TTL);
        current.map(|report| report.demands.get(server).copied().unwrap_or(Demand::NONE))
    }
}
