//! A table on its way to this instance.

use {
    super::node::Node,
    citron_core::{freshness::Fetch, time::Time},
    citron_ports::{Adapter, Pace},
    std::time::Duration,
};

/// How long a table is waited for, from its first part on as long as further parts
/// come. Others are not asked for it meanwhile.
#[derive(Debug)]
pub struct Arrival<'a, A: Adapter> {
    node: &'a Node<A>,
    table: usize,
    /// By then the answer must have begun.
    until: Time,
    /// Its transfer, once that is counted as one.
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

impl<A: Adapter> Pace for Arrival<'_, A> {
    fn left(&self) -> Duration {
        let now = self.node.clock.now();
        match self.fetch {
            Some(fetch) => self.node.fetches.borrow().left(fetch, now),
            None => self.until - now,
        }
    }

    fn heard(&mut self) {
        let now = self.node.clock.now();
        let mut fetches = self.node.fetches.borrow_mut();
        let fetch = *self
            .fetch
            .get_or_insert_with(|| fetches.note(self.table, now));
        fetches.heard(fetch, now);
    }
}

impl<A: Adapter> Drop for Arrival<'_, A> {
    /// Questions are dropped where they are found to be lost.
    fn drop(&mut self) {
        if let Some(fetch) = self.fetch {
            self.node.fetches.borrow_mut().end(fetch);
        }
    }
}
