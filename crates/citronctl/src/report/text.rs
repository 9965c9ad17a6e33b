//! The report as text.

use {
    super::figures::{Figures, ServiceFigures, alert_label, format_rate},
    crate::grid,
    citron_core::slo::BurnRates,
};

const HEADINGS: [&str; 13] = [
    "service",
    "alert",
    "fail 5m",
    "1h",
    "30m",
    "6h",
    "slow 5m",
    "1h",
    "30m",
    "6h",
    "requests",
    "imbalance",
    "churn",
];

/// Formats the report with one line per service. Burn rates are multiples of the allowed
/// rate.
pub fn text(figures: &Figures) -> String {
    let headings = HEADINGS.iter().copied().chain(["unavailable s"]);
    let headings: Vec<String> = headings.map(str::to_string).collect();
    let rows: Vec<_> = figures.services.iter().map(report_row).collect();
    let mut text = grid::layout(&headings, &rows);
    text.push_str(&format!(
        "\nas of {}, counted by {}",
        figures.at,
        instance_names(figures)
    ));
    if figures.unread > 0 {
        text.push_str(&format!("; records not readable: {}", figures.unread));
    }
    text.push('\n');
    text
}

/// Formats the names of the instances whose counts are included.
pub fn instance_names(figures: &Figures) -> String {
    match figures.instances.as_slice() {
        [] => "no instance".to_string(),
        names => names.join(", "),
    }
}

fn report_row(service: &ServiceFigures) -> Vec<String> {
    let report = &service.report;
    let mut cells = vec![report.service.to_string(), alert_label(report).to_string()];
    cells.extend(format_rates(&report.failure_burn));
    cells.extend(format_rates(&report.latency_burn));
    cells.push(report.requests.to_string());
    let imbalance = report.imbalance.map(|ratio| format!("{ratio:.2}"));
    cells.push(imbalance.unwrap_or_else(|| "-".to_string()));
    cells.push(report.churn.to_string());
    cells.push(format!("{:.1}", report.unavailable.as_secs_f64()));
    cells
}

/// Formats the burn rates over 5 min, 1 h, 30 min and 6 h.
pub fn format_rates(burns: &BurnRates) -> [String; 4] {
    [burns.fast.0, burns.fast.1, burns.slow.0, burns.slow.1].map(format_rate)
}
