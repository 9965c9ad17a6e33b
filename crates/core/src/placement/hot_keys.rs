//! Selection of the keys that are hot enough to be assigned apart from their shard.

use {
    super::Load,
    crate::{id::KeyHash, time::Time},
    std::{collections::BTreeMap, time::Duration},
};

/// Limits for extracting keys from their shard and returning them to it.
#[derive(Debug, Clone)]
pub struct HotKeyLimits {
    /// Load from which a key is extracted, in percent of the mean load of a server.
    pub extract_percent: u64,
    /// Load below which a key is returned, in percent of the mean load of a server. It is
    /// well below `extract_percent`, so that a key near the limit does not change back
    /// and forth.
    pub return_percent: u64,
    /// How long a key must stay beyond its limit before it is extracted or returned.
    pub hold: Duration,
    /// Maximum number of extracted keys of one service.
    pub max_keys: usize,
}

impl Default for HotKeyLimits {
    fn default() -> Self {
        Self {
            extract_percent: 20,
            return_percent: 8,
            hold: Duration::from_secs(10),
            max_keys: 160,
        }
    }
}

/// Recommended change for one key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HotKeyChange {
    /// Assign the key apart from its shard.
    Extract(KeyHash),
    /// Return the key to its shard.
    Return(KeyHash),
}

/// Tracks the load of the hottest keys of one service.
#[derive(Debug, Default)]
pub struct HotKeyTracker {
    limits: HotKeyLimits,
    /// When each key passed its limit.
    crossed_since: BTreeMap<KeyHash, Time>,
}

impl HotKeyTracker {
    /// Creates a tracker with the given limits.
    pub fn new(limits: HotKeyLimits) -> Self {
        let crossed_since = BTreeMap::new();
        Self {
            limits,
            crossed_since,
        }
    }

    /// Returns the changes that are due. `keys` holds the hottest keys measured and every
    /// extracted key, each with its load and whether it is extracted; `mean_load` is the
    /// mean load of a server.
    pub fn update(
        &mut self,
        keys: &[(KeyHash, Load, bool)],
        mean_load: Load,
        now: Time,
    ) -> Vec<HotKeyChange> {
        let percent = |load: Load| load.0.saturating_mul(100) / mean_load.0.max(1);
        let crossed = keys
            .iter()
            .filter(|(_, load, is_extracted)| match is_extracted {
                true => percent(*load) < self.limits.return_percent,
                false => percent(*load) >= self.limits.extract_percent,
            });
        let mut crossed: Vec<_> = crossed.copied().collect();
        crossed.sort_by_key(|(key, load, _)| (std::cmp::Reverse(*load), *key));
        self.crossed_since
            .retain(|key, _| crossed.iter().any(|(other, _, _)| other == key));
        let mut remaining = self
            .limits
            .max_keys
            .saturating_sub(keys.iter().filter(|key| key.2).count());
        let mut changes = Vec::new();
        for (key, _, is_extracted) in crossed {
            let since = *self.crossed_since.entry(key).or_insert(now);
            if now - since < self.limits.hold {
                continue;
            }
            if is_extracted {
                changes.push(HotKeyChange::Return(key));
            } else if remaining > 0 {
                remaining -= 1;
                changes.push(HotKeyChange::Extract(key));
            }
        }
        changes
    }
}
