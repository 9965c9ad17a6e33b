//! Limits on the idle time of reused connections, by service.

use {
    citron_core::{dispatch::IdleLimit, id::ServiceName, time::Time},
    std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration},
};

/// A connection that fails within this time after a request was sent on it was already
/// dead: a server that closes a connection by itself first spends time on the request.
const IMMEDIATE_FAILURE_MAX: Duration = Duration::from_millis(20);
/// A request that is canceled after this time without a response may have been sent on a
/// dead connection whose end was never signaled.
const SILENT_FAILURE_MIN: Duration = Duration::from_millis(500);

/// An [`IdleLimit`] for each service.
#[derive(Debug, Default)]
pub struct IdleLimits {
    services: RefCell<BTreeMap<ServiceName, IdleLimit>>,
}

impl IdleLimits {
    /// Longest idle time of a connection that a request that must not run twice may
    /// reuse.
    pub fn limit(&self, service: &ServiceName) -> Duration {
        let services = self.services.borrow();
        let idle_limit = services.get(service);
        idle_limit.map_or_else(|| IdleLimit::default().limit(), IdleLimit::limit)
    }

    fn update(&self, service: &ServiceName, f: impl FnOnce(&mut IdleLimit)) {
        let mut services = self.services.borrow_mut();
        f(services.entry(service.clone()).or_default());
    }
}

/// Records for [`IdleLimits`] whether a reused connection still worked. A drop without a
/// recorded result means that the request was canceled.
#[derive(Debug)]
pub struct ReuseRecorder {
    idle_limits: Rc<IdleLimits>,
    service: ServiceName,
    idle: Duration,
    sent_at: Time,
    clock: crate::clock::Clock,
    is_recorded: bool,
}

impl ReuseRecorder {
    /// Starts the record of a request that is sent now on a connection that had been idle
    /// for `idle`.
    pub fn start(
        idle_limits: &Rc<IdleLimits>,
        service: &ServiceName,
        idle: Duration,
        clock: crate::clock::Clock,
    ) -> Self {
        Self {
            idle_limits: Rc::clone(idle_limits),
            service: service.clone(),
            idle,
            sent_at: clock.now(),
            clock,
            is_recorded: false,
        }
    }

    /// Records that a response head was received: the connection worked.
    pub fn record_response(mut self) {
        self.is_recorded = true;
        self.idle_limits.update(&self.service, |idle_limit| {
            idle_limit.record_success(self.idle)
        });
    }

    /// Records that the connection failed, which counts as a dead connection if it failed
    /// within [`IMMEDIATE_FAILURE_MAX`].
    pub fn record_disconnect(mut self) {
        self.is_recorded = true;
        if self.clock.now() - self.sent_at < IMMEDIATE_FAILURE_MAX {
            self.idle_limits
                .update(&self.service, IdleLimit::record_dead_connection);
        }
    }
}

impl Drop for ReuseRecorder {
    fn drop(&mut self) {
        if !self.is_recorded && self.clock.now() - self.sent_at > SILENT_FAILURE_MIN {
            self.idle_limits
                .update(&self.service, IdleLimit::record_dead_connection);
        }
    }
}
