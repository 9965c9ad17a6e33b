//! Orders that the planner sends to backend servers: grants and releases of keys.

use {
    crate::{
        edge::control::{
            controller::{Controller, Leadership},
            refresh,
            statements::record_order_response,
        },
        events,
    },
    bytes::Bytes,
    citron_core::{
        dispatch::Failure,
        id::{Epoch, ServerName},
        ranges::{KeyRange, LeaseTimes, Order, OrderOutcome, RangeKey, Slice},
    },
    citron_ports::{Adapter, CallError, HttpClient, Reply},
    http::{HeaderValue, Request, Response, StatusCode},
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::sync::Semaphore,
};

/// How long a server may take to release keys. It responds once the requests on them have
/// ended, which takes up to two seconds.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a server may take to answer a health check; like a request, the check waits
/// for a free slot.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(700);
/// How long opening a spare connection may take of the time of an order. Servers are
/// milliseconds away.
const SPARE_TIMEOUT: Duration = Duration::from_millis(100);
/// Largest response body that is read, in bytes.
const RESPONSE_BYTES_MAX: usize = 64 * 1_024;

/// Keys that are released to find out whether a server takes orders.
const PROBED_KEYS: KeyRange = KeyRange {
    first: RangeKey(u16::MAX),
    last: RangeKey(u16::MAX),
};

/// Largest number of concurrent releases at one server. Each occupies a connection until
/// the requests on its keys have ended. A server whose keys are distributed among
/// hundreds of others would reset connections above its own limit.
const RELEASES_PER_SERVER_MAX: usize = 48;

/// Client for orders. Keeps its connections open.
#[derive(Debug, Default)]
pub struct OrderClient {
    connections: RefCell<BTreeMap<SocketAddr, Connection>>,
}

/// The process at a server's address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Responder {
    /// It is the server.
    Server,
    /// It is another one: the server has ended.
    Other,
    /// There is no answer, or it names no process.
    Unknown,
}

/// Connection to one server, and its limit of concurrent releases.
#[derive(Debug, Clone)]
struct Connection {
    client: HttpClient,
    releases: Rc<Semaphore>,
    /// Whether the last grant was withheld, as the process at the address may be another one.
    is_withheld: Rc<Cell<bool>>,
    /// The server that last identified itself, and when it was asked.
    identified: Rc<RefCell<Option<(ServerName, Instant)>>>,
}

impl OrderClient {
    /// Sends an order under a leadership to a server and returns its result. Commits are not
    /// sent to servers.
    pub async fn send<A: Adapter>(
        &self,
        controller: &Rc<Controller<A>>,
        leadership: &Leadership,
        order: &Order,
        lease_times: &LeaseTimes,
    ) -> OrderOutcome {
        match order {
            Order::Grant { slice, .. } => {
                self.grant(controller, leadership, slice, lease_times).await
            }
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
                let reply = self
                    .call(
                        controller,
                        server,
                        request,
                        ends_release,
                        async |_| true,
                        RELEASE_TIMEOUT,
                    )
                    .await;
                let mut outcome = release_outcome(controller, &reply);
                if is_misdirected(&reply) {
                    log_replacement(server, *range, *epoch);
                }
                if reply.is_ok()
                    && outcome == OrderOutcome::Unknown
                    && self.is_replaced(controller, server).await
                {
                    outcome = OrderOutcome::Done { handover: None };
                    log_replacement(server, *range, *epoch);
                }
                log::debug!("release {range} at {server}, epoch {epoch}: {outcome:?}");
                outcome
            }
            Order::Probe { server } => self.probe(controller, server, lease_times).await,
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
        let responder = self.responder(controller, server).await;
        matches!(responder, Responder::Other)
    }

    /// Whether the process that has been listening at the server's address since `known_since`
    /// or earlier is the server: it answers under its id, which no other process has.
    async fn is_identified<A: Adapter>(
        &self,
        controller: &Controller<A>,
        server: &ServerName,
        known_since: Instant,
    ) -> bool {
        let Some(connection) = self.connection_to(controller, server) else {
            return false;
        };
        let is_known =
            |(name, asked): &(ServerName, Instant)| name == server && known_since <= *asked;
        if connection
            .identified
            .borrow()
            .as_ref()
            .is_some_and(is_known)
        {
            return true;
        }
        // The answer names the id, not the process of a server that restarts under its id.
        if server.start_time().is_some() {
            return false;
        }
        let asked = Instant::now();
        let is_server = self.responder(controller, server).await == Responder::Server;
        if is_server {
            *connection.identified.borrow_mut() = Some((server.clone(), asked));
        }
        is_server
    }

