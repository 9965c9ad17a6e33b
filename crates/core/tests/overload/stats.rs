//! Measurements of a simulation run.

use {
    citron_core::time::Time,
    hdrhistogram::Histogram,
    std::{collections::BTreeMap, ops::Range, time::Duration},
};

/// Time before which requests are left out of the totals.
const WARMUP_END: Time = Time::from_micros(5_000_000);

pub struct Stats {
    slots: u32,
    capacity: f64,
    offered: Vec<u64>,
    good: Vec<u64>,
    refused: u64,
    server_refused: u64,
    idle: f64,
    latency: Histogram<u64>,
    last: Time,
    arrived: BTreeMap<u64, u64>,
    answered: BTreeMap<u64, u64>,
}

impl Stats {
    pub fn new(instances: usize, slots: u32, capacity: f64) -> Self {
        Self {
            slots,
            capacity,
            offered: vec![0; instances],
            good: vec![0; instances],
            refused: 0,
            server_refused: 0,
            idle: 0.0,
            latency: Histogram::new_with_max(60_000_000, 3).expect("valid bounds"),
            last: Time::ZERO,
            arrived: BTreeMap::new(),
            answered: BTreeMap::new(),
        }
    }

    pub fn idle(&mut self, slots: u32, span: Duration, now: Time) {
        self.last = now;
        if now >= WARMUP_END {
            self.idle += f64::from(slots) * span.as_secs_f64();
        }
    }

    pub fn offered(&mut self, instance: usize, now: Time) {
        *self.arrived.entry(second(now)).or_default() += 1;
        self.offered[instance] += u64::from(now >= WARMUP_END);
    }

    pub fn good(&mut self, instance: usize, latency: Duration, now: Time) {
        *self.answered.entry(second(now)).or_default() += 1;
        if now >= WARMUP_END {
            self.good[instance] += 1;
            self.latency.saturating_record(latency.as_micros() as u64);
        }
    }

    pub fn refused(&mut self, now: Time) {
        self.refused += u64::from(now >= WARMUP_END);
    }

    pub fn server_refused(&mut self, now: Time) {
        self.server_refused += u64::from(now >= WARMUP_END);
    }

    fn span(&self) -> f64 {
        (self.last - WARMUP_END).as_secs_f64()
    }

    /// Responses per second divided by the capacity.
    pub fn goodput(&self) -> f64 {
        self.good.iter().sum::<u64>() as f64 / self.span() / self.capacity
    }

    /// Responses divided by new requests, in a range of seconds.
    pub fn answered_part(&self, seconds: Range<u64>) -> f64 {
        let sum = |counts: &BTreeMap<u64, u64>| -> u64 {
            let window = counts.range(seconds.clone());
            window.map(|(_, count)| count).sum()
        };
        sum(&self.answered) as f64 / sum(&self.arrived) as f64
    }

    /// Idle slot time while requests waited, divided by all slot time.
    pub fn idle_share(&self) -> f64 {
        self.idle / self.span() / f64::from(self.slots)
    }

    pub fn p99(&self) -> Duration {
        Duration::from_micros(self.latency.value_at_quantile(0.99))
    }

    /// Rejected requests divided by offered ones.
    pub fn refused_share(&self) -> f64 {
        self.refused as f64 / self.offered.iter().sum::<u64>() as f64
    }

    /// The server's own refusals divided by the responses.
    pub fn server_refused_share(&self) -> f64 {
        self.server_refused as f64 / self.good.iter().sum::<u64>() as f64
    }

    /// Jain's index over the instances' fractions of requests answered.
    pub fn fairness(&self) -> f64 {
        let pairs = self.good.iter().zip(&self.offered);
        let parts: Vec<f64> = pairs.map(|(g, o)| *g as f64 / *o as f64).collect();
        let sum: f64 = parts.iter().sum();
        let squares: f64 = parts.iter().map(|part| part * part).sum();
        sum * sum / (parts.len() as f64 * squares)
    }
}

fn second(time: Time) -> u64 {
    time.as_micros() / 1_000_000
}
