//! Requests that wait for a slot of one backend server.

use {
    crate::time::Time,
    std::{collections::BTreeMap, time::Duration},
};

/// Identifier of a queued request, chosen by the code that admits it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Queue ordered by deadline, the earliest first.
///
/// The admission controller bounds its length, since a queued request takes memory, and
/// since a long queue turns a short overload into a long one.
#[derive(Debug, Default)]
pub struct WaitQueue {
    waiting: BTreeMap<(Time, Ticket), ()>,
}

impl WaitQueue {
    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Number of requests ahead of one with this deadline.
    pub fn count_ahead(&self, deadline: Time) -> usize {
        self.waiting.range(..=(deadline, Ticket(u64::MAX))).count()
    }

    /// Adds a request.
    pub fn push(&mut self, ticket: Ticket, deadline: Time) {
        self.waiting.insert((deadline, ticket), ());
    }

    /// Takes the next request.
    pub fn pop(&mut self) -> Option<Ticket> {
        let ((_, ticket), ()) = self.waiting.pop_first()?;
        Some(ticket)
    }

    /// Takes a request that would miss its deadline if it started now and held its slot
    /// for `hold_time`.
    pub fn pop_expired(&mut self, now: Time, hold_time: Duration) -> Option<Ticket> {
        let (&(deadline, _), ()) = self.waiting.first_key_value()?;
        if now + hold_time <= deadline {
            return None;
        }
        self.pop()
    }

    /// Removes a request whose client disconnected; `false` if it is not queued.
    pub fn remove(&mut self, ticket: Ticket, deadline: Time) -> bool {
        self.waiting.remove(&(deadline, ticket)).is_some()
    }
}
