//! Which keys are hot enough to be owned on their own.

use {
    super::Load,
    crate::{id::KeyHash, time::Time},
    std::{collections::BTreeMap, time::Duration},
};

/// When keys are taken out of their shard and put back.
#[derive(Debug, Clone)]
pub struct HotKeyLimits {
    /// Load of a key, in percent of a mean server's, that takes it out.
    pub extract_percent: u64,
    /// Load below which it goes back; well below `is_extracted`, so that a key at the
    /// limit does not go to and fro.
    pub return_percent: u64,
    /// How long either has to last.
    pub hold: Duration,
    /// The most keys taken out of one service.
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

/// A key whose place should change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HotKeyChange {
    /// It should be owned alone.
    Extract(KeyHash),
    /// It should go back into its shard.
    Return(KeyHash),
}

/// Follows the load of single keys.
#[derive(Debug, Default)]
pub struct HotKeyTracker {
    limits: HotKeyLimits,
    /// Since when a key has been on the other side of its limit.
    crossed_since: BTreeMap<KeyHash, Time>,
}

impl HotKeyTracker {
    /// With limits of its own.
    pub fn new(limits: HotKeyLimits) -> Self {
        let crossed_since = BTreeMap::new();
        Self {
            limits,
            crossed_since,
        }
    }

    /// The changes due now. `keys` holds the measured hottest keys and every key
    /// that is out; `mean_load` is the mean load of a server.
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
