//! Orders to backend servers that hold keys.

use {
    crate::{edge::control::controller::Controller, events},
    bytes::Bytes,
    citron_core::{
        id::ServerName,
        ranges::{LeaseTimes, Order, OrderOutcome, Slice},
    },
    citron_ports::{Adapter, CallError, KeptClient},
    http::{HeaderValue, Request, Response, StatusCode},
    std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration},
    tokio::sync::Semaphore,
};

/// How long a server may take to give keys up: it answers when the requests on
/// them have ended, and they take up to two seconds.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(3);
/// How long an answer to the question of who listens at an address may take: it
/// waits for a slot as requests do.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(700);
/// The largest answer that is read.
const RESPONSE_BYTES_MAX: usize = 64 * 1_024;

/// Releases under way at one server at most. Each needs a connection until the
/// requests on its keys have ended, and a server whose keys are divided among
/// hundreds of others would reset what is over its limit of them.
const RELEASES_PER_SERVER_MAX: usize = 48;

/// Sends orders, on connections that are kept.
#[derive(Debug, Default)]
pub struct OrderClient {
    connections: RefCell<BTreeMap<SocketAddr, Connection>>,
}

/// What leads to one server.
#[derive(Debug, Clone)]
struct Connection {
    client: KeptClient,
    releases: Rc<Semaphore>,
}

impl OrderClient {
    /// Carries out an order to a server.
    pub async fn send<A: Adapter>(
        &self,
        controller: &Controller<A>,
        order: &Order,
        lease_times: &LeaseTimes,
    ) -> OrderOutcome {
        match order {
            Order::Grant(slice) => self.grant(controller, slice, lease_times).await,
            Order::Release {
                server,
                range,
                epoch,
            } => {
                let request = controller.adapter.release(*range, *epoch);
                let connection = self.connection_to(controller, server);
                // Nothing closes the semaphore.
                let _permit = match &connection {
                    Some(connection) => connection.releases.acquire().await.ok(),
                    None => None,
                };
                let response = self
                    .call(controller, server, request, RELEASE_TIMEOUT)
                    .await;
                let mut outcome = release_outcome(controller, &response);
                if response.is_ok()
                    && outcome == OrderOutcome::Unknown
                    && self.is_replaced(controller, server).await
                {
                    outcome = OrderOutcome::Done { handover: None };
                }
                log::debug!("release {range} at {server}, epoch {epoch}: {outcome:?}");
                outcome
            }
            Order::Commit(_) => OrderOutcome::Unknown,
        }
    }

    /// Whether another start answers at a server's address. The process that
    /// listened there has ended then, and holds nothing. An address may go to a
    /// server of another service, which understands no orders: without asking who
    /// it is, the keys of the one before would wait for the end of their lease.
    async fn is_replaced<A: Adapter>(
        &self,
        controller: &Controller<A>,
        server: &ServerName,
    ) -> bool {
        let Some((address, path)) = health_endpoint(controller, server) else {
            return false;
        };
        let Ok(request) = Request::get(path).body(Bytes::new()) else {
            return false;
        };
        let response = self
            .connection_at(address)
            .client
            .call(request, HEALTH_TIMEOUT)
            .await;
        let Ok(response) = response else { return false };
        let responder = response
            .headers()
            .get(&controller.adapter.headers().answering);
        responder.is_some_and(|id| id.as_bytes() != server.id().as_bytes())
    }

    fn connection_at(&self, address: SocketAddr) -> Connection {
        let mut connections = self.connections.borrow_mut();
        let connection = connections.entry(address).or_insert_with(|| Connection {
            client: KeptClient::new(address, RESPONSE_BYTES_MAX),
            releases: Rc::new(Semaphore::new(RELEASES_PER_SERVER_MAX)),
        });
        connection.clone()
    }

    fn connection_to<A: Adapter>(
        &self,
        controller: &Controller<A>,
        server: &ServerName,
    ) -> Option<Connection> {
        let state = controller.state.borrow();
        let known = state.registry.get(server)?;
        Some(self.connection_at(known.entry.address))
    }

    async fn grant<A: Adapter>(
        &self,
        controller: &Controller<A>,
        slice: &Slice,
        lease_times: &LeaseTimes,
    ) -> OrderOutcome {
        let Some(owner) = &slice.owner else {
            return OrderOutcome::Unknown;
        };
        let request = controller.adapter.grant(slice, lease_times.lease);
        let response = self
            .call(controller, owner, request, lease_times.order_timeout)
            .await;
        match response.map(|response| response.status()) {
            Ok(StatusCode::OK) => OrderOutcome::Done { handover: None },
            Ok(StatusCode::CONFLICT) => {
                log::info!(
                    "{} {} at {owner}, epoch {}: a higher one was seen",
                    events::GRANT_REFUSED,
                    slice.range,
                    slice.epoch
                );
                OrderOutcome::Outdated
            }
            Ok(status) => {
                log::warn!(
                    "{} {} at {owner}: {status}",
                    events::GRANT_REFUSED,
                    slice.range
                );
                OrderOutcome::Unknown
            }
            Err(error) => {
                log::debug!("grant of {} to {owner}: {error}", slice.range);
                match error {
                    CallError::NotSent(_) => OrderOutcome::NotSent,
                    CallError::Unknown(_) => OrderOutcome::Unknown,
                }
            }
        }
    }

    async fn call<A: Adapter>(
        &self,
        controller: &Controller<A>,
        server: &ServerName,
        mut request: Request<Bytes>,
        timeout: Duration,
    ) -> Result<Response<Bytes>, CallError> {
        let Some(connection) = self.connection_to(controller, server) else {
            return Err(CallError::NotSent("the server is not known".to_string()));
        };
        if let Ok(name) = HeaderValue::from_str(server.id()) {
            let header = controller.adapter.headers().instance.clone();
            request.headers_mut().insert(header, name);
        }
        connection.client.call(request, timeout).await
    }

    /// Drops the connections to servers that hold nothing.
    pub fn retain(&self, is_used: impl Fn(&SocketAddr) -> bool) {
        self.connections
            .borrow_mut()
            .retain(|address, _| is_used(address));
    }
}

/// Where to ask who listens at a server's address: by the service of the start
/// that is listed there now, or by its own.
fn health_endpoint<A: Adapter>(
    controller: &Controller<A>,
    server: &ServerName,
) -> Option<(SocketAddr, String)> {
    let state = controller.state.borrow();
    let address = state.registry.get(server)?.entry.address;
    let mut listed = state.registry.servers_at(&address);
    let listening = listed
        .find(|known| known.is_available())
        .or(state.registry.get(server))?;
    let config = state.config.as_ref()?;
    let service = config.service(&listening.entry.service)?;
    Some((address, service.health_path.clone()))
}

fn release_outcome<A: Adapter>(
    controller: &Controller<A>,
    response: &Result<Response<Bytes>, CallError>,
) -> OrderOutcome {
    match response {
        Ok(response) if response.status() == StatusCode::OK => OrderOutcome::Done {
            handover: controller.adapter.handover(response.headers()),
        },
        // The order names the start that it is for, and another one has answered
        // at the address: a process listens there that is not the one released,
        // which therefore has ended and holds nothing.
        Ok(response) if response.status() == StatusCode::MISDIRECTED_REQUEST => {
            OrderOutcome::Done { handover: None }
        }
        _ => OrderOutcome::Unknown,
    }
}
