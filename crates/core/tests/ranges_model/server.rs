//! A server that holds keys by lease.

use {
    citron_core::{
        id::{Epoch, ServerName},
        ranges::{KeyRange, Slice},
        time::Time,
    },
    std::time::Duration,
};

/// Keys that a server may run requests on.
#[derive(Debug, Clone)]
pub struct Hold {
    pub range: KeyRange,
    pub epoch: Epoch,
    pub until: Time,
}

/// One start of a server.
#[derive(Debug)]
pub struct Server {
    pub name: ServerName,
    pub up: bool,
    pub leaving: bool,
    pub holds: Vec<Hold>,
    seen: Vec<(KeyRange, Epoch)>,
    slow: bool,
}

impl Server {
    pub fn new(name: ServerName, slow: bool) -> Self {
        Self {
            name,
            up: true,
            leaving: false,
            holds: Vec::new(),
            seen: Vec::new(),
            slow,
        }
    }

    /// Takes a grant that arrived at `arrived`, however much later it is carried
    /// out; `false` if a higher epoch was seen.
    pub fn grant(&mut self, slice: &Slice, hold: Duration, arrived: Time) -> bool {
        if self.seen(slice.range) > slice.epoch {
            return false;
        }
        let factor = if self.slow { 1.02 } else { 1.0 };
        self.drop_keys(slice.range);
        self.seen.push((slice.range, slice.epoch));
        self.holds.push(Hold {
            range: slice.range,
            epoch: slice.epoch,
            until: arrived + hold.mul_f64(factor),
        });
        true
    }

    /// Gives keys up, whatever the epoch.
    pub fn release(&mut self, range: KeyRange, epoch: Epoch) {
        self.drop_keys(range);
        self.seen.push((range, epoch));
    }

    fn seen(&self, range: KeyRange) -> Epoch {
        let touched = self
            .seen
            .iter()
            .filter(|(seen, _)| seen.common(range).is_some());
        touched.map(|(_, epoch)| *epoch).max().unwrap_or(Epoch(0))
    }

    fn drop_keys(&mut self, cut: KeyRange) {
        let mut holds = Vec::new();
        for hold in self.holds.drain(..) {
            match hold.range.common(cut) {
                None => holds.push(hold),
                Some(common) => {
                    let parts = hold.range.without(common).into_iter().flatten();
                    holds.extend(parts.map(|range| Hold {
                        range,
                        ..hold.clone()
                    }));
                }
            }
        }
        self.holds = holds;
    }
}
