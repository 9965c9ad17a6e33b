//! Who owns which keys of a service.

use {
    super::{KeyRange, RangeError, RangeKey},
    crate::{
        id::{Epoch, ServerName},
        time::StoreTime,
    },
};

/// Keys in a row with one owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Slice {
    /// The keys.
    pub range: KeyRange,
    /// The start of a backend server that owns them; `None` before the first.
    pub owner: Option<ServerName>,
    /// Fencing token, above all those with which other servers had a key of it.
    pub epoch: Epoch,
    /// What the last owner left for this one, so that it need not start cold.
    pub handover: Option<String>,
    /// When the owner's lease has run out at the latest. With it nobody grants the
    /// keys to the owner any more, whoever plans, and they wait for that time.
    pub expiry: Option<StoreTime>,
}

impl Slice {
    /// The part of it within a range.
    pub(super) fn clipped_to(&self, range: KeyRange) -> Option<Self> {
        let range = self.range.intersection(range)?;
        Some(Self {
            range,
            ..self.clone()
        })
    }
}

/// The slices of a service, without gaps, in the order of their keys.
///
/// ```
/// use citron_core::ranges::{KeyRange, RangeKey, RangeMap};
/// let mut map = RangeMap::new();
/// let range: KeyRange = "0-99".parse().unwrap();
/// map.assign(range, &"s-1".parse().unwrap(), None);
/// assert_eq!(map.slice(RangeKey(99)).owner, Some("s-1".parse().unwrap()));
/// assert_eq!(map.slice(RangeKey(100)).owner, None);
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RangeMap {
    slices: Vec<Slice>,
}

impl Default for RangeMap {
    fn default() -> Self {
        Self::new()
    }
}

impl RangeMap {
    /// A map in which no key has an owner.
    pub fn new() -> Self {
        let unowned = Slice {
            range: KeyRange::ALL,
            owner: None,
            epoch: Epoch(0),
            handover: None,
            expiry: None,
        };
        Self {
            slices: vec![unowned],
        }
    }

    /// A map of slices that were kept elsewhere.
    ///
    /// # Errors
    /// If they leave a key out or hold one twice.
    pub fn from_slices(slices: Vec<Slice>) -> Result<Self, RangeError> {
        let mut next = Some(RangeKey(0));
        for slice in &slices {
            if next != Some(slice.range.first) {
                return Err(RangeError::NotContiguous { range: slice.range });
            }
            next = slice.range.next_key();
        }
        match next {
            None => {
                let mut map = Self { slices };
                map.merge_adjacent();
                Ok(map)
            }
            Some(_) => Err(RangeError::NotContiguous {
                range: KeyRange::ALL,
            }),
        }
    }

    /// All slices in order.
    pub fn slices(&self) -> &[Slice] {
        &self.slices
    }

    /// The slice that holds a key.
    pub fn slice(&self, key: RangeKey) -> &Slice {
        let index = self.slices.partition_point(|slice| slice.range.last < key);
        &self.slices[index]
    }

    /// Slices of one server.
    pub fn owned_by<'a>(&'a self, server: &'a ServerName) -> impl Iterator<Item = &'a Slice> {
        let is_owner = move |slice: &&Slice| slice.owner.as_ref() == Some(server);
        self.slices.iter().filter(is_owner)
    }

    /// Slices that hold keys of a range.
    pub fn overlapping(&self, range: KeyRange) -> impl Iterator<Item = &Slice> {
        let first = self
            .slices
            .partition_point(|slice| slice.range.last < range.first);
        let slices = self.slices[first..].iter();
        slices.take_while(move |slice| slice.range.first <= range.last)
    }

    /// The slices of a range, cut at its ends.
    pub fn slices_in(&self, range: KeyRange) -> Vec<Slice> {
        let slices = self.overlapping(range);
        slices.filter_map(|slice| slice.clipped_to(range)).collect()
    }

    /// The highest epoch of any key of a range.
    pub fn max_epoch(&self, range: KeyRange) -> Epoch {
        let epochs = self.overlapping(range).map(|slice| slice.epoch);
        epochs.max().unwrap_or(Epoch(0))
    }

