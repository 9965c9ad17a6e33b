//! Latest reports of the instances' demand.

use {
    super::{Demand, Rate, SlotShare, share::slot_share},
    crate::{
        id::{InstanceId, ServerName, Slots},
        table::ServerRow,
        time::Time,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Age at which a report expires.
const REPORT_TTL: Duration = Duration::from_secs(2);

/// An instance's share of a server's capacity.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerQuota {
    /// Share of the slots.
    pub share: SlotShare,
    /// Share of the rate limit, if there is one.
    pub cap: Option<Rate>,
}

#[derive(Debug)]
struct DemandReport {
    received: Time,
    demands: BTreeMap<ServerName, Demand>,
}

/// Demand of the other instances by server, kept on the control thread.
///
/// An instance that is listed but does not report may be cut off from this one and still
/// send requests. An even share of each server is reserved for it, so that the two sides
/// of a partition together do not overload the server.
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
    /// Records a report, which replaces the former one of its instance.
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

    /// This instance's quota of a server. `instances` is the number of listed instances,
    /// this one included.
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

    /// This instance's quota, with the slots and the rate limit from the server's row.
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
