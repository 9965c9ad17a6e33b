//! Metrics of the control thread.

use {
    crate::metrics::register,
    citron_core::{
        freshness::Age,
        ranges::{FreeReason, Order},
        slots::{DenyReason, SlotAnswer},
    },
    prometheus::{Gauge, IntCounter, IntCounterVec, IntGauge, Opts, Registry},
    std::time::Duration,
};

/// Counters and gauges of the control thread, in the same registry as those of the
/// traffic thread.
#[derive(Debug)]
pub struct ControlMetrics {
    /// Calls to the store, by result.
    store_calls: IntCounterVec,
    /// Tables fetched from other instances, by result.
    table_fetches: IntCounterVec,
    /// Orders to servers and commits, by kind and result.
    key_orders: IntCounterVec,
    /// Ranges of keys that became free for their next owner, by reason.
    keys_freed: IntCounterVec,
    /// Discarded responses of servers to other calls than the order that received them.
    pub stray_responses: IntCounter,
    /// Grants that were not sent, as another process may be listening at the server's address.
    pub withheld_grants: IntCounter,
    /// Requests for permits that the planner decided on, by result.
    permits: IntCounterVec,
    /// Answers to this instance's requests for slots.
    slot_requests: IntCounterVec,
    /// Age of the oldest watched table, in seconds.
    oldest_table_age: Gauge,
    /// Version of the configuration in force.
    pub config_version: IntGauge,
    /// Era of the store.
    pub store_era: IntGauge,
    /// 1 while this instance is the planner, otherwise 0.
    pub planning: IntGauge,
    /// Keys without an owner, as seen by the planner.
    pub waiting_keys: IntGauge,
    /// Longest time until they may be granted, in seconds.
    pub waiting_seconds: Gauge,
    /// Live instances, including this one.
    pub instances: IntGauge,
    /// Failure domains that are being evacuated.
    pub evacuated_domains: IntGauge,
    /// 1 while half of the servers or more do not respond to this instance, otherwise 0.
    pub cut_off: IntGauge,
    /// Servers that state a rate limit.
    pub limited_servers: IntGauge,
    /// Requests that wait for a slot at this instance as the broker.
    pub slot_queue: IntGauge,
    /// Slots that this instance has allocated as the broker.
    pub slot_leases: IntGauge,
}

impl ControlMetrics {
    /// Registers all metrics, with value zero.
    ///
    /// # Errors
    /// If a metric name is already registered.
    pub fn new(registry: &Registry) -> prometheus::Result<Self> {
        let counter = |name: &str, help: &str, labels: &[&str]| {
            register(registry, IntCounterVec::new(Opts::new(name, help), labels)?)
        };
        let gauge = |name: &str, help: &str| register(registry, IntGauge::new(name, help)?);
        Ok(Self {
            store_calls: counter(
                "citron_store_calls_total",
                "Calls to the outside platform's store.",
                &["result"],
            )?,
            table_fetches: counter(
                "citron_table_fetches_total",
                "Tables fetched from other instances.",
                &["result"],
            )?,
            key_orders: counter(
                "citron_key_orders_total",
                "Grants, releases and commits of the planner.",
                &["order", "result"],
            )?,
            keys_freed: counter(
                "citron_keys_freed_total",
                "Ranges of keys whose former owner counts as holding them no more.",
                &["reason"],
            )?,
            stray_responses: register(
                registry,
                IntCounter::new(
                    "citron_stray_responses_total",
                    "Responses of servers to other calls than the order that received them.",
                )?,
            )?,
            withheld_grants: register(
                registry,
                IntCounter::new(
                    "citron_withheld_grants_total",
                    "Grants not sent, as another process may be listening at the server's address.",
                )?,
            )?,
            permits: counter(
                "citron_permits_total",
                "Requests for servers with a rate limit that the planner admitted or not.",
                &["result"],
            )?,
            slot_requests: counter(
                "citron_slot_requests_total",
                "Answers of brokers to this instance's requests for slots of servers.",
                &["answer"],
            )?,
            slot_queue: gauge(
                "citron_slot_queue",
                "Requests that wait for a slot at this instance as the broker.",
            )?,
            slot_leases: gauge(
                "citron_slot_leases",
                "Slots of servers that this instance has allocated as the broker.",
            )?,
            oldest_table_age: register(
                registry,
                Gauge::new(
                    "citron_table_age_seconds",
                    "Seconds since the moment as of which the oldest table is known.",
                )?,
            )?,
            store_era: gauge(
                "citron_store_era",
                "Times that the outside platform's store came back from an older copy.",
            )?,
            config_version: gauge(
                "citron_configuration_version",
                "Version of the configuration in force.",
            )?,
            planning: gauge("citron_planning", "1 while this instance plans.")?,
            waiting_keys: gauge(
                "citron_waiting_keys",
                "Keys without an owner, at the planner.",
            )?,
            waiting_seconds: register(
                registry,
                Gauge::new(
                    "citron_waiting_seconds",
                    "Longest time until keys without an owner may be granted, at the planner.",
                )?,
            )?,
            instances: gauge(
                "citron_instances",
                "Instances heard of lately, this one included.",
            )?,
            evacuated_domains: gauge(
                "citron_evacuated_domains",
                "Failure domains to whose servers nothing is sent.",
            )?,
            cut_off: gauge(
                "citron_cut_off",
                "1 while backend servers do not respond to this instance.",
            )?,
            limited_servers: gauge(
                "citron_limited_servers",
                "Backend servers that state how many requests a second they take.",
            )?,
        })
    }

    /// Counts a call to the store; `answered` is true if it succeeded.
    pub fn count_store_call(&self, answered: bool) {
        self.store_calls
            .with_label_values(&[result_label(answered)])
            .inc();
    }

    /// Counts a fetch of a table from another instance.
    pub fn count_table_fetch(&self, fetched: bool) {
        self.table_fetches
            .with_label_values(&[result_label(fetched)])
            .inc();
    }

    /// Counts a range of keys that became free.
    pub fn count_freed(&self, reason: FreeReason) {
        self.keys_freed.with_label_values(&[reason.name()]).inc();
    }

    /// Counts a decision about a permit.
    pub fn count_permit(&self, granted: bool) {
        self.permits
            .with_label_values(&[result_label(granted)])
            .inc();
    }

    /// Counts an answer to a request for a slot.
    pub fn count_slot_answer(&self, answer: &SlotAnswer) {
        let label = match answer {
            SlotAnswer::Granted => "granted",
            SlotAnswer::Queued(_) => "queued",
            SlotAnswer::Denied { reason, .. } => match reason {
                DenyReason::Full => "full",
                DenyReason::Shed => "shed",
                DenyReason::Leaving => "leaving",
            },
        };
        self.slot_requests.with_label_values(&[label]).inc();
    }

    /// Sets the age of the oldest watched table from the ages of all.
    pub fn set_table_age(&self, ages: &[Age]) {
        let oldest = ages.iter().flatten().max();
        self.oldest_table_age
            .set(oldest.map_or(0.0, Duration::as_secs_f64));
    }

    /// Counts an order, by its kind and result.
    pub fn count_order(&self, order: &Order, done: bool) {
        let kind = match order {
            Order::Grant { .. } => "grant",
            Order::Release { .. } => "release",
            Order::Probe { .. } => "probe",
            Order::Commit(_) => "commit",
        };
        self.key_orders
            .with_label_values(&[kind, result_label(done)])
            .inc();
    }
}

fn result_label(done: bool) -> &'static str {
    if done { "ok" } else { "failed" }
}
