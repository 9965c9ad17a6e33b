//! Age of the tables by which requests are routed, shared between threads.

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

/// Moments as of which this instance knows its tables, and whether its configuration lags
/// behind a known version. Written by the control thread; the traffic thread reads it for
/// each response that it generates itself.
///
/// The view is published first, then [`Lag`], then the moments, each with release
/// ordering. Reads use acquire ordering in the opposite order.
#[derive(Debug, Default)]
pub struct SharedFreshness {
    /// Microseconds plus one; 0 if the table was never read.
    as_of_micros: [AtomicU64; 3],
    lag: AtomicU8,
    /// Microseconds until which the configuration may lack what a copy of the store lacked.
    restored_until_micros: AtomicU64,
}

impl SharedFreshness {
    /// Sets the moment as of which a table is known. `table` is its index among the
    /// watched tables.
    pub fn set_as_of(&self, table: usize, as_of: Time) {
        self.as_of_micros[table].store(as_of.as_micros() + 1, Ordering::Release);
    }

    /// Sets whether the configuration lags behind a known version.
    pub fn set_lag(&self, lag: Lag) {
        self.lag.store(lag as u8, Ordering::Release);
    }

    /// Sets until when the operators may write again what a restored store lacks.
    pub fn set_restored_until(&self, until: Time) {
        let micros = until.as_micros();
        self.restored_until_micros.store(micros, Ordering::Release);
    }

    /// Age and lag of the configuration.
    pub fn config_standing(&self, now: Time) -> Staleness {
        let age = self.ages(now).config;
        let lag = match self.lag.load(Ordering::Acquire) {
            advertised if advertised == Lag::Advertised as u8 => Lag::Advertised,
            unreadable if unreadable == Lag::Unreadable as u8 => Lag::Unreadable,
            _ if now.as_micros() < self.restored_until_micros.load(Ordering::Acquire) => {
                Lag::Restored
            }
            _ => Lag::None,
        };
        Staleness { age, lag }
    }

    /// Ages of all tables.
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

/// Ages of the tables.
#[derive(Debug, Clone, Copy)]
pub struct TableAges {
    /// Age of the configuration.
    pub config: Age,
    /// Age of the table of servers.
    pub servers: Age,
    /// Age of the maps, which name the owners of keys.
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
