//! Registration of metrics.

use prometheus::{Registry, core::Collector};

/// Registers a metric and returns it.
///
/// # Errors
/// If a metric of the same name is already registered.
pub fn register<C>(registry: &Registry, metric: C) -> prometheus::Result<C>
where
    C: Collector + Clone + 'static,
{
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}