    /// Gives keys to a server, under an epoch above all former ones of theirs.
    pub fn assign(&mut self, range: KeyRange, owner: &ServerName, handover: Option<String>) {
        self.assign_all([(range, owner.clone(), handover)]);
    }

    /// The same for many ranges that have no key in common, in one pass.
    pub fn assign_all(
        &mut self,
        owners: impl IntoIterator<Item = (KeyRange, ServerName, Option<String>)>,
    ) {
        let assigned = owners.into_iter().map(|(range, owner, handover)| Slice {
            range,
            owner: Some(owner),
            epoch: Epoch(self.max_epoch(range).0 + 1),
            handover,
            expiry: None,
        });
        let assigned = assigned.collect();
        self.replace_all(assigned);
    }

    /// Notes when the lease of keys has run out: they are not granted any more.
    pub fn set_expiry(&mut self, range: KeyRange, expiry: StoreTime) {
        self.set_expiries([(range, expiry)]);
    }

    /// The same for many ranges that have no key in common, in one pass.
    pub fn set_expiries(&mut self, expiries: impl IntoIterator<Item = (KeyRange, StoreTime)>) {
        let expired = expiries.into_iter().map(|(range, expiry)| Slice {
            range,
            expiry: Some(expiry),
            ..self.slice(range.first).clone()
        });
        let expired = expired.collect();
        self.replace_all(expired);
    }

    /// Sets the slice of a range.
    ///
    /// # Errors
    /// If the epoch is not above all former ones of the keys.
    pub fn set(&mut self, slice: Slice) -> Result<(), RangeError> {
        let highest = self.max_epoch(slice.range);
        if slice.epoch <= highest {
            return Err(RangeError::StaleEpoch {
                range: slice.range,
                epoch: slice.epoch.0,
                highest: highest.0,
            });
        }
        self.replace_all(vec![slice]);
        Ok(())
    }

    /// Takes out the handovers of slices that need them no more.
    pub fn clear_handovers(&mut self, is_used: impl Fn(&Slice) -> bool) {
        for slice in &mut self.slices {
            if slice.handover.is_some() && is_used(slice) {
                slice.handover = None;
            }
        }
        self.merge_adjacent();
    }

    /// Sets slices that have no key in common.
    pub(super) fn replace_all(&mut self, mut slices: Vec<Slice>) {
        slices.sort_by_key(|slice| slice.range);
        let mut next = Vec::with_capacity(self.slices.len() + 2 * slices.len());
        let mut new = slices.into_iter().peekable();
        for old in self.slices.drain(..) {
            let mut pending = Some(old.range);
            while let Some(uncovered) = pending {
                let Some(slice) = new.peek().filter(|new| new.range.first <= uncovered.last) else {
                    next.push(Slice {
                        range: uncovered,
                        ..old
                    });
                    break;
                };
                let [below, above] = uncovered.difference(slice.range);
                next.extend(below.map(|range| Slice {
                    range,
                    ..old.clone()
                }));
                if slice.range.last <= uncovered.last {
                    next.extend(new.next());
                }
                pending = above;
            }
        }
        self.slices = next;
        self.merge_adjacent();
    }

    /// Joins neighbours of one owner under the higher epoch: fewer slices are
    /// fewer renewals, and for its own keys a server takes any higher epoch.
    /// Slices that still carry a handover stay apart, as it belongs to their
    /// keys alone.
    fn merge_adjacent(&mut self) {
        let mut merged: Vec<Slice> = Vec::with_capacity(self.slices.len());
        for slice in self.slices.drain(..) {
            if let Some(last) = merged.last_mut()
                && last.owner == slice.owner
                && last.handover == slice.handover
                && last.expiry == slice.expiry
                && (last.handover.is_none() || last.epoch == slice.epoch)
            {
                last.range.last = slice.range.last;
                last.epoch = last.epoch.max(slice.epoch);
                continue;
            }
            merged.push(slice);
        }
        self.slices = merged;
    }
}
