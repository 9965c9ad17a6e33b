//! Requests that wait for a slot of one backend server.

use {
    crate::time::Time,
    std::{collections::BTreeMap, time::Duration},
};

/// Names a waiting request; whoever admits it chooses the number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// A bounded queue; the nearest deadline goes first.
///
/// Bounded, since a request that waits costs memory, and since a long queue turns
/// a short overload into a long one.
#[derive(Debug, Default)]
pub struct WaitQueue {
    waiting: BTreeMap<(Time, Ticket), ()>,
}

impl WaitQueue {
    /// How many wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// How many would go before a request with this deadline.
    pub fn count_ahead(&self, deadline: Time) -> usize {
        self.waiting.range(..=(deadline, Ticket(u64::MAX))).count()
    }

    /// Adds a request.
    pub fn push(&mut self, ticket: Ticket, deadline: Time) {
        self.waiting.insert((deadline, ticket), ());
    }

    /// Takes the next one.
    pub fn pop(&mut self) -> Option<Ticket> {
        let ((_, ticket), ()) = self.waiting.pop_first()?;
        Some(ticket)
    }

    /// Takes one that would end after its deadline, begun now and held so long.
    pub fn pop_expired(&mut self, now: Time, hold_time: Duration) -> Option<Ticket> {
        let (&(deadline, _), ()) = self.waiting.first_key_value()?;
        if now + hold_time <= deadline {
            return None;
        }
        self.pop()
    }

    /// Takes one whose caller left.
    pub fn remove(&mut self, ticket: Ticket, deadline: Time) -> bool {
        self.waiting.remove(&(deadline, ticket)).is_some()
    }
}
