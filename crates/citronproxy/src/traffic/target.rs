//! Where a request goes, and under which snapshot.

use {
    super::{
        handle::TrafficHandle,
        in_flight::{Flight, Flights},
        request::{host, key_hash},
        socket::Leave,
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
    pub leave: Leave,
    /// The request's entry in the in-flight table.
    pub flight: Flight,
}

/// Why there is no target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoTarget {
    /// No table has been read yet.
    Table,
    /// No service answers to this host and path.
    Service,
    /// The request has no key where the service's rule says.
    Key,
    /// Nobody owns the key, or its shard is moving.
    Owner(Revision),
}

impl Target {
    /// Looks a request up in the snapshot in force and enters it in the
    /// in-flight table in the same step.
    ///
    /// # Errors
    /// [`NoTarget`] if it can go nowhere now.
    pub fn find(
        handle: &TrafficHandle,
        flights: &Rc<RefCell<Flights>>,
        head: &Parts,
    ) -> Result<Self, NoTarget> {
        let snapshot = handle.snapshot();
        let snapshot = snapshot.as_ref().ok_or(NoTarget::Table)?;
        let map = &snapshot.map;
        let service = map.service(host(head), head.uri.path());
        let service = service.ok_or(NoTarget::Service)?;
        let key = key_hash(&service.row.key_source, head).ok_or(NoTarget::Key)?;
        let route = service.route(key).filter(|route| route.is_open);
        let route = route.ok_or(NoTarget::Owner(map.revision))?;
        let server = map.server(route.server);
        let flight = Flight::enter(flights, service, route.scope, server, map.revision);
        let leave = Leave {
            own: server.domain == snapshot.domain,
            grace: service.row.grace,
            snapshot: Arc::clone(snapshot),
        };
        Ok(Self {
            service: Arc::clone(service),
            server: Arc::clone(server),
            route,
            leave,
            flight,
        })
    }
}
