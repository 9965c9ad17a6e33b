//! State of the traffic thread, its listeners and its shutdown.

use {
    super::{
        concurrency::ConcurrencyLimits, detour::UnreachedServers, handler, idle_limits::IdleLimits,
        readiness, response::ResponseBody, slot::SlotClient,
    },
    crate::{
        clock::Clock,
        edge::{
            EdgeError, EdgeSettings,
            freshness::TableAges,
            http_server::{self, HttpResponse, response},
            shared::SharedState,
        },
        events, logs,
        traffic::{
            BufferBudget, Limits, connection,
            metrics::{LocalMetrics, Metrics},
            pool::Pool,
            request_body::BufferLimits,
        },
    },
    citron_core::{
        freshness::{FreshnessTimes, StaleReason},
        id::ServiceName,
        registry::SendBounds,
        request::{Origin, Shutdown, UnnamedRefusals},
        routes::ConfigVersion,
        routing::{BudgetConfig, RetryBudget},
        slowstart::SlowStartLimiter,
        time::Time,
    },
    citron_ports::HeaderNames,
    http::{Request, Response, StatusCode, request::Parts},
    hyper::body::Incoming,
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
        future::pending,
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{Notify, mpsc, watch},
        task::spawn_local,
        time::{sleep, timeout},
    },
};

/// Path at which metrics are served.
const METRICS_PATH: &str = "/metrics";
/// Time for which a leaving instance still accepts connections. Load balancers check
/// readiness once a second and act on two equal results in a row.
const LEAVE_NOTICE_TIME: Duration = Duration::from_millis(2_700);
/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Factor on the configured idle timeout of client connections. They are kept open for
/// longer than clients are told, so that none is closed while a request is on its way.
const IDLE_TIMEOUT_FACTOR: u32 = 3;
/// Fraction of the configured retry allowance that is used. Each instance counts for
/// itself, and clients are spread unevenly over the instances.
const BUDGET_SHARE: f64 = 0.8;

/// Bytes of a body that are buffered before anything is sent. A buffered body can be sent
/// to another server, and a server that responds early cannot leave the client with half
/// of its message unsent. The limit is larger than the uploads that clients send today.
const REPLAY_BUFFER_BYTES: usize = 512 * 1_024;
/// Memory for the buffered beginnings of all bodies, in bytes: a fraction of the memory of
/// the smallest machines.
const REPLAY_BUFFERS_BYTES: usize = 8 * 1_024 * 1_024;

/// State of the traffic thread.
#[derive(Debug)]
pub struct TrafficState {
    /// State shared with the control thread.
    pub shared: Arc<SharedState>,
    /// Settings of this instance.
    pub settings: EdgeSettings,
    /// Clock of this instance.
    pub clock: Clock,
    /// Time at which the thread was started.
    pub started: Time,
    /// Names of the headers exchanged with clients and servers.
    pub headers: HeaderNames,
    /// Idle connections to servers.
    pub pool: Pool,
    /// Notified whenever a request ends.
    pub capacity_freed: Rc<Notify>,
    /// Whether the instance is leaving.
    pub leaving: watch::Receiver<bool>,
    /// Times of the shutdown, once it has begun.
    pub shutdown: watch::Sender<Option<Shutdown>>,
    /// Concurrency limits of services whose servers can all run any request.
    pub concurrency_limits: Rc<ConcurrencyLimits>,
    /// Limits on the idle time of reused connections.
    pub idle_limits: Rc<IdleLimits>,
    /// Limits on the requests that this instance sends to cold servers.
    pub cold_limiter: RefCell<SlowStartLimiter>,
    /// How long owners that are draining or evacuated may still get requests.
    pub send_bounds: SendBounds,
    /// Servers that other instances did not reach either.
    pub unreached: RefCell<UnreachedServers>,
    /// Requests for slots of servers.
    pub slots: SlotClient,
    /// Services whose servers refuse requests without naming them.
    pub unnamed_refusals: RefCell<UnnamedRefusals>,
    /// Limits of the buffered beginnings of request bodies.
    pub buffers: BufferLimits,
    /// Number of requests of other instances in progress.
    pub guests: Cell<usize>,
    /// Counts since the metrics were last read.
    pub local_metrics: RefCell<LocalMetrics>,
    metrics: Metrics,
    budgets: RefCell<BTreeMap<ServiceName, RetryBudget>>,
}

/// Names that the platform defines.
#[derive(Debug)]
pub struct PlatformNames {
    /// Names of the headers exchanged with clients and servers.
    pub headers: HeaderNames,
    /// Path of the readiness check of load balancers.
    pub readiness_path: String,
}

impl TrafficState {
    /// Metrics in text form, for the metrics path.
    fn metrics_page(&self, path: &str) -> HttpResponse {
        if path != METRICS_PATH {
            return response(StatusCode::NOT_FOUND, "");
        }
        self.local_metrics.borrow_mut().flush();
        self.metrics.set_lost_lines(logs::lost_lines());
        response(StatusCode::OK, self.metrics.to_text())
    }

