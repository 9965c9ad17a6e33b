//! Map from keys of a service to the servers that own them.

use {
    super::{KeyRange, RangeError, RangeKey},
    crate::{
        id::{Epoch, ServerName},
        time::StoreTime,
    },
};

/// Contiguous range of keys with one owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Slice {
    /// The keys.
    pub range: KeyRange,
    /// The backend server process that owns the keys; `None` until the first assignment, or
    /// if it is unknown.
    pub owner: Option<ServerName>,
    /// Fencing token: higher than every epoch under which another server held one of the
    /// keys.
    pub epoch: Epoch,
    /// State handed over by the previous owner on release, so that this owner starts
    /// warm.
    pub handover: Option<String>,
    /// Latest end of the owner's lease, on the store's clock. While it is set, no planner
    /// grants the keys to this owner again, and the keys are reassigned after that time.
    /// Without an owner: end of the leases of all servers that may hold the keys.
    pub expiry: Option<StoreTime>,
}

impl Slice {
    /// The part of the slice within `range`; `None` if they are disjoint.
    pub(super) fn clipped_to(&self, range: KeyRange) -> Option<Self> {
        let range = self.range.intersection(range)?;
        Some(Self {
            range,
            ..self.clone()
        })
    }
}

/// Slices of a service: contiguous, covering the whole key space, in key order.
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
    /// Creates a map in which no key has an owner.
    pub fn new() -> Self {
        Self::starting_at(Epoch(0))
    }

    /// Creates a map in which no key has an owner, and owners get epochs above `floor`.
    pub fn starting_at(floor: Epoch) -> Self {
        let unowned = Slice {
            range: KeyRange::ALL,
            owner: None,
            epoch: floor,
            handover: None,
            expiry: None,
        };
        Self {
            slices: vec![unowned],
        }
    }

    /// Creates a map from stored slices.
    ///
    /// # Errors
    ///
    /// Returns [`RangeError::NotContiguous`] if the slices leave a gap or overlap.
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

    /// All slices in key order.
    pub fn slices(&self) -> &[Slice] {
        &self.slices
    }

    /// The slice that contains `key`.
    pub fn slice(&self, key: RangeKey) -> &Slice {
        let index = self.slices.partition_point(|slice| slice.range.last < key);
        &self.slices[index]
    }

    /// Slices that `server` owns.
    pub fn owned_by<'a>(&'a self, server: &'a ServerName) -> impl Iterator<Item = &'a Slice> {
        let is_owner = move |slice: &&Slice| slice.owner.as_ref() == Some(server);
        self.slices.iter().filter(is_owner)
    }

    /// Slices that share at least one key with `range`.
    pub fn overlapping(&self, range: KeyRange) -> impl Iterator<Item = &Slice> {
        let first = self
            .slices
            .partition_point(|slice| slice.range.last < range.first);
        let slices = self.slices[first..].iter();
        slices.take_while(move |slice| slice.range.first <= range.last)
    }

    /// Slices within `range`, clipped to it.
    pub fn slices_in(&self, range: KeyRange) -> Vec<Slice> {
        let slices = self.overlapping(range);
        slices.filter_map(|slice| slice.clipped_to(range)).collect()
    }

    /// Highest epoch of any key in `range`.
    pub fn max_epoch(&self, range: KeyRange) -> Epoch {
        let epochs = self.overlapping(range).map(|slice| slice.epoch);
        epochs.max().unwrap_or(Epoch(0))
    }

    /// Whether all keys have an epoch of at least `floor`, apart from those whose owner gets no
    /// further grant.
    pub fn has_reached(&self, floor: Epoch) -> bool {
        let mut slices = self.slices.iter();
        slices.all(|slice| slice.epoch >= floor || slice.expiry.is_some())
    }

    /// Whether all keys have an epoch of at least `floor`. Otherwise the map may be older than
    /// grants of the era before, also where it tells the end of a lease.
    pub fn is_above(&self, floor: Epoch) -> bool {
        self.slices.iter().all(|slice| slice.epoch >= floor)
    }

    /// Takes `ranges` from their owners, as others may hold the keys until the given times, under
    /// epochs of at least `floor`.
    pub(super) fn disown_all(
        &mut self,
        ranges: impl IntoIterator<Item = (KeyRange, StoreTime)>,
        floor: Epoch,
    ) {
        let disowned = ranges.into_iter().flat_map(|(range, held_until)| {
            let slices = self.slices_in(range).into_iter();
            slices.map(move |slice| Slice {
                owner: None,
                epoch: slice.epoch.max(floor),
                handover: None,
                expiry: slice.expiry.max(Some(held_until)),
                ..slice
            })
        });
        let disowned = disowned.collect();
        self.replace_all(disowned);
    }

    /// Raises the epochs of all keys to at least `floor`, apart from those whose owner gets no
    /// further grant.
    pub fn raise_to(&mut self, floor: Epoch) {
        for slice in &mut self.slices {
            if slice.expiry.is_none() {
                slice.epoch = slice.epoch.max(floor);
            }
        }
        self.merge_adjacent();
    }

    /// Combines two states of a map, neither of which may be complete: of each key the slice
    /// with the higher epoch, and of two with the same epoch the one whose owner gets no
    /// further grant.
    ///
    /// ```
    /// use citron_core::ranges::{RangeKey, RangeMap};
    /// let (one, two) = ("s-1".parse().unwrap(), "s-2".parse().unwrap());
    /// let mut older = RangeMap::new();
    /// older.assign("0-99".parse().unwrap(), &one, None);
    /// let mut newer = older.clone();
    /// newer.assign("50-99".parse().unwrap(), &two, None);
    /// older.assign("200-299".parse().unwrap(), &one, None);
    /// let both = older.newest_of(&newer);
    /// let owner = |key| both.slice(RangeKey(key)).owner.clone();
    /// assert_eq!([owner(0), owner(50), owner(200)], [Some(one.clone()), Some(two), Some(one)]);
    /// ```
    pub fn newest_of(&self, other: &Self) -> Self {
        let rank = |slice: &Slice| (slice.epoch, slice.expiry);
        let newest = |slice: &Slice, found: &Slice| {
            let newer = match rank(found) > rank(slice) {
                true => found,
                false => slice,
            };
            newer.clipped_to(slice.range.intersection(found.range)?)
        };
        let pairs = self.slices.iter().flat_map(|slice| {
            let overlapping = other.overlapping(slice.range);
            overlapping.filter_map(move |found| newest(slice, found))
        });
        let mut newest = Self {
            slices: pairs.collect(),
        };
        newest.merge_adjacent();
        newest
    }

    /// Assigns `range` to `owner` under a new epoch, one above the highest epoch of its
    /// keys.
    pub fn assign(&mut self, range: KeyRange, owner: &ServerName, handover: Option<String>) {
        self.assign_all([(range, owner.clone(), handover)], Epoch(0));
    }

    /// Like [`Self::assign`] for many disjoint ranges in one pass, under epochs above `floor`.
    pub fn assign_all(
        &mut self,
        owners: impl IntoIterator<Item = (KeyRange, ServerName, Option<String>)>,
        floor: Epoch,
    ) {
        let assigned = owners.into_iter().map(|(range, owner, handover)| Slice {
            range,
            owner: Some(owner),
            epoch: Epoch(self.max_epoch(range).max(floor).0 + 1),
            handover,
            expiry: None,
        });
        let assigned = assigned.collect();
        self.replace_all(assigned);
    }

    /// Sets the time at which the lease on `range` ends, after which its owner gets no
    /// further grant.
    pub fn set_expiry(&mut self, range: KeyRange, expiry: StoreTime) {
        self.set_expiries([(range, expiry)]);
    }

    /// Like [`Self::set_expiry`] for many disjoint ranges in one pass.
    pub fn set_expiries(&mut self, expiries: impl IntoIterator<Item = (KeyRange, StoreTime)>) {
        let expired = expiries.into_iter().map(|(range, expiry)| Slice {
            range,
            expiry: Some(expiry),
            ..self.slice(range.first).clone()
        });
        let expired = expired.collect();
        self.replace_all(expired);
    }

    /// Replaces the slices within the range of `slice`.
    ///
    /// # Errors
    ///
    /// Returns [`RangeError::StaleEpoch`] if the epoch is not above every earlier epoch
    /// of the keys.
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

    /// Removes the handover from slices for which `is_used` returns true.
    pub fn clear_handovers(&mut self, is_used: impl Fn(&Slice) -> bool) {
        for slice in &mut self.slices {
            if slice.handover.is_some() && is_used(slice) {
                slice.handover = None;
            }
        }
        self.merge_adjacent();
    }

    /// Overwrites the ranges of `slices`, which must be disjoint, and keeps the rest of the
    /// map.
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

    /// Merges adjacent slices of one owner under the higher epoch: fewer slices need
    /// fewer renewals, and a server accepts any higher epoch for keys it already holds.
    /// Slices with a handover are merged only if epoch and handover are equal, because a
    /// handover belongs to its own keys only.
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
