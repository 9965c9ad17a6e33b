//! Counters and gauges of control.

use {
    crate::metrics::register,
    citron_core::table::CommitOutcome,
    citron_ports::PlatformError,
    prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry},
};

/// What control counts.
#[derive(Debug, Clone)]
pub struct ControlMetrics {
    /// The revision in force here.
    pub revision: IntGauge,
    /// Reads of the platform, by result.
    pub reads: IntCounterVec,
    /// Commits, by result: `done`, `lost` to another writer, or `unanswered`.
    pub commits: IntCounterVec,
    /// Answers of other instances that brought leave to route.
    pub relays: IntCounter,
    /// Orders to backend servers, by result.
    pub orders: IntCounterVec,
    /// Moves that this instance brought to their end.
    pub ended_moves: IntCounter,
    /// Moves under way now.
    pub open_moves: IntGauge,
    /// Servers that this instance cannot reach.
    pub unreachable_servers: IntGauge,
}

impl ControlMetrics {
    /// Registers all metrics.
    ///
    /// # Errors
    /// If one of the names is taken.
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

    /// Counts what became of a commit.
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
