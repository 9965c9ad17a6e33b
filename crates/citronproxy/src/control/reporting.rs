//! Exchange of demand and crash reports with the other instances.

use {
    super::Node,
    crate::traffic::CrashEvent,
    citron_core::{
        admission::{Demand, DemandTracker, ServerQuota},
        id::ServerName,
        membership::{InstanceReport, Member},
        table::{ServerRow, ServerState},
    },
    citron_ports::TableStore,
    std::{cell::RefCell, collections::BTreeMap, time::Duration},
    tokio::{
        task::spawn_local,
        time::{MissedTickBehavior, interval},
    },
};

/// Interval between two reports. A report is valid for two seconds, so three in a row
/// must be lost before an instance's demand is no longer counted.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

type Demands = BTreeMap<ServerName, Demand>;
type Quotas = BTreeMap<ServerName, ServerQuota>;

/// Demands reported by other instances, and the quotas computed from them.
#[derive(Debug, Default)]
pub(super) struct PeerReports {
    demands: RefCell<DemandTracker>,
    quotas: RefCell<Quotas>,
}

impl<S: TableStore + 'static> Node<S> {
    /// This instance's current quota of each server.
    pub fn quotas(&self) -> BTreeMap<ServerName, ServerQuota> {
        self.peer_reports().quotas.borrow().clone()
    }

    /// Records another instance's report. A report from an instance that the table does
    /// not list is ignored, because no instance sets aside a quota for it.
    pub(super) fn record_report(&self, report: InstanceReport) {
        let sender = &report.sender;
        if !self
            .other_instances()
            .iter()
            .any(|row| Member::from_row(row) == *sender)
        {
            return;
        }
        let from = (sender.instance.clone(), sender.incarnation);
        let mut tracker = self.peer_reports().demands.borrow_mut();
        tracker.record(sender.instance.clone(), report.demands, self.now());
        let report = report.crashes;
        self.handle()
            .send_crash_event(&CrashEvent::Reported { from, report });
    }

    fn compute_quotas(&self, demands: &Demands) -> Quotas {
        let tracker = self.peer_reports().demands.borrow();
        let listed = self.instance_count();
        let now = self.now();
        let quota = |row: ServerRow| {
            let own = demands.get(&row.name).copied().unwrap_or(Demand::NONE);
            let quota = tracker.quota_for_row(&row, own, listed, now);
            (row.name, quota)
        };
        self.unretired_servers().into_iter().map(quota).collect()
    }

    /// Number of instances in the table, including this one. An expelled instance counts
    /// until its row is removed: it may be partitioned, unaware of the expulsion, and go
    /// on routing until its lease ends. If its quota were given away before, the server
    /// would receive more requests than it has slots.
    fn instance_count(&self) -> usize {
        let me = &self.config().member.instance;
        self.with_table(|table| table.instances().filter(|row| row.id != *me).count() + 1)
    }

    fn unretired_servers(&self) -> Vec<ServerRow> {
        self.with_table(|table| {
            let rows = table.servers();
            let kept = rows.filter(|row| row.state != ServerState::Retired);
            kept.cloned().collect()
        })
    }

    /// Sends a report to all other instances, each in a task of its own, so that one that
    /// does not answer delays no other.
    fn send_reports(&self, report: &InstanceReport) {
        for row in self.other_instances() {
            let peers = self.peer_client().clone();
            let report = report.clone();
            spawn_local(async move {
                let _ = peers.report(row.peer_address, &report).await;
            });
        }
    }
}

/// Sends reports and computes the quotas that follow from those of other instances. Runs
/// until its task is aborted.
///
/// The quotas are not passed to the traffic threads yet. When they were enforced,
/// requests were refused immediately during and after moves, whereas all are answered
/// without enforcement. The cause is unknown. One possible cause has not been examined:
/// every thread gets the same fraction of a quota, regardless of its requests.
pub async fn exchange_reports<S: TableStore + 'static>(node: Node<S>) {
    let mut ticks = interval(REPORT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let demands = node.handle().take_demand().await;
        let quotas = node.compute_quotas(&demands);
        node.peer_reports().quotas.replace(quotas);
        let crashes = node.handle().crash_report().await;
        node.send_reports(&InstanceReport {
            sender: node.config().member.clone(),
            demands,
            crashes: crashes.unwrap_or_default(),
        });
    }
}
