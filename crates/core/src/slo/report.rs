//! A service's figures.

use {
    super::{Alert, BurnRule, FAST, Minute, Record, SLOW, Tally, burn_rate},
    crate::{
        id::{ServerName, ServiceName, Weight},
        table::{Objectives, ServiceRow},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Burn rates of one objective.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Burns {
    /// Over the short and the long window of [`FAST`].
    pub fast: (f64, f64),
    /// Over the short and the long window of [`SLOW`].
    pub slow: (f64, f64),
}

impl Burns {
    /// What they call for.
    pub fn alert(&self) -> Alert {
        let reached =
            |(short, long): (f64, f64), rule: BurnRule| short >= rule.rate && long >= rule.rate;
        if reached(self.fast, FAST) {
            return Alert::Fast;
        }
        match reached(self.slow, SLOW) {
            true => Alert::Slow,
            false => Alert::None,
        }
    }
}

/// What a service's record says of the last six hours.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceReport {
    /// The service.
    pub service: ServiceName,
    /// Its objectives.
    pub objectives: Objectives,
    /// Burn of the budget of failures.
    pub failures: Burns,
    /// Burn of the budget of slow answers.
    pub latency: Burns,
    /// Requests over six hours.
    pub requests: u64,
    /// Load of the fullest server over the mean, each by its weight, over the
    /// last hour.
    pub imbalance: Option<f64>,
    /// Shards whose owner changed, over six hours.
    pub churn: u64,
    /// How long a key could not be reached over six hours, as a mean over keys
    /// and instances.
    pub unavailable: Duration,
}

impl ServiceReport {
    /// Works the figures out, as of a minute; `weights` are those of the servers
    /// that are to share the load.
    pub fn new(
        record: &Record,
        row: &ServiceRow,
        weights: &BTreeMap<ServerName, Weight>,
        now: Minute,
    ) -> Self {
        let service = row.name.clone();
        let objectives = row.objectives;
        let sum = |window| record.sum(&service, now, window);
        let burns = |rate: &dyn Fn(&Tally) -> f64| Burns {
            fast: (rate(&sum(FAST.short)), rate(&sum(FAST.long))),
            slow: (rate(&sum(SLOW.short)), rate(&sum(SLOW.long))),
        };
        let whole = sum(SLOW.long);
        let watched = watched_minutes(record, &service, now);
        let unavailable = whole.closed_share() * watched as f64 * 60.0;
        Self {
            failures: burns(&|tally| burn_rate(tally.failed, tally.total, objectives.failures)),
            latency: burns(&|tally| burn_rate(tally.slow, tally.total, objectives.slower)),
            requests: whole.total,
            imbalance: sum(FAST.long).imbalance(weights),
            churn: whole.moved,
            unavailable: Duration::from_secs_f64(unavailable),
            objectives,
            service,
        }
    }
}

/// Minutes that any instance watched the service in.
fn watched_minutes(record: &Record, service: &ServiceName, now: Minute) -> usize {
    let first = Minute((now.0 + 1).saturating_sub(SLOW.long));
    let watched = record.entries().filter(|(minute, name, tally)| {
        let inside = (first..=now).contains(minute);
        inside && *name == service && !tally.watched.is_zero()
    });
    watched.count()
}
