//! Concurrency limits of this instance, by service.

use {
    citron_core::{
        dispatch::{ConcurrencyLimit, Timeliness},
        id::ServiceName,
    },
    rand::Rng,
    std::{cell::RefCell, collections::BTreeMap, rc::Rc},
};

/// A [`ConcurrencyLimit`] for each service that has had a request.
#[derive(Debug, Default)]
pub struct ConcurrencyLimits {
    services: RefCell<BTreeMap<ServiceName, ConcurrencyLimit>>,
}

impl ConcurrencyLimits {
    /// Whether one more request may be sent to `service`.
    pub fn admits(&self, service: &ServiceName) -> bool {
        let random = rand::rng().random();
        let services = self.services.borrow();
        services
            .get(service)
            .is_none_or(|limit| limit.admits(random))
    }

    /// Counts a request of `service` as in flight until the permit is dropped.
    pub fn begin(self: &Rc<Self>, service: &ServiceName) -> ConcurrencyPermit {
        let mut services = self.services.borrow_mut();
        services.entry(service.clone()).or_default().begin();
        ConcurrencyPermit {
            limits: Rc::clone(self),
            service: service.clone(),
            timeliness: Timeliness::Unknown,
        }
    }
}

/// Guard of one request that counts as in flight at its service. Its drop adjusts the
/// limit of the service.
#[derive(Debug)]
pub struct ConcurrencyPermit {
    limits: Rc<ConcurrencyLimits>,
    service: ServiceName,
    /// Timeliness of the response; [`Timeliness::Unknown`] until it is set.
    pub timeliness: Timeliness,
}

impl Drop for ConcurrencyPermit {
    fn drop(&mut self) {
        let mut services = self.limits.services.borrow_mut();
        if let Some(limit) = services.get_mut(&self.service) {
            limit.end(self.timeliness);
        }
    }
}
