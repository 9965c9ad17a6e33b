//! How long idle connections are trusted, by service.

use {
    citron_core::{dispatch::IdleLimit, id::ServiceName, time::Time},
    std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration},
};

/// A connection that breaks so soon after a request was sent on it was dead before:
/// servers that break one off have worked on the request first.
const IMMEDIATE_FAILURE_MAX: Duration = Duration::from_millis(20);
/// A request that got no answer for so long, and was given up, may have gone on a
/// connection that is dead without a word.
const SILENT_FAILURE_MIN: Duration = Duration::from_millis(500);

/// An [`IdleLimit`] for each service.
#[derive(Debug, Default)]
pub struct IdleLimits {
    services: RefCell<BTreeMap<ServiceName, IdleLimit>>,
}

impl IdleLimits {
    /// How long a connection may have been idle for what may run only once.
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

/// A request on a connection that was idle; dropped without an end, it was given up.
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
    /// A request goes now on a connection that was idle for so long.
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

    /// The head of an answer has come.
    pub fn record_response(mut self) {
        self.is_recorded = true;
        self.idle_limits.update(&self.service, |idle_limit| {
            idle_limit.record_success(self.idle)
        });
    }

    /// The connection broke.
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
