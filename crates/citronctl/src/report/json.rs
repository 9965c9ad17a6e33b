//! The report as JSON.

use {
    super::figures::{Figures, ServiceFigures, alert_label},
    crate::error::CtlError,
    citron_core::slo::BurnRates,
    serde::Serialize,
};

#[derive(Debug, Serialize)]
struct ReportWire<'a> {
    at: &'a str,
    instances: &'a [String],
    unread: u32,
    services: Vec<ServiceWire>,
}

#[derive(Debug, Serialize)]
struct ServiceWire {
    service: String,
    alert: &'static str,
    failures: BurnsWire,
    latency: BurnsWire,
    requests: u64,
    imbalance: Option<f64>,
    churn: u64,
    unavailable_ms: u64,
}

/// Burn rates; null in JSON if the rate is infinite.
#[derive(Debug, Serialize)]
struct BurnsWire {
    m5: f64,
    h1: f64,
    m30: f64,
    h6: f64,
}

impl From<&BurnRates> for BurnsWire {
    fn from(core: &BurnRates) -> Self {
        Self {
            m5: core.fast.0,
            h1: core.fast.1,
            m30: core.slow.0,
            h6: core.slow.1,
        }
    }
}

impl From<&ServiceFigures> for ServiceWire {
    fn from(figures: &ServiceFigures) -> Self {
        let report = &figures.report;
        let unavailable = report.unavailable.as_millis();
        Self {
            service: report.service.to_string(),
            alert: alert_label(report),
            failures: (&report.failure_burn).into(),
            latency: (&report.latency_burn).into(),
            requests: report.requests,
            imbalance: report.imbalance,
            churn: report.churn,
            unavailable_ms: u64::try_from(unavailable).unwrap_or(u64::MAX),
        }
    }
}

/// Formats the report as JSON, without the points of the plots.
///
/// # Errors
/// If serialization fails.
pub fn json(figures: &Figures) -> Result<String, CtlError> {
    let wire = ReportWire {
        at: &figures.at,
        instances: &figures.instances,
        unread: figures.unread,
        services: figures.services.iter().map(Into::into).collect(),
    };
    let failed = |error: serde_json::Error| CtlError::Failed(error.to_string());
    serde_json::to_string_pretty(&wire).map_err(failed)
}
