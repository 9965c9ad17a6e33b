//! Where a request goes, and under which snapshot.

use {
    super::{
        handle::TrafficHandle,
        in_flight::{InFlightRequest, InFlightTable},
        request::{host, key_hash},
        socket::WritePermit,
    },
    citron_core::{
        id::Revision,
        routing::{Route, ServiceRoutes},
        table::ServerRow,
    },
    http::request::Parts,
    std::{cell::RefCell, rc::Rc, sync::Arc},
};

/// The owner of a request's key.
#[derive(Debug)]
pub struct Target {
    /// The service.
    pub service: Arc<ServiceRoutes>,
    /// The owner.
    pub server: Arc<ServerRow>,
    /// Scope and epoch.
    pub route: Route,
    /// Until when the request may be written.
    pub permit: WritePermit,
    /// The request's entry in the in-flight table.
    pub in_flight: InFlightRequest,
}

/// Why there is no target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetError {
    /// No table has been read yet.
    NoTable,
    /// No service answers to this host and path.
    UnknownService,
    /// The request has no key where the service's rule says.
    MissingKey,
    /// Nobody owns the key, or its shard is moving.
    NoOwner(Revision),
}

impl Target {
    /// Looks a request up in the snapshot in force and enters it in the
    /// in-flight table in the same step.
    ///
    /// # Errors
    /// [`TargetError`] if it can go nowhere now.
    pub fn find(
        handle: &TrafficHandle,
        in_flight_table: &Rc<RefCell<InFlightTable>>,
        head: &Parts,
    ) -> Result<Self, TargetError> {
        let snapshot = handle.snapshot();
        let snapshot = snapshot.as_ref().ok_or(TargetError::NoTable)?;
        let map = &snapshot.map;
        let service = map.service(host(head), head.uri.path());
        let service = service.ok_or(TargetError::UnknownService)?;
        let key = key_hash(&service.row.key_source, head).ok_or(TargetError::MissingKey)?;
        let route = service.route(key).filter(|route| route.is_open);
        let route = route.ok_or(TargetError::NoOwner(map.revision))?;
        let server = map.server(route.server);
        let in_flight =
            InFlightRequest::register(in_flight_table, service, route.scope, server, map.revision);
        let permit = WritePermit {
            is_own_domain: server.domain == snapshot.domain,
            grace: service.row.grace,
            snapshot: Arc::clone(snapshot),
        };
        Ok(Self {
            service: Arc::clone(service),
            server: Arc::clone(server),
            route,
            permit,
            in_flight,
        })
    }
}
