//! Metrics of the control thread.

use {
    crate::metrics::register,
    citron_core::table::CommitOutcome,
    citron_ports::PlatformError,
    prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry},
};

/// Counters and gauges of the control thread.
#[derive(Debug, Clone)]
pub struct ControlMetrics {
    /// Revision of the table in this instance.
    pub revision: IntGauge,
    /// Reads of the platform, by result.
    pub reads: IntCounterVec,
    /// Commits, by result: `done`, `lost` to a conflicting write, or `unanswered`.
    pub commits: IntCounterVec,
    /// Relay answers of other instances that included a routing lease.
    pub relays: IntCounter,
    /// Orders to backend servers, by result.
    pub orders: IntCounterVec,
    /// Moves that this instance completed.
    pub ended_moves: IntCounter,
    /// Moves that this instance tracks now.
    pub open_moves: IntGauge,
    /// Backend servers that do not answer this instance's probes.
    pub unreachable_servers: IntGauge,
}

impl ControlMetrics {
    /// Registers all metrics.
    ///
    /// # Errors
    /// If a metric of the same name is already registered.
    pub fn new(registry: &Registry) -> prometheus::Result<Self> {
        let by_result = |name: &str, help: &str| {
            let counter = IntCounterVec::new(Opts::new(name, help), &["result"])?;
            register(registry, counter)
        };
        Ok(Self {
            revision: register(
                registry,
                IntGauge::new("citron_revision", "Revision of the table in force")?,
            )?,
            reads: by_result("citron_ports_reads_total", "Reads of the platform")?,
            commits: by_result("citron_commits_total", "Commits to the table")?,
            relays: register(
                registry,
                IntCounter::new("citron_relays_total", "Relayed confirmations taken")?,
            )?,
            orders: by_result("citron_grant_orders_total", "Orders to backend servers")?,
            ended_moves: register(
                registry,
                IntCounter::new("citron_moves_total", "Moves ended by this instance")?,
            )?,
            open_moves: register(
                registry,
                IntGauge::new("citron_moves_open", "Moves under way")?,
            )?,
            unreachable_servers: register(
                registry,
                IntGauge::new("citron_servers_unreachable", "Servers that do not answer")?,
            )?,
        })
    }

    /// Counts a commit by its outcome.
    pub(super) fn count_commit(&self, answer: &Result<CommitOutcome, PlatformError>) {
        let result = match answer {
            Ok(CommitOutcome::Committed(_)) => "done",
            Ok(CommitOutcome::Conflict { .. }) => "lost",
            Err(_) => "unanswered",
        };
        self.commits.with_label_values(&[result]).inc();
    }

    /// Counts a success or a failure.
    pub(super) fn count_result(counter: &IntCounterVec, is_ok: bool) {
        let result = if is_ok { "ok" } else { "failed" };
        counter.with_label_values(&[result]).inc();
    }
}
