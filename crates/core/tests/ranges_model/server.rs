//! Backend server of the model, which holds keys under leases.

use {
    crate::violation::Granter,
    citron_core::{
        id::{Epoch, ServerName},
        ranges::{KeyRange, RangeKey, Slice},
        time::Time,
    },
    rand::Rng,
    std::time::Duration,
};

/// Longest time that a request takes, in milliseconds.
const WORK_MAX: u64 = 2_000;

/// Keys that a server may serve until the end of their lease.
#[derive(Debug, Clone)]
pub struct HeldRange {
    pub range: KeyRange,
    pub epoch: Epoch,
    pub until: Time,
    pub granter: Granter,
}

/// Request in progress on one key.
#[derive(Debug, Clone)]
pub struct Work {
    pub key: KeyRange,
    /// The hold under which it began, as renewed since. The work ends with it.
    pub hold: HeldRange,
    ends: Time,
}

impl Work {
    /// When the work ends at the latest.
    pub fn end(&self) -> Time {
        self.ends.min(self.hold.until)
    }
}

/// One process of a server.
#[derive(Debug)]
pub struct Server {
    pub name: ServerName,
    /// Name under which planners know it: that of the former process until it has registered.
    pub listed: ServerName,
    pub started: Time,
    pub registers: Time,
    pub is_up: bool,
    /// When its process ended, if it did.
    pub ended: Option<Time>,
    pub is_leaving: bool,
    /// Whether it has left the list of servers, and still runs.
    pub is_unlisted: bool,
    pub held: Vec<HeldRange>,
    pub work: Vec<Work>,
    /// Epochs seen with grants and releases, by range.
    seen_epochs: Vec<(KeyRange, Epoch)>,
    /// Whether the clock runs 2% slow.
    has_slow_clock: bool,
}

impl Server {
    pub fn new(name: ServerName, has_slow_clock: bool) -> Self {
        Self {
            listed: name.clone(),
            name,
            started: Time::ZERO,
            registers: Time::ZERO,
            is_up: true,
            ended: None,
            is_leaving: false,
            is_unlisted: false,
            held: Vec::new(),
            work: Vec::new(),
            seen_epochs: Vec::new(),
            has_slow_clock,
        }
    }

    /// Executes a grant that arrived at `received_at`, possibly much earlier than now.
    /// Returns `false` if the server has seen a higher epoch.
    pub fn grant(
        &mut self,
        slice: &Slice,
        lease: Duration,
        received_at: Time,
        granter: Granter,
    ) -> bool {
        if self.max_seen_epoch(slice.range) > slice.epoch {
            return false;
        }
        let factor = if self.has_slow_clock { 1.02 } else { 1.0 };
        self.remove_keys(slice.range);
        self.seen_epochs.push((slice.range, slice.epoch));
        let hold = HeldRange {
            range: slice.range,
            epoch: slice.epoch,
            until: received_at + lease.mul_f64(factor),
            granter,
        };
        let work = self.work.iter_mut();
        work.filter(|work| work.key.intersection(hold.range).is_some())
            .for_each(|work| work.hold = hold.clone());
        self.held.push(hold);
        true
    }

    /// Releases keys regardless of the epoch under which they are held. Returns the end of the
    /// work on them, at which the release is answered.
    pub fn release(&mut self, range: KeyRange, epoch: Epoch) -> Time {
        self.remove_keys(range);
        self.seen_epochs.push((range, epoch));
        let work = self.work.iter();
        let ends = work.filter(|work| work.key.intersection(range).is_some());
        ends.map(Work::end).max().unwrap_or_default()
    }

    /// Begins a request on a random key that is held. Returns the key.
    pub fn begin_work(&mut self, rng: &mut impl Rng, now: Time) -> Option<KeyRange> {
        self.work.retain(|work| work.end() > now);
        let unexpired = self.held.iter().filter(|held| held.until > now);
        let unexpired: Vec<&HeldRange> = unexpired.collect();
        if unexpired.is_empty() {
            return None;
        }
        let hold = unexpired[rng.random_range(0..unexpired.len())].clone();
        let key = RangeKey(rng.random_range(hold.range.first.0..=hold.range.last.0));
        let key = KeyRange {
            first: key,
            last: key,
        };
        let ends = now + Duration::from_millis(rng.random_range(50..WORK_MAX));
        self.work.push(Work { key, hold, ends });
        Some(key)
    }

    fn max_seen_epoch(&self, range: KeyRange) -> Epoch {
        let overlapping = self
            .seen_epochs
            .iter()
            .filter(|(seen, _)| seen.intersection(range).is_some());
        overlapping
            .map(|(_, epoch)| *epoch)
            .max()
            .unwrap_or(Epoch(0))
    }

    fn remove_keys(&mut self, removed: KeyRange) {
        let mut held = Vec::new();
        for current in self.held.drain(..) {
            match current.range.intersection(removed) {
                None => held.push(current),
                Some(common) => {
                    let remaining_parts = current.range.difference(common).into_iter().flatten();
                    held.extend(remaining_parts.map(|range| HeldRange {
                        range,
                        ..current.clone()
                    }));
                }
            }
        }
        self.held = held;
    }
}
