//! As of when the tables are known that requests are decided by.

use {
    citron_core::{
        freshness::{Age, Lag, Staleness},
        time::Time,
    },
    std::{
        fmt,
        sync::atomic::{AtomicU8, AtomicU64, Ordering},
        time::Duration,
    },
};

/// The moments as of which an instance knows its tables, and whether its configuration lags
/// behind a known version. Written by control, read by traffic with each response of its own.
///
/// Written with release after the view that they describe, [`Lag`] before the moments;
/// read with acquire in the opposite order.
#[derive(Debug, Default)]
pub struct SharedFreshness {
    /// Microseconds plus one; 0 if the table was never read.
    as_of_micros: [AtomicU64; 3],
    lag: AtomicU8,
}

impl SharedFreshness {
    /// A table, by its place among the watched ones, is known as of a moment.
    pub fn set_as_of(&self, table: usize, as_of: Time) {
        self.as_of_micros[table].store(as_of.as_micros() + 1, Ordering::Release);
    }

    /// Whether the configuration lags behind a known version.
    pub fn set_lag(&self, lag: Lag) {
        self.lag.store(lag as u8, Ordering::Release);
    }

    /// How current the configuration is.
    pub fn config_standing(&self, now: Time) -> Staleness {
        let age = self.ages(now).config;
        let lag = match self.lag.load(Ordering::Acquire) {
            advertised if advertised == Lag::Advertised as u8 => Lag::Advertised,
            unreadable if unreadable == Lag::Unreadable as u8 => Lag::Unreadable,
            _ => Lag::None,
        };
        Staleness { age, lag }
    }

    /// How old what is known is.
    pub fn ages(&self, now: Time) -> TableAges {
        let age = |as_of: &AtomicU64| {
            let micros = as_of.load(Ordering::Acquire).checked_sub(1)?;
            Some(now - Time::from_micros(micros))
        };
        let [config, servers, keys] = self.as_of_micros.each_ref().map(age);
        TableAges {
            config,
            servers,
            keys,
        }
    }
}

/// How old what is known is.
#[derive(Debug, Clone, Copy)]
pub struct TableAges {
    /// The configuration.
    pub config: Age,
    /// The servers' entries.
    pub servers: Age,
    /// The owners of keys.
    pub keys: Age,
}

impl fmt::Display for TableAges {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = |age: Age| age.map_or("-".to_string(), format_millis);
        let [config, servers, keys] = [self.config, self.servers, self.keys].map(millis);
        write!(
            f,
            "config_age={config} servers_age={servers} keys_age={keys}"
        )
    }
}

fn format_millis(age: Duration) -> String {
    format!("{}ms", age.as_millis())
}
