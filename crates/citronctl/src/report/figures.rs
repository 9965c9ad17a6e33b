//! Figures of the report.

use {
    crate::error::CtlError,
    citron_core::{
        id::{ServerName, ServiceName, Weight},
        slo::{Alert, Minute, SLOW_BURN, ServiceReport, Tally, TallySeries, burn_rate},
        table::{Row, ServerState, ServiceRow},
    },
    citron_wire::{WireError, admin::RowsWire, slo::BurnWire},
    jiff::Timestamp,
    std::collections::BTreeMap,
};

/// Length in minutes of the period that one point of a plot covers.
const POINT_MINUTES: u64 = 5;

/// Figures of all services.
#[derive(Debug)]
pub struct Figures {
    /// Time of the report, as text.
    pub at: String,
    /// Names of the instances whose counts are included.
    pub instances: Vec<String>,
    /// Number of stored pages of counts that could not be read.
    pub unread: u32,
    /// Figures of each service.
    pub services: Vec<ServiceFigures>,
}

/// Figures of one service.
#[derive(Debug)]
pub struct ServiceFigures {
    /// Figures of the last six hours.
    pub report: ServiceReport,
    /// Course of the last six hours in steps of five minutes, oldest first.
    pub points: Vec<Point>,
}

/// Figures of a service over five minutes; `None` where nothing was counted.
#[derive(Debug, Clone, Copy, Default)]
pub struct Point {
    /// Burn rate of the budget of failed requests.
    pub failures: Option<f64>,
    /// Burn rate of the budget of slow responses.
    pub latency: Option<f64>,
    /// Load of the busiest server divided by the mean load.
    pub imbalance: Option<f64>,
    /// Number of shards whose owner changed.
    pub churn: Option<f64>,
    /// Unavailable share of keys and time, in percent.
    pub unavailable: Option<f64>,
}

impl Figures {
    /// Computes the figures from the instances' counts and the objectives of the table.
    ///
    /// # Errors
    /// If a count or a row is not valid.
    pub fn new(burn: BurnWire, table: RowsWire) -> Result<Self, CtlError> {
        let invalid = |error: WireError| CtlError::Failed(error.to_string());
        let now = Minute(burn.minute);
        let record = TallySeries::try_from(burn.record).map_err(invalid)?;
        let mut services = Vec::new();
        let rows = table.rows.into_iter().map(|row| Row::try_from(row.row));
        let rows = rows.collect::<Result<Vec<_>, _>>().map_err(invalid)?;
        for row in &rows {
            if let Row::Service(row) = row {
                let weights = server_weights(&rows, &row.name);
                services.push(ServiceFigures::new(&record, row, &weights, now));
            }
        }
        let seconds = i64::try_from(now.0.saturating_mul(60)).unwrap_or(i64::MAX);
        let at = Timestamp::from_second(seconds);
        Ok(Self {
            at: at.map_or_else(|_| "?".to_string(), |at| at.to_string()),
            instances: burn.instances,
            unread: burn.unread,
            services,
        })
    }
}

impl ServiceFigures {
    fn new(record: &TallySeries, row: &ServiceRow, weights: &Weights, now: Minute) -> Self {
        let first = now.0.saturating_sub(SLOW_BURN.long - POINT_MINUTES);
        let ends = (first..=now.0).step_by(POINT_MINUTES as usize).map(Minute);
        let points =
            ends.map(|end| Point::new(&record.sum(&row.name, end, POINT_MINUTES), row, weights));
        Self {
            report: ServiceReport::new(record, row, weights, now),
            points: points.collect(),
        }
    }
}

impl Point {
    fn new(tally: &Tally, row: &ServiceRow, weights: &Weights) -> Self {
        let rate =
            |bad, budget| (tally.requests > 0).then(|| burn_rate(bad, tally.requests, budget));
        let is_observed = !tally.observed.is_zero();
        Self {
            failures: rate(tally.failed, row.objectives.failures_per_million),
            latency: rate(tally.slow, row.objectives.slow_per_million),
            imbalance: tally.imbalance(weights),
            churn: is_observed.then_some(tally.shards_moved as f64),
            unavailable: is_observed.then(|| tally.unreachable_share() * 100.0),
        }
    }
}

/// Weights of the active servers of a service.
type Weights = BTreeMap<ServerName, Weight>;

fn server_weights(rows: &[Row], service: &ServiceName) -> Weights {
    let active = rows.iter().filter_map(|row| match row {
        Row::Server(row) if row.service == *service && row.state == ServerState::Active => {
            Some((row.name.clone(), row.weight))
        }
        _ => None,
    });
    active.collect()
}

/// Returns the label of the report's most severe alert.
pub fn alert_label(report: &ServiceReport) -> &'static str {
    if report.requests == 0 {
        return "no data";
    }
    match report.failure_burn.alert().max(report.latency_burn.alert()) {
        Alert::None => "ok",
        Alert::Slow => "slow burn",
        Alert::Fast => "fast burn",
    }
}

/// Formats a burn rate. It is infinite if failures occur with a budget of 0.
pub fn format_rate(rate: f64) -> String {
    match rate.is_finite() {
        true => format!("{rate:.1}"),
        false => "over".to_string(),
    }
}
