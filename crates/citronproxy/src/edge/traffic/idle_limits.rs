//! How long idle connections are trusted, by service.

use {
    citron_core::{dispatch::IdleLimit, id::ServiceName, time::Time},
    std::{cell::RefCell, collections::BTreeMap, rc::Rc, time::Duration},
};

/// A connection that breaks so soon after a request was sent on it was dead before:
/// servers that break one off have worked on the request first.
const SOON: Duration = Duration::from_millis(20);
/// A request that got no answer for so long, and was given up, may have gone on a
/// connection that is dead without a word.
const SILENT: Duration = Duration::from_millis(500);

/// An [`IdleLimit`] for each service.
#[derive(Debug, Default)]
pub struct Idles {
    services: RefCell<BTreeMap<ServiceName, IdleLimit>>,
}

impl Idles {
    /// How long a connection may have been idle for what may run only once.
    pub fn bound(&self, service: &ServiceName) -> Duration {
        let services = self.services.borrow();
        let trust = services.get(service);
        trust.map_or_else(|| IdleLimit::default().limit(), IdleLimit::limit)
    }

    fn learn(&self, service: &ServiceName, f: impl FnOnce(&mut IdleLimit)) {
        let mut services = self.services.borrow_mut();
        f(services.entry(service.clone()).or_default());
    }
}

/// A request on a connection that was idle; dropped without an end, it was given up.
#[derive(Debug)]
pub struct Reused {
    idles: Rc<Idles>,
    service: ServiceName,
    idle: Duration,
    begun: Time,
    clock: crate::clock::Clock,
    ended: bool,
}

impl Reused {
    /// A request goes now on a connection that was idle for so long.
    pub fn begin(
        idles: &Rc<Idles>,
        service: &ServiceName,
        idle: Duration,
        clock: crate::clock::Clock,
    ) -> Self {
        Self {
            idles: Rc::clone(idles),
            service: service.clone(),
            idle,
            begun: clock.now(),
            clock,
            ended: false,
        }
    }

    /// The head of an answer has come.
    pub fn answered(mut self) {
        self.ended = true;
        self.idles
            .learn(&self.service, |trust| trust.record_success(self.idle));
    }

    /// The connection broke.
    pub fn broke(mut self) {
        self.ended = true;
        if self.clock.now() - self.begun < SOON {
            self.idles
                .learn(&self.service, IdleLimit::record_dead_connection);
        }
    }
}

impl Drop for Reused {
    fn drop(&mut self) {
        if !self.ended && self.clock.now() - self.begun > SILENT {
            self.idles
                .learn(&self.service, IdleLimit::record_dead_connection);
        }
    }
}
