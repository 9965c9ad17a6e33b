//! Waiting for a route to the owner of a key.

use {
    super::{
        attempts::Attempts,
        state::ThreadState,
        target::{Target, TargetError},
    },
    citron_core::{id::Revision, routing::SendAttempt},
    std::time::Duration,
    tokio::time::timeout,
};

/// Times for which a request that its server refused waits for a newer table, by attempt
/// number. The server may itself be waiting for its grant, so the same route is tried
/// again afterwards.
const NEWER_TABLE_WAITS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(50),
    Duration::from_millis(400),
];

/// Reason why a request cannot be written at present.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteError {
    /// The key has no owner that accepts requests.
    NoOwner,
    /// The instance's routing lease has expired.
    Unconfirmed,
}

impl Attempts {
    /// Waits until the key has an owner and the instance may write to it.
    pub(super) async fn wait_target(&self, send: SendAttempt) -> Result<Target, RouteError> {
        let refused = self.refused_revision.get().filter(|_| send.reroute);
        if refused.is_none()
            && let Ok(target) = self.find_target()
        {
            return Ok(target);
        }
        let state = &self.state;
        if state.waiting.get() >= state.limits.max_waiting {
            return Err(RouteError::NoOwner);
        }
        state.waiting.set(state.waiting.get() + 1);
        let _waiting = WaitingGuard(state);
        if refused.is_some() {
            let wait = NEWER_TABLE_WAITS[send.no.0 as usize % NEWER_TABLE_WAITS.len()];
            if let Ok(target) = timeout(wait, self.wait_permitted(refused)).await {
                return Ok(target);
            }
        }
        let waited = timeout(self.remaining_wait(), self.wait_permitted(None)).await;
        waited.or_else(|_| self.find_target())
    }

    /// Remaining time for which this request may wait for a route, over all its attempts.
    fn remaining_wait(&self) -> Duration {
        let now = self.state.clock.now();
        let wait_until = self
            .wait_until
            .get()
            .unwrap_or(now + self.state.limits.owner_wait);
        self.wait_until.set(Some(wait_until));
        wait_until - now
    }

    /// Waits for a target to which the instance may write, under a snapshot newer than
    /// the given revision, if any.
    async fn wait_permitted(&self, newer_than: Option<Revision>) -> Target {
        let mut revisions = self.state.handle.subscribe_revisions();
        loop {
            revisions.borrow_and_update();
            if let Ok(target) = self.find_target()
                && newer_than.is_none_or(|old| target.permit.snapshot.map.revision > old)
            {
                return target;
            }
            // The thread holds the handle, so the sender is never dropped.
            let _ = revisions.changed().await;
        }
    }

    fn find_target(&self) -> Result<Target, RouteError> {
        let state = &self.state;
        match Target::find(&state.handle, &state.in_flight, &self.head) {
            Ok(target) if target.permit.allows(state.clock.now()) => Ok(target),
            Ok(_) => Err(RouteError::Unconfirmed),
            Err(TargetError::NoTable) => Err(RouteError::Unconfirmed),
            Err(_) => Err(RouteError::NoOwner),
        }
    }
}

/// Counts a waiting request until dropped.
struct WaitingGuard<'a>(&'a ThreadState);

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        let waiting = &self.0.waiting;
        waiting.set(waiting.get() - 1);
    }
}
