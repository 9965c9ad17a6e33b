//! Grants and their renewals.

use {
    super::{AGAIN, Order, OrderEnd, Reconciler, moves::unmoved, send_window::Window},
    crate::{
        id::Epoch,
        ranges::{KeyRange, RangeKey, Slice},
        time::Time,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// How far the grant of a slice has got.
#[derive(Debug, Clone, Copy)]
pub struct Renewal {
    pub epoch: Epoch,
    /// Since when an order is under way.
    pub open: Option<Time>,
    /// When the next one is due.
    pub next: Time,
    /// Since when all of them have failed.
    pub failing: Option<Time>,
    /// Whether the server has taken this grant once.
    pub held: bool,
}

/// The grants of a service, in the order in which they are due.
#[derive(Debug)]
pub struct Renewals {
    grants: BTreeMap<KeyRange, Renewal>,
    /// Those that are not under way. What its server does not hold yet comes first: its
    /// callers wait.
    waiting: BTreeSet<(bool, Time, KeyRange)>,
    window: Window,
    /// Whether slices or moves have changed since the grants were listed.
    stale: bool,
}

impl Default for Renewals {
    fn default() -> Self {
        Self {
            grants: BTreeMap::new(),
            waiting: BTreeSet::new(),
            window: Window::default(),
            stale: true,
        }
    }
}

impl Renewals {
    /// Slices or moves have changed.
    pub fn invalidate(&mut self) {
        self.stale = true;
    }

    /// The grant of a slice.
    pub fn get(&self, range: &KeyRange) -> Option<&Renewal> {
        self.grants.get(range)
    }

    /// Grants that have failed for longer than a span.
    pub fn failing_for(&self, span: Duration, now: Time) -> impl Iterator<Item = KeyRange> {
        let failing = move |(_, renewal): &(&KeyRange, &Renewal)| {
            renewal.failing.is_some_and(|since| now - since > span)
        };
        self.grants.iter().filter(failing).map(|(range, _)| *range)
    }

    /// Brings the list up to date with the slices that owners are to keep.
    fn relist(&mut self, parts: &[(KeyRange, Epoch)], now: Time) {
        let listed = |range: &KeyRange, renewal: &Renewal| {
            let part = parts.binary_search_by_key(range, |part| part.0);
            part.is_ok_and(|at| parts[at].1 == renewal.epoch)
        };
        self.grants.retain(|range, renewal| listed(range, renewal));
        for (range, epoch) in parts {
            self.grants.entry(*range).or_insert(Renewal {
                epoch: *epoch,
                open: None,
                next: now,
                failing: None,
                held: false,
            });
        }
        let waiting = self
            .grants
            .iter()
            .filter(|(_, renewal)| renewal.open.is_none());
        let place = |(range, renewal): (&KeyRange, &Renewal)| (renewal.held, renewal.next, *range);
        self.waiting = waiting.map(place).collect();
        self.stale = false;
    }

    /// Takes the grants that are due, as many as may be under way.
    fn take_due(&mut self, now: Time) -> Vec<KeyRange> {
        let room = self.window.room(now);
        let end = KeyRange {
            first: RangeKey(u16::MAX),
            last: RangeKey(u16::MAX),
        };
        let due = |held| {
            let from = (held, Time::ZERO, KeyRange::ALL);
            self.waiting.range(from..=(held, now, end))
        };
        let due: Vec<_> = due(false).chain(due(true)).take(room).copied().collect();
        for place in &due {
            self.waiting.remove(place);
            self.window.add(now, place.2);
            if let Some(renewal) = self.grants.get_mut(&place.2) {
                renewal.open = Some(now);
            }
        }
        due.into_iter().map(|(_, _, range)| range).collect()
    }
}

impl Reconciler {
    pub(super) fn renew(&mut self, now: Time, orders: &mut Vec<Order>) {
        if self.renewals.stale {
            let parts = self.held_parts();
            self.renewals.relist(&parts, now);
        }
        for range in self.renewals.take_due(now) {
            let slice = self.map.slice(range.first);
            let Some(owner) = &slice.owner else { continue };
            self.book.sent(owner, now);
            orders.push(Order::Grant(Slice {
                range,
                ..slice.clone()
            }));
        }
    }

    /// What owners are to keep: slices, less the keys that are on their way.
    fn held_parts(&self) -> Vec<(KeyRange, Epoch)> {
        let outdated = |slice: &Slice| {
            let mut seen = self.outdated.iter();
            seen.any(|(range, seen)| range.common(slice.range).is_some() && slice.epoch < *seen)
        };
        let held =
            |slice: &&Slice| slice.owner.is_some() && slice.expiry.is_none() && !outdated(slice);
        let owned = self.map.slices().iter().filter(held);
        let moved = self.moved();
        let parts = owned.flat_map(|slice| {
            let parts = unmoved(slice.range, &moved);
            parts.into_iter().map(|range| (range, slice.epoch))
        });
        parts.collect()
    }

    /// Takes in what became of a grant; whether keys that were released for a move are
    /// held again.
    pub(super) fn granted(&mut self, slice: &Slice, end: OrderEnd, now: Time) -> bool {
        let Some(renewal) = self.renewals.grants.get_mut(&slice.range) else {
            return false;
        };
        if renewal.epoch != slice.epoch {
            return false;
        }
        let begun = renewal.open.take();
        if let Some(begun) = begun {
            self.renewals.window.end(begun, slice.range);
        }
        if let (OrderEnd::NotSent, Some(begun), Some(owner)) = (&end, begun, &slice.owner) {
            self.book.not_sent(owner, begun);
        }
        let mut first = false;
        match end {
            OrderEnd::Done { .. } => {
                renewal.next = now + self.book.times().renew;
                renewal.failing = None;
                first = !std::mem::replace(&mut renewal.held, true);
            }
            OrderEnd::Outdated => {
                renewal.next = now + AGAIN;
                self.outdated.push((slice.range, Epoch(slice.epoch.0 + 1)));
                self.renewals.stale = true;
            }
            OrderEnd::Unknown | OrderEnd::NotSent => {
                renewal.next = now + AGAIN;
                renewal.failing.get_or_insert(now);
            }
        }
        let place = (renewal.held, renewal.next, slice.range);
        self.renewals.waiting.insert(place);
        first && self.take_handed(slice.range)
    }

    /// Whether a slice holds keys that were released for a move, which are then forgotten.
    fn take_handed(&mut self, range: KeyRange) -> bool {
        let before = self.handed.len();
        self.handed.retain(|handed| handed.common(range).is_none());
        self.handed.len() < before
    }
}