    /// Which process answers a health check at the server's address.
    async fn responder<A: Adapter>(
        &self,
        controller: &Controller<A>,
        server: &ServerName,
    ) -> Responder {
        let Some((address, path)) = health_endpoint(controller, server) else {
            return Responder::Unknown;
        };
        // The server rejects health checks as it rejects requests.
        if is_resting(controller, server) {
            return Responder::Unknown;
        }
        let Ok(request) = Request::get(path).body(Bytes::new()) else {
            return Responder::Unknown;
        };
        let headers = controller.adapter.headers();
        let names_process =
            |response: &Response<Bytes>| response.headers().contains_key(&headers.server_start);
        let client = self.connection_at(address).client;
        let reply = client
            .call_identified(
                request,
                &headers.request_id,
                names_process,
                async |_| true,
                HEALTH_TIMEOUT,
            )
            .await;
        let response = match reply {
            Ok(reply) => reply.response,
            Err(error) => {
                if let CallError::OtherCall(reason) = &error {
                    record_stray(controller, server, reason);
                }
                log::debug!("health check of {server}: {error}");
                return Responder::Unknown;
            }
        };
        let responder = match response.headers().get(&headers.server_start) {
            None => Responder::Unknown,
            Some(id) if id.as_bytes() == server.id().as_bytes() => Responder::Server,
            Some(_) => Responder::Other,
        };
        if responder != Responder::Other {
            record_order_response(controller, server, &response);
        }
        responder
    }

