//! What the parts of an instance that count share.

use prometheus::{Registry, core::Collector};

/// Registers a metric; the same one is given back.
///
/// # Errors
/// If its name is taken.
pub fn register<C>(registry: &Registry, metric: C) -> prometheus::Result<C>
where
    C: Collector + Clone + 'static,
{
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}
