//! Grants and their renewals.

use {
    super::{AGAIN, Order, OrderEnd, Reconciler},
    crate::{
        id::Epoch,
        ranges::{KeyRange, Slice},
        time::Time,
    },
};

/// Grants sent at one tick at most. A planner that takes over, or that starts
/// with the rest of its domain, has hundreds due at once: sent together they
/// keep a tenth of a core busy for seconds, its heartbeats stay out, and the
/// next planner takes over and does the same.
const GRANTS: usize = 40;

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

impl Reconciler {
    pub(super) fn renew(&mut self, now: Time, orders: &mut Vec<Order>) {
        let due = self.held_parts();
        let listed = |range: &KeyRange, renewal: &Renewal| {
            let part = due.binary_search_by_key(range, |part| part.range);
            part.is_ok_and(|at| due[at].epoch == renewal.epoch)
        };
        self.renewals
            .retain(|range, renewal| listed(range, renewal));
        for part in &due {
            self.renewals.entry(part.range).or_insert(Renewal {
                epoch: part.epoch,
                open: None,
                next: now,
                failing: None,
                held: false,
            });
        }
        let renewals = &self.renewals;
        let is_due = |part: &Slice| {
            let renewal = &renewals[&part.range];
            renewal.open.is_none() && renewal.next <= now
        };
        let mut due: Vec<Slice> = due.into_iter().filter(is_due).collect();
        // What its server does not hold yet comes first: its callers wait.
        due.sort_by_key(|part| (renewals[&part.range].held, renewals[&part.range].next));
        due.truncate(GRANTS);
        for part in due {
            let Some(owner) = &part.owner else { continue };
            if let Some(renewal) = self.renewals.get_mut(&part.range) {
                renewal.open = Some(now);
            }
            self.book.sent(owner, now);
            orders.push(Order::Grant(part));
        }
    }

    /// What owners are to keep: slices, less the keys that are on their way.
    fn held_parts(&self) -> Vec<Slice> {
        let held = |slice: &&Slice| slice.owner.is_some() && slice.expiry.is_none();
        let owned = self.map.slices().iter().filter(held);
        let parts = owned.flat_map(|slice| {
            let part = |range| Slice {
                range,
                ..slice.clone()
            };
            self.unmoved(slice.range).into_iter().map(part)
        });
        parts.collect()
    }

    /// Takes in what became of a grant; whether it is the first one that was taken.
    pub(super) fn granted(&mut self, slice: &Slice, end: OrderEnd, now: Time) -> bool {
        let Some(renewal) = self.renewals.get_mut(&slice.range) else {
            return false;
        };
        if renewal.epoch != slice.epoch {
            return false;
        }
        let begun = renewal.open.take();
        if let (OrderEnd::NotSent, Some(begun), Some(owner)) = (&end, begun, &slice.owner) {
            self.book.not_sent(owner, begun);
        }
        match end {
            OrderEnd::Done { .. } => {
                renewal.next = now + self.book.times().renew;
                renewal.failing = None;
                return !std::mem::replace(&mut renewal.held, true);
            }
            OrderEnd::Outdated => {
                renewal.next = now + AGAIN;
                self.outdated.push(slice.range);
            }
            OrderEnd::Unknown | OrderEnd::NotSent => {
                renewal.next = now + AGAIN;
                renewal.failing.get_or_insert(now);
            }
        }
        false
    }
}
