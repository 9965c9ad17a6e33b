//! The report as a self-contained HTML page.

use {
    super::{
        figures::{Figures, Point, ServiceFigures, alert_label},
        plot::Plot,
        text::{format_rates, instance_names},
    },
    citron_core::slo::{BurnRates, FAST_BURN},
};

const STYLE: &str = "\
:root { color-scheme: light dark; }
body { font: 15px/1.45 system-ui, sans-serif; max-width: 60rem; margin: 2rem auto; padding: 0 1rem; }
table { border-collapse: collapse; margin: .5rem 0 1rem; }
th, td { padding: .2rem .7rem; text-align: right; border-bottom: 1px solid #8884; }
th:first-child, td:first-child { text-align: left; }
.plots { display: grid; grid-template-columns: repeat(auto-fit, minmax(24rem, 1fr)); gap: 1rem; }
figure { margin: 0; } figcaption { font-size: 13px; }
svg { width: 100%; height: auto; } svg text { font-size: 10px; fill: currentColor; }
.axis { stroke: #8884; } .line { fill: none; stroke: #2a7de1; stroke-width: 1.6; }
.dot { fill: #2a7de1; } .limit { stroke: #d33; stroke-dasharray: 4 3; }
.alert { color: #fff; background: #c22; padding: 0 .5rem; border-radius: .3rem; }
.ok { color: #fff; background: #27803b; padding: 0 .5rem; border-radius: .3rem; }
";

/// Renders the report as an HTML page without external resources.
pub fn html(figures: &Figures) -> String {
    let mut page = format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <title>Service-level burn</title>\n<style>\n{STYLE}</style></head><body>\n\
         <h1>Service-level burn</h1>\n<p>As of {}, counted by {}.",
        escape(&figures.at),
        escape(&instance_names(figures)),
    );
    if figures.unread > 0 {
        page.push_str(&format!(" Records not readable: {}.", figures.unread));
    }
    page.push_str(
        " A burn of 1 spends the budget exactly over its period; the dashed line is the fast \
         rule, 14.4 over 5 minutes and 1 hour.</p>\n",
    );
    for service in &figures.services {
        page.push_str(&section(service));
    }
    page.push_str("</body></html>\n");
    page
}

fn section(service: &ServiceFigures) -> String {
    let report = &service.report;
    let alert = alert_label(report);
    let class = match alert {
        "ok" | "no data" => "ok",
        _ => "alert",
    };
    let imbalance = report.imbalance.map(|ratio| format!("{ratio:.2}"));
    let mut section = format!(
        "<section>\n<h2>{} <span class=\"{class}\">{alert}</span></h2>\n\
         <table><tr><th>burn</th><th>5 min</th><th>1 h</th><th>30 min</th><th>6 h</th></tr>\n{}{}</table>\n\
         <p>{} requests in 6 h; imbalance {} over the last hour; {} shards moved; a key was \
         unavailable for {:.1} s on the mean.</p>\n<div class=\"plots\">\n",
        escape(report.service.as_str()),
        row("failures", &report.failure_burn),
        row("latency", &report.latency_burn),
        report.requests,
        imbalance.unwrap_or_else(|| "not known".to_string()),
        report.churn,
        report.unavailable.as_secs_f64(),
    );
    for plot in plots(&service.points) {
        section.push_str(&plot.svg());
    }
    section.push_str("</div>\n</section>\n");
    section
}

fn row(name: &str, burns: &BurnRates) -> String {
    let cells = format_rates(burns).map(|rate| format!("<td>{rate}</td>"));
    format!("<tr><td>{name}</td>{}</tr>\n", cells.concat())
}

fn plots(points: &[Point]) -> Vec<Plot> {
    let plot = |title, min_height, limit, value: fn(&Point) -> Option<f64>| Plot {
        title,
        points: points.iter().map(value).collect(),
        min_height,
        limit,
    };
    let fast = Some(FAST_BURN.rate);
    vec![
        plot(
            "burn of failures, multiple of the allowed rate",
            1.0,
            fast,
            |point| point.failures,
        ),
        plot(
            "burn of latency, multiple of the allowed rate",
            1.0,
            fast,
            |point| point.latency,
        ),
        plot(
            "imbalance, fullest server over the mean",
            2.0,
            None,
            |point| point.imbalance,
        ),
        plot("churn, shards moved in 5 min", 1.0, None, |point| {
            point.churn
        }),
        plot(
            "unavailable, percent of keys and time",
            1.0,
            None,
            |point| point.unavailable,
        ),
    ]
}

fn escape(text: &str) -> String {
    let escaped = text.replace('&', "&amp;").replace('<', "&lt;");
    escaped.replace('>', "&gt;").replace('"', "&quot;")
}
