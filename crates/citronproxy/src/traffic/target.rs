//! Destination of a request by the current snapshot.

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

/// Owner of a request's key, with the permit to write to it.
#[derive(Debug)]
pub struct Target {
    /// Service.
    pub service: Arc<ServiceRoutes>,
    /// Backend server that owns the key.
    pub server: Arc<ServerRow>,
    /// Scope and epoch.
    pub route: Route,
    /// Permit to write the request.
    pub permit: WritePermit,
    /// The request's entry in the in-flight table.
    pub in_flight: InFlightRequest,
}

/// Reason why a request has no target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetError {
    /// No table was read yet.
    NoTable,
    /// No service matches the host and path.
    UnknownService,
    /// The request has no key where the service's rule expects it.
    MissingKey,
    /// The key has no owner, or its shard is moving. Contains the revision of the table.
    NoOwner(Revision),
}

impl Target {
    /// Looks up the target of a request in the current snapshot and registers the request
    /// in the in-flight table in the same step.
    ///
    /// # Errors
    /// [`TargetError`] if the request cannot be routed at present.
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
