//! Backend server of the model, which holds keys under leases.

use {
    citron_core::{
        id::{Epoch, ServerName},
        ranges::{KeyRange, Slice},
        time::Time,
    },
    std::time::Duration,
};

/// Keys that a server may serve until the end of their lease.
#[derive(Debug, Clone)]
pub struct HeldRange {
    pub range: KeyRange,
    pub epoch: Epoch,
    pub until: Time,
}

/// One process of a server.
#[derive(Debug)]
pub struct Server {
    pub name: ServerName,
    pub is_up: bool,
    pub is_leaving: bool,
    /// When planners learn of the process.
    pub registers_at: Time,
    pub held: Vec<HeldRange>,
    /// Epochs seen with grants and releases, by range.
    seen_epochs: Vec<(KeyRange, Epoch)>,
    /// Whether the clock runs 2% slow.
    has_slow_clock: bool,
}

impl Server {
    pub fn new(name: ServerName, registers_at: Time, has_slow_clock: bool) -> Self {
        Self {
            name,
            is_up: true,
            is_leaving: false,
            registers_at,
            held: Vec::new(),
            seen_epochs: Vec::new(),
            has_slow_clock,
        }
    }

    /// Executes a grant that arrived at `received_at`, possibly much earlier than now.
    /// Returns `false` if the server has seen a higher epoch.
    pub fn grant(&mut self, slice: &Slice, lease: Duration, received_at: Time) -> bool {
        if self.max_seen_epoch(slice.range) > slice.epoch {
            return false;
        }
        let factor = if self.has_slow_clock { 1.02 } else { 1.0 };
        self.remove_keys(slice.range);
        self.seen_epochs.push((slice.range, slice.epoch));
        self.held.push(HeldRange {
            range: slice.range,
            epoch: slice.epoch,
            until: received_at + lease.mul_f64(factor),
        });
        true
    }

    /// Releases keys regardless of the epoch under which they are held.
    pub fn release(&mut self, range: KeyRange, epoch: Epoch) {
        self.remove_keys(range);
        self.seen_epochs.push((range, epoch));
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
