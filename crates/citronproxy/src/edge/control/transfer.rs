//! Timeouts of a table transfer to this instance.

use {
    super::controller::Controller,
    citron_core::{freshness::Fetch, time::Time},
    citron_ports::{Adapter, ReadTimeout},
    std::time::Duration,
};

/// Limits a transfer by its progress. Counts it among the transfers of the instance from
/// the first bytes on.
#[derive(Debug)]
pub struct TableTransfer<'a, A: Adapter> {
    controller: &'a Controller<A>,
    table: usize,
    /// When the store's response must have begun.
    response_deadline: Time,
    /// The transfer, once it is counted.
    fetch: Option<Fetch>,
}

impl<'a, A: Adapter> TableTransfer<'a, A> {
    /// A read from the store, which must begin its response within `timeout`.
    pub fn from_store(controller: &'a Controller<A>, table: usize, timeout: Duration) -> Self {
        Self {
            controller,
            table,
            response_deadline: controller.clock.now() + timeout,
            fetch: None,
        }
    }

    /// A fetch from another instance.
    pub fn from_peer(controller: &'a Controller<A>, fetch: Fetch) -> Self {
        Self {
            controller,
            table: fetch.table,
            response_deadline: controller.clock.now(),
            fetch: Some(fetch),
        }
    }
}

impl<A: Adapter> ReadTimeout for TableTransfer<'_, A> {
    fn remaining(&self) -> Duration {
        let now = self.controller.clock.now();
        match self.fetch {
            Some(fetch) => self.controller.fetches.borrow().time_until_idle(fetch, now),
            None => self.response_deadline - now,
        }
    }

    fn progressed(&mut self) {
        let now = self.controller.clock.now();
        let mut fetches = self.controller.fetches.borrow_mut();
        let fetch = *self
            .fetch
            .get_or_insert_with(|| fetches.add(self.table, now));
        fetches.record_progress(fetch, now);
    }
}

impl<A: Adapter> Drop for TableTransfer<'_, A> {
    /// A cancelled call must no longer count as a transfer.
    fn drop(&mut self) {
        if let Some(fetch) = self.fetch {
            self.controller.fetches.borrow_mut().end(fetch);
        }
    }
}
