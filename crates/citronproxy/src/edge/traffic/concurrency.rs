//! Limits of this instance's requests, by service.

use {
    citron_core::{
        dispatch::{ConcurrencyLimit, Timeliness},
        id::ServiceName,
    },
    rand::Rng,
    std::{cell::RefCell, collections::BTreeMap, rc::Rc},
};

/// A [`ConcurrencyLimit`] for each service that was asked.
#[derive(Debug, Default)]
pub struct Paces {
    services: RefCell<BTreeMap<ServiceName, ConcurrencyLimit>>,
}

impl Paces {
    /// Whether one more request may go to a service.
    pub fn admits(&self, service: &ServiceName) -> bool {
        let drawn = rand::rng().random();
        let services = self.services.borrow();
        services.get(service).is_none_or(|pace| pace.admits(drawn))
    }

    /// Counts a request until the answer is dropped.
    pub fn begin(self: &Rc<Self>, service: &ServiceName) -> Paced {
        let mut services = self.services.borrow_mut();
        services.entry(service.clone()).or_default().begin();
        Paced {
            paces: Rc::clone(self),
            service: service.clone(),
            speed: Timeliness::Unknown,
        }
    }
}

/// A request that is counted.
#[derive(Debug)]
pub struct Paced {
    paces: Rc<Paces>,
    service: ServiceName,
    /// What its end tells.
    pub speed: Timeliness,
}

impl Drop for Paced {
    fn drop(&mut self) {
        let mut services = self.paces.services.borrow_mut();
        if let Some(pace) = services.get_mut(&self.service) {
            pace.end(self.speed);
        }
    }
}
