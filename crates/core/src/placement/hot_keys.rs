//! Which keys are hot enough to be owned on their own.

use {
    super::Load,
    crate::{id::KeyHash, time::Time},
    std::{collections::BTreeMap, time::Duration},
};

/// When keys are taken out of their shard and put back.
#[derive(Debug, Clone)]
pub struct HotLimits {
    /// Load of a key, in percent of a mean server's, that takes it out.
    pub out: u64,
    /// Load below which it goes back; well below `out`, so that a key at the
    /// limit does not go to and fro.
    pub back: u64,
    /// How long either has to last.
    pub hold: Duration,
    /// The most keys taken out of one service.
    pub most: usize,
}

impl Default for HotLimits {
    fn default() -> Self {
        Self {
            out: 20,
            back: 8,
            hold: Duration::from_secs(10),
            most: 160,
        }
    }
}

/// A key whose place should change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HotChange {
    /// It should be owned alone.
    Out(KeyHash),
    /// It should go back into its shard.
    Back(KeyHash),
}

/// Follows the load of single keys.
#[derive(Debug, Default)]
pub struct HotKeys {
    limits: HotLimits,
    /// Since when a key has been on the other side of its limit.
    since: BTreeMap<KeyHash, Time>,
}

impl HotKeys {
    /// With limits of its own.
    pub fn new(limits: HotLimits) -> Self {
        let since = BTreeMap::new();
        Self { limits, since }
    }

    /// The changes due now. `keys` holds the measured hottest keys and every key
    /// that is out; `mean` is the mean load of a server.
    pub fn step(
        &mut self,
        keys: &[(KeyHash, Load, bool)],
        mean: Load,
        now: Time,
    ) -> Vec<HotChange> {
        let percent = |load: Load| load.0.saturating_mul(100) / mean.0.max(1);
        let crossed = keys.iter().filter(|(_, load, out)| match out {
            true => percent(*load) < self.limits.back,
            false => percent(*load) >= self.limits.out,
        });
        let mut crossed: Vec<_> = crossed.copied().collect();
        crossed.sort_by_key(|(key, load, _)| (std::cmp::Reverse(*load), *key));
        self.since
            .retain(|key, _| crossed.iter().any(|(other, _, _)| other == key));
        let mut room = self
            .limits
            .most
            .saturating_sub(keys.iter().filter(|key| key.2).count());
        let mut changes = Vec::new();
        for (key, _, out) in crossed {
            let since = *self.since.entry(key).or_insert(now);
            if now - since < self.limits.hold {
                continue;
            }
            if out {
                changes.push(HotChange::Back(key));
            } else if room > 0 {
                room -= 1;
                changes.push(HotChange::Out(key));
            }
        }
        changes
    }
}
