//! Grants of slices, and their renewal.

use {
    super::{
        KeyEvent, Order, OrderOutcome, OwnerState, Owners, RETRY_DELAY, Reconciler,
        moves::not_moving, send_window::SendWindow,
    },
    crate::{
        id::{Epoch, ServerName},
        ranges::{Fence, GrantRecord, KeyRange, RangeKey, Slice},
        time::Time,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// State of the grant for a range.
#[derive(Debug, Clone, Copy)]
pub struct Renewal {
    /// Epoch of the slice.
    pub epoch: Epoch,
    /// When the grant in progress was sent.
    pub sent_at: Option<Time>,
    /// When the next grant is due.
    pub due: Time,
    /// Since when every grant has failed.
    pub failing_since: Option<Time>,
    /// Whether the server has accepted the grant at least once.
    pub is_held: bool,
}

/// Grants of a service, ordered by due time.
#[derive(Debug)]
pub struct Renewals {
    by_range: BTreeMap<KeyRange, Renewal>,
    /// Grants that are not in progress. Those that their server does not hold yet come
    /// first, because requests wait for them.
    queue: BTreeSet<(bool, Time, KeyRange)>,
    /// Whether slices or moves have changed since the last call of `sync`.
    is_stale: bool,
}

impl Default for Renewals {
    fn default() -> Self {
        Self {
            by_range: BTreeMap::new(),
            queue: BTreeSet::new(),
            is_stale: true,
        }
    }
}

impl Renewals {
    /// Marks the list of grants as out of date after a change of slices or moves.
    pub fn invalidate(&mut self) {
        self.is_stale = true;
    }

    /// State of the grant for exactly this range.
    pub fn get(&self, range: &KeyRange) -> Option<&Renewal> {
        self.by_range.get(range)
    }

    /// Ranges whose grants have failed for longer than `span`.
    pub fn failing_for(&self, span: Duration, now: Time) -> impl Iterator<Item = KeyRange> {
        let failing = move |(_, renewal): &(&KeyRange, &Renewal)| {
            renewal
                .failing_since
                .is_some_and(|since| now - since > span)
        };
        self.by_range
            .iter()
            .filter(failing)
            .map(|(range, _)| *range)
    }

    /// Ranges whose grant has had no result yet.
    pub fn untried(&self) -> impl Iterator<Item = KeyRange> {
        let is_untried = |renewal: &Renewal| !renewal.is_held && renewal.failing_since.is_none();
        let untried = self.by_range.iter();
        let untried = untried.filter(move |(_, renewal)| is_untried(renewal));
        untried.map(|(range, _)| *range)
    }

    /// Updates the list of grants to `parts`, the ranges and epochs that owners are to
    /// hold.
    fn sync(&mut self, parts: &[(KeyRange, Epoch)], now: Time) {
        let listed = |range: &KeyRange, renewal: &Renewal| {
            let part = parts.binary_search_by_key(range, |part| part.0);
            part.is_ok_and(|at| parts[at].1 == renewal.epoch)
        };
        self.by_range
            .retain(|range, renewal| listed(range, renewal));
        for (range, epoch) in parts {
            self.by_range.entry(*range).or_insert(Renewal {
                epoch: *epoch,
                sent_at: None,
                due: now,
                failing_since: None,
                is_held: false,
            });
        }
        let queue = self
            .by_range
            .iter()
            .filter(|(_, renewal)| renewal.sent_at.is_none());
        let entry =
            |(range, renewal): (&KeyRange, &Renewal)| (renewal.is_held, renewal.due, *range);
        self.queue = queue.map(entry).collect();
        self.is_stale = false;
    }

    /// Takes the grants that are due, as many as the send window allows.
    fn take_due(&mut self, window: &mut SendWindow, now: Time) -> Vec<KeyRange> {
        let available = window.available(now);
        let last_key = KeyRange {
            first: RangeKey(u16::MAX),
            last: RangeKey(u16::MAX),
        };
        let due = |held| {
            let from = (held, Time::ZERO, KeyRange::ALL);
            self.queue.range(from..=(held, now, last_key))
        };
        let due: Vec<_> = due(false)
            .chain(due(true))
            .take(available)
            .copied()
            .collect();
        for entry in &due {
            self.queue.remove(entry);
            window.add(now, entry.2);
            if let Some(renewal) = self.by_range.get_mut(&entry.2) {
                renewal.sent_at = Some(now);
            }
        }
        due.into_iter().map(|(_, _, range)| range).collect()
    }

    /// Has a grant that was taken as due wait.
    fn postpone(&mut self, range: KeyRange, now: Time) {
        if let Some(renewal) = self.by_range.get_mut(&range) {
            renewal.sent_at = None;
            renewal.due = now + RETRY_DELAY;
            self.queue.insert((renewal.is_held, renewal.due, range));
        }
    }
}

impl Reconciler {
    /// Orders the grants that are due, first grants and renewals alike.
    pub(super) fn send_renewals(
        &mut self,
        now: Time,
        owners: &impl Owners,
        orders: &mut Vec<Order>,
    ) {
        if self.former_until != Time::ZERO && now >= self.former_until {
            self.former_until = Time::ZERO;
            self.renewals.invalidate();
        }
        if self.renewals.is_stale {
            let parts = self.renewable_ranges();
            self.renewals.sync(&parts, now);
        }
        for range in self.renewals.take_due(&mut self.window, now) {
            let slice = self.map.slice(range.first);
            let Some(owner) = &slice.owner else { continue };
            if !self.may_renew(owner, owners) {
                self.window.remove(now, range);
                self.renewals.postpone(range, now);
                continue;
            }
            self.leases.record_sent(owner, now);
            let slice = slice.clone();
            orders.push(Order::Grant {
                slice: Slice { range, ..slice },
                ordered_at: now,
            });
        }
    }

    /// Whether grants are sent to an owner. The next process at the address of one that has ended
    /// would take them as its own. Without a record of all grants, the keys of one without an
    /// entry may have been given away while it could not be reached.
    pub(super) fn may_renew(&self, owner: &ServerName, owners: &impl Owners) -> bool {
        let record = self.fence.as_ref().map(Fence::record);
        match record {
            Some(GrantRecord::Lost) => owners.is_registered(owner),
            _ => owners.state(owner) != OwnerState::Ended,
        }
    }

    /// Ranges that owners are to hold: all slices except the keys that are moving.
    fn renewable_ranges(&self) -> Vec<(KeyRange, Epoch)> {
        let is_outdated = |slice: &Slice| {
            let mut seen = self.seen_epochs.iter();
            seen.any(|(range, seen)| {
                range.intersection(slice.range).is_some() && slice.epoch < *seen
            })
        };
        let renews_former = self.former_until != Time::ZERO;
        let may_grant = |slice: &Slice| renews_former || slice.epoch >= self.floor;
        let held = |slice: &&Slice| {
            slice.owner.is_some()
                && slice.expiry.is_none()
                && may_grant(slice)
                && !is_outdated(slice)
        };
        let owned = self.map.slices().iter().filter(held);
        let moving = self.moving_ranges();
        let parts = owned.flat_map(|slice| {
            let parts = not_moving(slice.range, &moving);
            parts.into_iter().map(|range| (range, slice.epoch))
        });
        parts.collect()
    }

    /// Applies the outcome of a grant. Returns whether keys that were released for a move
    /// are held again.
    pub(super) fn complete_grant(
        &mut self,
        slice: &Slice,
        ordered_at: Time,
        outcome: OrderOutcome,
        now: Time,
    ) -> bool {
        self.window.remove(ordered_at, slice.range);
        if let (OrderOutcome::NotSent, Some(owner)) = (&outcome, &slice.owner) {
            self.leases.record_unsent(owner, ordered_at);
        }
        // After a reload, the slice may have been granted again since.
        let renewal = self.renewals.by_range.get_mut(&slice.range);
        let is_own = |renewal: &&mut Renewal| {
            renewal.epoch == slice.epoch && renewal.sent_at == Some(ordered_at)
        };
        let Some(renewal) = renewal.filter(is_own) else {
            return false;
        };
        renewal.sent_at = None;
        let mut is_first = false;
        match outcome {
            OrderOutcome::Done { .. } => {
                renewal.due = now + self.leases.times().renewal_interval;
                renewal.failing_since = None;
                is_first = !std::mem::replace(&mut renewal.is_held, true);
            }
            OrderOutcome::Outdated => {
                renewal.due = now + RETRY_DELAY;
                self.seen_epochs
                    .push((slice.range, Epoch(slice.epoch.0 + 1)));
                self.renewals.is_stale = true;
            }
            OrderOutcome::Unknown | OrderOutcome::NotSent => {
                renewal.due = now + RETRY_DELAY;
                renewal.failing_since.get_or_insert(now);
            }
        }
        let entry = (renewal.is_held, renewal.due, slice.range);
        self.renewals.queue.insert(entry);
        if is_first && let Some(owner) = &slice.owner {
            self.events.push(KeyEvent::Held {
                range: slice.range,
                server: owner.clone(),
                epoch: slice.epoch,
            });
        }
        is_first && self.clear_awaiting(slice.range)
    }

    /// Removes the released keys within `range` from those that await a grant. Returns
    /// whether there were any.
    fn clear_awaiting(&mut self, range: KeyRange) -> bool {
        let before = self.awaiting_grant.len();
        self.awaiting_grant
            .retain(|keys| keys.intersection(range).is_none());
        self.awaiting_grant.len() < before
    }
}
