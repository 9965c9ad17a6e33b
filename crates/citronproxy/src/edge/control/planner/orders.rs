//! Orders that the planner sends to backend servers: grants and releases of keys.

use {
    crate::{
        edge::control::{controller::Controller, statements::record_order_response},
        events,
    },
    bytes::Bytes,
    citron_core::{
        dispatch::Failure,
        id::ServerName,
        ranges::{LeaseTimes, Order, OrderOutcome, Slice},
    },
    citron_ports::{Adapter, CallError, HttpClient},
    http::{HeaderValue, Request, Response, StatusCode},
    std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration},
    tokio::sync::Semaphore,
};

/// How long a server may take to release keys. It responds once the requests on them have
/// ended, which takes up to two seconds.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a server may take to answer a health check; like a request, the check waits
/// for a free slot.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(700);
/// Largest response body that is read, in bytes.
const RESPONSE_BYTES_MAX: usize = 64 * 1_024;

/// Largest number of concurrent releases at one server. Each occupies a connection until
/// the requests on its keys have ended. A server whose keys are distributed among
/// hundreds of others would reset connections above its own limit.
const RELEASES_PER_SERVER_MAX: usize = 48;

/// Client for orders. Keeps its connections open.
#[derive(Debug, Default)]
pub struct OrderClient {
    connections: RefCell<BTreeMap<SocketAddr, Connection>>,
}

/// Connection to one server, and its limit of concurrent releases.
#[derive(Debug, Clone)]
struct Connection {
    client: HttpClient,
    releases: Rc<Semaphore>,
}

impl OrderClient {
    /// Sends an order to a server and returns its result. Commits are not sent to
    /// servers.
    pub async fn send<A: Adapter>(
        &self,
        controller: &Controller<A>,
        order: &Order,
        lease_times: &LeaseTimes,
    ) -> OrderOutcome {
        match order {
            Order::Grant { slice, .. } => self.grant(controller, slice, lease_times).await,
            Order::Release {
                server,
                range,
                epoch,
            } => {
                let request = controller.adapter.release_request(*range, *epoch);
                let connection = self.connection_to(controller, server);
                // The semaphore is never closed.
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

    /// Whether another incarnation responds at the server's address. If so, the process
    /// that listened there has ended and holds no keys. The address may have been
    /// reassigned to a server of another service, which does not understand orders;
    /// without this check, the keys would remain unavailable until their lease expires.
    async fn is_replaced<A: Adapter>(
        &self,
        controller: &Controller<A>,
        server: &ServerName,
    ) -> bool {
        let Some((address, path)) = health_endpoint(controller, server) else {
            return false;
        };
        // The server rejects health checks as it rejects requests.
        if is_resting(controller, server) {
            return false;
        }
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
            .get(&controller.adapter.headers().server_start);
        let is_other = responder.is_some_and(|id| id.as_bytes() != server.id().as_bytes());
        if !is_other {
            record_order_response(controller, server, &response);
        }
        is_other
    }

    fn connection_at(&self, address: SocketAddr) -> Connection {
        let mut connections = self.connections.borrow_mut();
        let connection = connections.entry(address).or_insert_with(|| Connection {
            client: HttpClient::new(address, RESPONSE_BYTES_MAX),
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
        let request = controller.adapter.grant_request(slice, lease_times.lease);
        let response = self
            .call(controller, owner, request, lease_times.order_timeout)
            .await;
        match response.map(|response| response.status()) {
            Ok(StatusCode::OK) => OrderOutcome::Done { handover: None },
            Ok(StatusCode::CONFLICT) => {
                log::info!(
                    "{} {} at {owner}, epoch {}: the server has seen a higher epoch",
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
                log::debug!("grant of {} to {owner} failed: {error}", slice.range);
                match error {
                    CallError::NotSent(_) => OrderOutcome::NotSent,
                    CallError::OutcomeUnknown(_) => OrderOutcome::Unknown,
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
            return Err(CallError::NotSent(
                "the server is not registered".to_string(),
            ));
        };
        if let Ok(name) = HeaderValue::from_str(server.id()) {
            let header = controller.adapter.headers().expected_start.clone();
            request.headers_mut().insert(header, name);
        }
        let started = controller.clock.now();
        let response = connection.client.call(request, timeout).await;
        match &response {
            Ok(response) => {
                controller.record_response(server);
                record_order_response(controller, server, response);
            }
            Err(error) => {
                let now = controller.clock.now();
                let shared = &controller.shared;
                match error {
                    CallError::NotSent(_) => {
                        shared.record_failure(server, Failure::Unreachable, started, now);
                    }
                    CallError::OutcomeUnknown(_) => {
                        shared.record_silence(server, Failure::Failing, started, now);
                    }
                }
            }
        }
        response
    }

    /// Drops connections to addresses that are no longer used.
    pub fn retain(&self, is_used: impl Fn(&SocketAddr) -> bool) {
        self.connections
            .borrow_mut()
            .retain(|address, _| is_used(address));
    }
}

/// Address and path of a health check that reveals which incarnation listens at a
/// server's address. The path is that of the service now registered there, or else of the
/// server's own service.
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

/// Whether a server has asked this instance for rest.
fn is_resting<A: Adapter>(controller: &Controller<A>, server: &ServerName) -> bool {
    let loads = controller.shared.loads();
    let rest = loads.get(server).remaining_rest(controller.clock.now());
    rest.is_some()
}

fn release_outcome<A: Adapter>(
    controller: &Controller<A>,
    response: &Result<Response<Bytes>, CallError>,
) -> OrderOutcome {
    match response {
        Ok(response) if response.status() == StatusCode::OK => OrderOutcome::Done {
            handover: controller.adapter.decode_handover(response.headers()),
        },
        // The order names the incarnation it is meant for, and another one has answered
        // at that address. The released process has therefore ended and holds no keys.
        Ok(response) if response.status() == StatusCode::MISDIRECTED_REQUEST => {
            OrderOutcome::Done { handover: None }
        }
        _ => OrderOutcome::Unknown,
    }
}