    /// Ages of the tables by which requests are routed.
    pub fn table_ages(&self) -> TableAges {
        self.shared.freshness().ages(self.clock.now())
    }

    /// Reason for which the configuration may be out of date; `None` if it is current. A
    /// configuration older than the one in force is out of date as well; `decided_by` is
    /// `None` if the version does not matter.
    pub fn config_stale_reason(&self, decided_by: Option<ConfigVersion>) -> Option<StaleReason> {
        let staleness = self.shared.freshness().config_standing(self.clock.now());
        if let Some(stale_reason) = staleness.stale_reason(&FreshnessTimes::STANDARD) {
            return Some(stale_reason);
        }
        // Read after the staleness, which describes a view that was published before it.
        let current_version = self.shared.view()?.config.version;
        let is_replaced = decided_by.is_some_and(|version| version < current_version);
        is_replaced.then_some(StaleReason::Lagging)
    }

    /// Id of the request, for logs; `-` if it has none.
    pub fn request_id<'a>(&self, head: &'a Parts) -> &'a str {
        let id = head.headers.get(&self.headers.request_id);
        id.and_then(|id| id.to_str().ok()).unwrap_or("-")
    }

    /// Adds a request to the retry budget of its service.
    pub fn count_request(&self, service: &ServiceName) {
        self.with_budget(service, RetryBudget::deposit);
    }

    /// Waits until a request with this deadline can no longer start, as this instance shuts
    /// down. Never returns if it can.
    pub async fn until_too_late(&self, deadline: Time) {
        let mut shutdown = self.shutdown.subscribe();
        // The sender is part of this state.
        let begun = shutdown.wait_for(Option::is_some).await;
        let begun = begun.ok().and_then(|shutdown| *shutdown);
        match begun.and_then(|shutdown| shutdown.start_limit(deadline)) {
            Some(limit) => sleep(limit - self.clock.now()).await,
            None => pending().await,
        }
    }

    /// Takes a token from the retry budget of the service; `false` if there is none.
    pub fn take_retry(&self, service: &ServiceName) -> bool {
        self.with_budget(service, RetryBudget::take)
    }

    /// Calls `f` with the retry budget of the service, adjusted to the current number of
    /// instances.
    fn with_budget<T>(&self, service: &ServiceName, f: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let instances = self.shared.view().map_or(1, |view| view.instance_count);
        let retries = self.settings.retry_budget;
        let burst = (retries.extra * BUDGET_SHARE / instances as f64).max(1.0);
        let share = retries.ratio * BUDGET_SHARE;
        let new = || RetryBudget::with_one_token(BudgetConfig { share, burst });
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_insert_with(new);
        budget.set_burst(burst);
        f(budget)
    }
}

/// Serves clients until the instance has left.
///
/// # Errors
/// Returns an error if the traffic or readiness address cannot be listened on.
pub async fn run(
    shared: Arc<SharedState>,
    settings: EdgeSettings,
    clock: Clock,
    names: PlatformNames,
    metrics: Metrics,
) -> Result<(), EdgeError> {
    let listener = http_server::listen(settings.traffic_address).await?;
    let readiness_listener = http_server::listen(settings.ready_address).await?;
    let readiness_shared = Arc::clone(&shared);
    let readiness_handler = move |request: &Request<_>| {
        readiness::readiness_response(
            &readiness_shared,
            &names.readiness_path,
            request.uri().path(),
        )
    };
    spawn_local(http_server::serve(readiness_listener, readiness_handler));
    let state = Rc::new(TrafficState {
        send_bounds: SendBounds::from_limits(settings.drain_period, settings.evacuation_period),
        leaving: shared.subscribe_leaving(),
        shared,
        settings,
        clock,
        started: clock.now(),
        headers: names.headers,
        pool: Pool::new(clock),
        capacity_freed: Rc::default(),
        shutdown: watch::Sender::new(None),
        concurrency_limits: Rc::default(),
        idle_limits: Rc::default(),
        cold_limiter: RefCell::default(),
        unreached: RefCell::default(),
        slots: SlotClient::new(metrics.registry())?,
        unnamed_refusals: RefCell::default(),
        buffers: BufferLimits {
            per_body: REPLAY_BUFFER_BYTES,
            budget: Rc::new(BufferBudget::new(REPLAY_BUFFERS_BYTES)),
        },
        guests: Cell::default(),
        local_metrics: RefCell::new(metrics.local()),
        metrics,
        budgets: RefCell::default(),
    });
    serve_metrics(&state).await;
    log::info!("{} at {}", events::STARTED, state.settings.traffic_address);
    let detour_listener = match state.settings.detour_address {
        Some(address) => Some(http_server::listen(address).await?),
        None => None,
    };
    accept_until_leaving(&state, listener, detour_listener).await;
    Ok(())
}

/// Serves metrics. If their address cannot be listened on, the error is only logged:
/// serving clients matters more than metrics.
async fn serve_metrics(state: &Rc<TrafficState>) {
    let Some(address) = state.settings.metrics_address else {
        return;
    };
    match http_server::listen(address).await {
        Ok(listener) => {
            let metrics_state = Rc::clone(state);
            let handler =
                move |request: &Request<_>| metrics_state.metrics_page(request.uri().path());
            spawn_local(http_server::serve(listener, handler));
        }
        Err(error) => log::error!("{} {error}", events::METRICS_NOT_SERVED),
    }
}

