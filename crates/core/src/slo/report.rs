//! Report on a service's objectives.

use {
    super::{Alert, BurnRule, FAST_BURN, Minute, SLOW_BURN, Tally, TallySeries, burn_rate},
    crate::{
        id::{ServerName, ServiceName, Weight},
        table::{Objectives, ServiceRow},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Burn rates of one objective, each as a pair for the short and the long window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BurnRates {
    /// Burn rates over the windows of [`FAST_BURN`].
    pub fast: (f64, f64),
    /// Burn rates over the windows of [`SLOW_BURN`].
    pub slow: (f64, f64),
}

impl BurnRates {
    /// The alert level of the burn rates.
    pub fn alert(&self) -> Alert {
        let is_reached =
            |(short, long): (f64, f64), rule: BurnRule| short >= rule.rate && long >= rule.rate;
        if is_reached(self.fast, FAST_BURN) {
            return Alert::Fast;
        }
        match is_reached(self.slow, SLOW_BURN) {
            true => Alert::Slow,
            false => Alert::None,
        }
    }
}

/// Report on a service over the last six hours.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceReport {
    /// Name of the service.
    pub service: ServiceName,
    /// Objectives of the service.
    pub objectives: Objectives,
    /// Burn rates of the budget for failures.
    pub failure_burn: BurnRates,
    /// Burn rates of the budget for slow responses.
    pub latency_burn: BurnRates,
    /// Number of requests.
    pub requests: u64,
    /// Load of the most loaded server relative to the mean load, both weighted, over the
    /// last hour.
    pub imbalance: Option<f64>,
    /// Number of shards whose owner changed.
    pub churn: u64,
    /// Time for which a key was unreachable, as a mean over keys and instances.
    pub unavailable: Duration,
}

impl ServiceReport {
    /// Computes the report as of `now`. `weights` are those of the servers that share the
    /// load.
    pub fn new(
        series: &TallySeries,
        row: &ServiceRow,
        weights: &BTreeMap<ServerName, Weight>,
        now: Minute,
    ) -> Self {
        let service = row.name.clone();
        let objectives = row.objectives;
        let sum = |window| series.sum(&service, now, window);
        let burn_rates = |rate: &dyn Fn(&Tally) -> f64| BurnRates {
            fast: (rate(&sum(FAST_BURN.short)), rate(&sum(FAST_BURN.long))),
            slow: (rate(&sum(SLOW_BURN.short)), rate(&sum(SLOW_BURN.long))),
        };
        let totals = sum(SLOW_BURN.long);
        let observed = observed_minutes(series, &service, now);
        let unavailable = totals.unreachable_share() * observed as f64 * 60.0;
        Self {
            failure_burn: burn_rates(&|tally| {
                burn_rate(
                    tally.failed,
                    tally.requests,
                    objectives.failures_per_million,
                )
            }),
            latency_burn: burn_rates(&|tally| {
                burn_rate(tally.slow, tally.requests, objectives.slow_per_million)
            }),
            requests: totals.requests,
            imbalance: sum(FAST_BURN.long).imbalance(weights),
            churn: totals.shards_moved,
            unavailable: Duration::from_secs_f64(unavailable),
            objectives,
            service,
        }
    }
}

/// The number of minutes in which any instance observed the service.
fn observed_minutes(series: &TallySeries, service: &ServiceName, now: Minute) -> usize {
    let first = Minute((now.0 + 1).saturating_sub(SLOW_BURN.long));
    let observed = series.entries().filter(|(minute, name, tally)| {
        let is_in_window = (first..=now).contains(minute);
        is_in_window && *name == service && !tally.observed.is_zero()
    });
    observed.count()
}
