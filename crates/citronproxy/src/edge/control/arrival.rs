//! A table that is being transferred to this instance.

use {
    super::node::Node,
    citron_core::{freshness::Fetch, time::Time},
    citron_ports::{Adapter, ReadTimeout},
    std::time::Duration,
};

/// Limits a transfer by its progress, and counts it among the instance's transfers from
/// its first part on.
#[derive(Debug)]
pub struct Arrival<'a, A: Adapter> {
    node: &'a Node<A>,
    table: usize,
    /// By then the store's answer must have begun.
    until: Time,
    /// The transfer, once it is counted.
    fetch: Option<Fetch>,
}

impl<'a, A: Adapter> Arrival<'a, A> {
    /// A table that is asked for at the store, which must answer within a span.
    pub fn of_store(node: &'a Node<A>, table: usize, span: Duration) -> Self {
        Self {
            node,
            table,
            until: node.clock.now() + span,
            fetch: None,
        }
    }

    /// A table that is fetched from another instance.
    pub fn of_fetch(node: &'a Node<A>, fetch: Fetch) -> Self {
        Self {
            node,
            table: fetch.table,
            until: node.clock.now(),
            fetch: Some(fetch),
        }
    }
}

impl<A: Adapter> ReadTimeout for Arrival<'_, A> {
    fn remaining(&self) -> Duration {
        let now = self.node.clock.now();
        match self.fetch {
            Some(fetch) => self.node.fetches.borrow().time_until_idle(fetch, now),
            None => self.until - now,
        }
    }

    fn progressed(&mut self) {
        let now = self.node.clock.now();
        let mut fetches = self.node.fetches.borrow_mut();
        let fetch = *self
            .fetch
            .get_or_insert_with(|| fetches.add(self.table, now));
        fetches.record_progress(fetch, now);
    }
}

impl<A: Adapter> Drop for Arrival<'_, A> {
    /// A call that is cancelled must not count as a transfer any more.
    fn drop(&mut self) {
        if let Some(fetch) = self.fetch {
            self.node.fetches.borrow_mut().end(fetch);
        }
    }
}
