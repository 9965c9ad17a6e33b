//! The wait for a key's owner.

use {
    super::{
        attempts::Tries,
        state::State,
        target::{NoTarget, Target},
    },
    citron_core::{id::Revision, routing::SendAttempt},
    std::time::Duration,
    tokio::time::timeout,
};

/// How long a request that its server refused waits for a newer table, by the
/// number of the try. The server may also be waiting for its grant, so that the
/// same route is tried again afterwards.
const REFUSED_WAITS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(50),
    Duration::from_millis(400),
];

/// Why a request cannot be written now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoRoute {
    /// The key has no owner that takes requests.
    Moving,
    /// The instance's leave to route has ended.
    Unconfirmed,
}

impl Tries {
    /// The owner of the key, once the instance may write to it.
    pub(super) async fn target(&self, send: SendAttempt) -> Result<Target, NoRoute> {
        let refused = self.refused.get().filter(|_| send.reroute);
        if refused.is_none()
            && let Ok(target) = self.find()
        {
            return Ok(target);
        }
        let state = &self.state;
        if state.waiting.get() >= state.limits.waiting {
            return Err(NoRoute::Moving);
        }
        state.waiting.set(state.waiting.get() + 1);
        let _waiting = Waiting(state);
        if refused.is_some() {
            let wait = REFUSED_WAITS[send.no.0 as usize % REFUSED_WAITS.len()];
            if let Ok(target) = timeout(wait, self.newer(refused)).await {
                return Ok(target);
            }
        }
        let waited = timeout(self.patience(), self.newer(None)).await;
        waited.or_else(|_| self.find())
    }

    /// How much longer this request may wait for its owner, over all its tries.
    fn patience(&self) -> Duration {
        let now = self.state.clock.now();
        let until = self
            .patient
            .get()
            .unwrap_or(now + self.state.limits.reroute);
        self.patient.set(Some(until));
        until - now
    }

    /// The target under a snapshot that is newer than a refused one.
    async fn newer(&self, refused: Option<Revision>) -> Target {
        let mut published = self.state.handle.published();
        loop {
            published.borrow_and_update();
            if let Ok(target) = self.find()
                && refused.is_none_or(|old| target.leave.snapshot.map.revision > old)
            {
                return target;
            }
            // The handle is held by this thread, so that the sender lives on.
            let _ = published.changed().await;
        }
    }

    fn find(&self) -> Result<Target, NoRoute> {
        let state = &self.state;
        match Target::find(&state.handle, &state.flights, &self.head) {
            Ok(target) if target.leave.allows(state.clock.now()) => Ok(target),
            Ok(_) => Err(NoRoute::Unconfirmed),
            Err(NoTarget::Table) => Err(NoRoute::Unconfirmed),
            Err(_) => Err(NoRoute::Moving),
        }
    }
}

/// Counts a request that waits.
struct Waiting<'a>(&'a State);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let waiting = &self.0.waiting;
        waiting.set(waiting.get() - 1);
    }
}
