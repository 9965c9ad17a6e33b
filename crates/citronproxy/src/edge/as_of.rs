//! As of when the tables are known that requests are decided by.

use {
    citron_core::{
        freshness::{Age, Newer, Standing},
        time::Time,
    },
    std::{
        fmt,
        sync::atomic::{AtomicU8, AtomicU64, Ordering},
        time::Duration,
    },
};

/// The moments as of which an instance knows the tables of configuration, servers
/// and owners of keys, and whether a newer configuration is known of. Control writes
/// them with each answer, traffic reads them with each answer of its own.
///
/// Written with release after the view that they describe, [`Newer`] before the moments;
/// read with acquire in the opposite order.
#[derive(Debug, Default)]
pub struct AsOf {
    /// Microseconds and one more; 0 if the table was never read.
    moments: [AtomicU64; 3],
    newer: AtomicU8,
}

impl AsOf {
    /// A table, by its place among the watched ones, is known as of a moment.
    pub fn note(&self, table: usize, moment: Time) {
        self.moments[table].store(moment.as_micros() + 1, Ordering::Release);
    }

    /// What is known of newer configurations.
    pub fn note_newer(&self, newer: Newer) {
        self.newer.store(newer as u8, Ordering::Release);
    }

    /// How current the configuration is.
    pub fn config(&self, now: Time) -> Standing {
        let age = self.ages(now).config;
        let newer = match self.newer.load(Ordering::Acquire) {
            told if told == Newer::Told as u8 => Newer::Told,
            unreadable if unreadable == Newer::Unreadable as u8 => Newer::Unreadable,
            _ => Newer::None,
        };
        Standing { age, newer }
    }

    /// How old what is known is.
    pub fn ages(&self, now: Time) -> Ages {
        let age = |moment: &AtomicU64| {
            let micros = moment.load(Ordering::Acquire).checked_sub(1)?;
            Some(now - Time::from_micros(micros))
        };
        let [config, servers, keys] = self.moments.each_ref().map(age);
        Ages {
            config,
            servers,
            keys,
        }
    }
}

/// How old what is known is.
#[derive(Debug, Clone, Copy)]
pub struct Ages {
    /// The configuration.
    pub config: Age,
    /// The servers' entries.
    pub servers: Age,
    /// The owners of keys.
    pub keys: Age,
}

impl fmt::Display for Ages {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let millis = |age: Age| age.map_or("-".to_string(), shown);
        let [config, servers, keys] = [self.config, self.servers, self.keys].map(millis);
        write!(
            f,
            "config_age={config} servers_age={servers} keys_age={keys}"
        )
    }
}

fn shown(age: Duration) -> String {
    format!("{}ms", age.as_millis())
}