    fn connection_at(&self, address: SocketAddr) -> Connection {
        let mut connections = self.connections.borrow_mut();
        let connection = connections.entry(address).or_insert_with(|| Connection {
            client: HttpClient::new(address, RESPONSE_BYTES_MAX),
            releases: Rc::new(Semaphore::new(RELEASES_PER_SERVER_MAX)),
            is_withheld: Rc::default(),
            identified: Rc::default(),
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

    /// Sends a grant, unless the process at the server's address may have started after
    /// another planner has moved keys: it would not know the higher epoch, and take the keys
    /// that another server holds.
    async fn grant<A: Adapter>(
        &self,
        controller: &Rc<Controller<A>>,
        leadership: &Leadership,
        slice: &Slice,
        lease_times: &LeaseTimes,
    ) -> OrderOutcome {
        let Some(owner) = &slice.owner else {
            return OrderOutcome::Unknown;
        };
        let request = controller.adapter.grant_request(slice, lease_times.lease);
        // All of it takes no longer than an order may: leases are counted by that.
        let deadline = Instant::now() + lease_times.order_timeout;
        if !*controller.store_up.borrow() {
            self.keep_spare(controller, owner).await;
        }
        let is_former = slice.epoch < leadership.epoch_floor();
        let admits = async |known_since: Instant| {
            let age = known_since.elapsed();
            let since = controller.clock.now() - age;
            if is_former {
                controller.was_confirmed_in_former_era(since)
                    || self.is_identified(controller, owner, known_since).await
            } else {
                refresh::confirm_leadership(controller, leadership, since).await
            }
        };
        let reply = self
            .call(
                controller,
                owner,
                request,
                refuses_grant,
                admits,
                deadline.saturating_duration_since(Instant::now()),
            )
            .await;
        self.record_admission(controller, owner, &reply);
        match reply.map(|reply| reply.response.status()) {
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
                    CallError::NotSent(_) | CallError::NotAdmitted => OrderOutcome::NotSent,
                    CallError::OutcomeUnknown(_)
                    | CallError::OtherCall(_)
                    | CallError::TooLong { .. } => OrderOutcome::Unknown,
                }
            }
        }
    }

    /// Sends a release of one key that the server does not hold, under an epoch below all others.
    async fn probe<A: Adapter>(
        &self,
        controller: &Controller<A>,
        server: &ServerName,
        lease_times: &LeaseTimes,
    ) -> OrderOutcome {
        let request = controller.adapter.release_request(PROBED_KEYS, Epoch(0));
        let timeout = lease_times.order_timeout;
        let call = self.call(
            controller,
            server,
            request,
            |_| false,
            async |_| true,
            timeout,
        );
        match call.await.map(|reply| reply.response.status()) {
            Ok(StatusCode::OK) => OrderOutcome::Done { handover: None },
            Ok(status) => {
                log::warn!("{} probe of {server}: {status}", events::GRANT_REFUSED);
                OrderOutcome::Unknown
            }
            Err(error) => {
                log::debug!("probe of {server} failed: {error}");
                OrderOutcome::Unknown
            }
        }
    }

    async fn call<A: Adapter>(
        &self,
        controller: &Controller<A>,
        server: &ServerName,
        mut request: Request<Bytes>,
        needs_proof: impl Fn(&Response<Bytes>) -> bool,
        admits: impl AsyncFn(Instant) -> bool,
        timeout: Duration,
    ) -> Result<Reply, CallError> {
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
        let name = &controller.adapter.headers().request_id;
        let reply = connection
            .client
            .call_identified(request, name, needs_proof, admits, timeout)
            .await;
        match &reply {
            Ok(reply) => {
                controller.record_response(server);
                record_order_response(controller, server, &reply.response);
            }
            Err(error) => {
                let now = controller.clock.now();
                let shared = &controller.shared;
                match error {
                    CallError::NotSent(_) => {
                        shared.record_failure(server, Failure::Unreachable, started, now);
                    }
                    CallError::NotAdmitted => {}
                    CallError::OutcomeUnknown(_) | CallError::TooLong { .. } => {
                        shared.record_silence(server, Failure::Failing, started, now);
                    }
                    CallError::OtherCall(reason) => {
                        controller.record_response(server);
                        record_stray(controller, server, reason);
                    }
                }
            }
        }
        reply
    }

    /// Keeps a second connection to a server while the store does not answer: if the server
    /// closes the only one, nothing tells whether a new one leads to the same process.
    async fn keep_spare<A: Adapter>(&self, controller: &Controller<A>, server: &ServerName) {
        let Some(connection) = self.connection_to(controller, server) else {
            return;
        };
        if let Err(error) = connection.client.keep_spare(SPARE_TIMEOUT).await {
            log::debug!("spare connection to {server}: {error}");
        }
    }

    /// Logs when grants to a server begin to be withheld, and when they end to be.
    fn record_admission<A: Adapter>(
        &self,
        controller: &Controller<A>,
        server: &ServerName,
        reply: &Result<Reply, CallError>,
    ) {
        let Some(connection) = self.connection_to(controller, server) else {
            return;
        };
        let is_withheld = matches!(reply, Err(CallError::NotAdmitted));
        if is_withheld {
            controller.metrics.withheld_grants.inc();
        }
        if is_withheld != connection.is_withheld.replace(is_withheld) {
            let event = events::GRANTS_WITHHELD;
            let change = match is_withheld {
                true => "withheld",
                false => "sent again",
            };
            let confirmed_at = controller.state.borrow().ranges_confirmed.at;
            let age = controller.clock.now() - confirmed_at;
            log::warn!("{event} to {server}: {change}, leadership confirmed {age:?} ago");
        }
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

fn log_replacement(server: &ServerName, range: KeyRange, epoch: Epoch) {
    let event = events::SERVER_REPLACED;
    log::info!("{event} {server}, release of {range} under epoch {epoch}");
}

/// Whether a server has asked this instance for rest.
fn is_resting<A: Adapter>(controller: &Controller<A>, server: &ServerName) -> bool {
    let loads = controller.shared.loads();
    let rest = loads.get(server).remaining_rest(controller.clock.now());
    rest.is_some()
}

/// Counts and logs a response of a server to another call than the order that received it.
fn record_stray<A: Adapter>(controller: &Controller<A>, server: &ServerName, reason: &str) {
    controller.metrics.stray_responses.inc();
    log::warn!(
        "{} from {server}, discarded, outcome unknown: {reason}",
        events::STRAY_RESPONSE
    );
}

/// Whether a response to a grant shows that its epoch is outdated, if it belongs to it. A
/// successful one needs no proof: it puts off the next grant and ends the handover, while the
/// lease counts from the time at which the grant was sent in any case.
fn refuses_grant(response: &Response<Bytes>) -> bool {
    response.status() == StatusCode::CONFLICT
}

/// Whether a response to a release shows that the server holds the keys no more, if it belongs
/// to it.
fn ends_release(response: &Response<Bytes>) -> bool {
    // The order names the incarnation it is meant for. If another one has answered at that
    // address, the released process has ended and holds no keys.
    matches!(
        response.status(),
        StatusCode::OK | StatusCode::MISDIRECTED_REQUEST
    )
}

fn release_outcome<A: Adapter>(
    controller: &Controller<A>,
    reply: &Result<Reply, CallError>,
) -> OrderOutcome {
    match reply {
        Ok(reply) if ends_release(&reply.response) => {
            let responses = reply.unproven.iter().chain([&reply.response]);
            let done = responses.filter(|response| response.status() == StatusCode::OK);
            let mut handovers =
                done.filter_map(|response| controller.adapter.decode_handover(response.headers()));
            OrderOutcome::Done {
                handover: handovers.next_back(),
            }
        }
        _ => OrderOutcome::Unknown,
    }
}

fn is_misdirected(reply: &Result<Reply, CallError>) -> bool {
    let reply = reply.as_ref();
    reply.is_ok_and(|reply| reply.response.status() == StatusCode::MISDIRECTED_REQUEST)
}