/// Accepts connections until the instance leaves, then closes them once their requests
/// have ended or the shutdown timeout is reached.
async fn accept_until_leaving(
    state: &Rc<TrafficState>,
    listener: TcpListener,
    detour_listener: Option<TcpListener>,
) {
    let (open_connections, mut all_closed) = mpsc::channel::<()>(1);
    let (close, closing) = watch::channel(false);
    let mut leaving = state.leaving.clone();
    let notice_period = async {
        // The sender is part of the shared state and lives as long as the process.
        let _ = leaving.wait_for(|leaving| *leaving).await;
        let shutdown = Shutdown::new(state.clock.now(), state.settings.leave_timeout);
        state.shutdown.send_replace(Some(shutdown));
        sleep(LEAVE_NOTICE_TIME).await;
    };
    tokio::select! {
        () = notice_period => {}
        () = accept_connections(state, &listener, Origin::Client, &open_connections, &closing) => {}
        () = accept_peers(state, detour_listener.as_ref(), &open_connections, &closing) => {}
    }
    // Accept connections that the kernel has already established: closing the listener
    // would reset them, along with requests on their way.
    while let Ok(Ok((stream, _))) = timeout(Duration::ZERO, listener.accept()).await {
        spawn_connection(state, stream, Origin::Client, &open_connections, &closing);
    }
    drop(listener);
    drop(detour_listener);
    drop(open_connections);
    close.send_replace(true);
    let shutdown = *state.shutdown.borrow();
    let now = state.clock.now();
    let remaining = shutdown.map_or(Duration::ZERO, |shutdown| shutdown.abort_at() - now);
    if timeout(remaining, all_closed.recv()).await.is_err() {
        log::warn!(
            "{} shutdown timeout reached: open requests were aborted",
            events::STOPPED
        );
    }
}

/// Accepts connections of other instances, if there is a listener for them.
async fn accept_peers(
    state: &Rc<TrafficState>,
    listener: Option<&TcpListener>,
    open_connections: &mpsc::Sender<()>,
    closing: &watch::Receiver<bool>,
) {
    match listener {
        Some(listener) => {
            accept_connections(state, listener, Origin::Peer, open_connections, closing).await;
        }
        None => pending().await,
    }
}

/// Accepts connections and serves each in a task of its own.
async fn accept_connections(
    state: &Rc<TrafficState>,
    listener: &TcpListener,
    origin: Origin,
    open_connections: &mpsc::Sender<()>,
    closing: &watch::Receiver<bool>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => spawn_connection(state, stream, origin, open_connections, closing),
            Err(error) => {
                log::warn!("{} {error}", events::ACCEPT_FAILED);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Starts the task that serves a connection.
fn spawn_connection(
    state: &Rc<TrafficState>,
    stream: TcpStream,
    origin: Origin,
    open_connections: &mpsc::Sender<()>,
    closing: &watch::Receiver<bool>,
) {
    let state = Rc::clone(state);
    spawn_local(serve_connection(
        state,
        stream,
        origin,
        open_connections.clone(),
        closing.clone(),
    ));
}

/// Serves a connection until it is closed. The shutdown waits until all clones of
/// `_open_connection` are dropped.
async fn serve_connection(
    state: Rc<TrafficState>,
    stream: TcpStream,
    origin: Origin,
    _open_connection: mpsc::Sender<()>,
    mut closing: watch::Receiver<bool>,
) {
    let limits = connection_limits(&state);
    let closing = closing.wait_for(|closing| *closing);
    connection::serve(stream, limits, closing, RequestHandler { state, origin }).await;
}

/// Handles the requests of client connections.
#[derive(Clone)]
struct RequestHandler {
    state: Rc<TrafficState>,
    origin: Origin,
}

impl connection::RequestHandler for RequestHandler {
    type Body = ResponseBody;

    async fn handle(self, head: Parts, body: Option<Incoming>) -> Response<ResponseBody> {
        handler::handle_request(self.state, self.origin, head, body).await
    }

    fn can_start_early(&self, head: &Parts) -> bool {
        handler::can_pipeline(&self.state, head)
    }

    fn max_head_bytes(&self) -> usize {
        let view = self.state.shared.view();
        view.map_or(Limits::default().max_head_bytes, |view| {
            view.config.limits.max_header_bytes
        })
    }
}

/// Limits of a client connection, by the configuration in force when the connection is
/// accepted. The limit on the size of a request head is read again for each request.
fn connection_limits(state: &TrafficState) -> Limits {
    let mut limits = Limits::default();
    if let Some(view) = state.shared.view() {
        let config = view.config.limits;
        limits.max_head_bytes = config.max_header_bytes;
        limits.max_body_bytes = config.max_body_bytes;
        limits.head_timeout = config.header_timeout;
        limits.idle_timeout = config.idle_timeout * IDLE_TIMEOUT_FACTOR;
    }
    limits
}
