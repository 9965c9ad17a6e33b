//! The thread's state, its listener, and its end.

use {
    super::{
        concurrency::ConcurrencyLimits, handler, idle_limits::IdleLimits, readiness,
        response::ResponseBody,
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
            Limits, connection,
            metrics::{LocalMetrics, Metrics},
            pool::Pool,
        },
    },
    citron_core::{
        freshness::{FreshnessTimes, StaleReason},
        id::ServiceName,
        registry::SendBounds,
        routes::ConfigVersion,
        routing::{BudgetConfig, RetryBudget},
        slowstart::SlowStartLimiter,
        time::Time,
    },
    citron_ports::HeaderNames,
    http::{Request, Response, StatusCode, request::Parts},
    hyper::body::Incoming,
    std::{cell::RefCell, collections::BTreeMap, rc::Rc, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{Notify, mpsc, watch},
        task::spawn_local,
        time::{sleep, timeout},
    },
};

/// Where metrics are read.
const METRICS_PATH: &str = "/metrics";
/// How long a leaving instance takes new connections: balancers ask once a
/// second and go by two answers in a row.
const LEAVE_NOTICE_TIME: Duration = Duration::from_millis(2_700);
/// Part of the time to leave that is kept for the end of the process: a tenth of a
/// core needs some hundred milliseconds to close what is open, and to notice the time.
/// A process that is not gone by then is killed, and its last answers with it.
const LEAVE_MARGIN_DIVISOR: u32 = 8;
/// Pause after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// A caller's connection without a request is kept for longer than callers are
/// told, so that none is closed while a request crosses.
const IDLE_TIMEOUT_FACTOR: u32 = 3;
/// Part of the allowance for retries that is used: instances count for
/// themselves, and callers are spread unevenly.
const BUDGET_SHARE: f64 = 0.8;

/// State of the traffic thread.
#[derive(Debug)]
pub struct TrafficState {
    /// What is shared with control.
    pub shared: Arc<SharedState>,
    /// The settings.
    pub settings: EdgeSettings,
    /// The clock.
    pub clock: Clock,
    /// When the thread was started.
    pub started: Time,
    /// Headers of callers and servers.
    pub headers: HeaderNames,
    /// Connections to servers.
    pub pool: Pool,
    /// Told whenever a request ends.
    pub capacity_freed: Rc<Notify>,
    /// Whether the instance leaves.
    pub leaving: watch::Receiver<bool>,
    /// Limits at services whose servers share the work.
    pub concurrency_limits: Rc<ConcurrencyLimits>,
    /// How long idle connections are trusted.
    pub idle_limits: Rc<IdleLimits>,
    /// What cold servers get from this instance.
    pub cold_limiter: RefCell<SlowStartLimiter>,
    /// How long owners may get requests that leave or are evacuated.
    pub send_bounds: SendBounds,
    /// Requests counted since the metrics were last read.
    pub local_metrics: RefCell<LocalMetrics>,
    metrics: Metrics,
    budgets: RefCell<BTreeMap<ServiceName, RetryBudget>>,
}

/// What the platform calls things that traffic deals with.
#[derive(Debug)]
pub struct PlatformNames {
    /// Headers of callers and servers.
    pub headers: HeaderNames,
    /// The path that balancers ask for.
    pub readiness_path: String,
}

impl TrafficState {
    fn metrics_page(&self, path: &str) -> HttpResponse {
        if path != METRICS_PATH {
            return response(StatusCode::NOT_FOUND, "");
        }
        self.local_metrics.borrow_mut().flush();
        self.metrics.set_lost_lines(logs::lost_lines());
        response(StatusCode::OK, self.metrics.to_text())
    }

    /// How old what requests are decided by is.
    pub fn table_ages(&self) -> TableAges {
        self.shared.freshness().ages(self.clock.now())
    }

    /// Why the configuration that a request was decided by may be out of date; `None`
    /// for a version if that does not matter.
    pub fn config_stale_reason(&self, decided_by: Option<ConfigVersion>) -> Option<StaleReason> {
        let staleness = self.shared.freshness().config_standing(self.clock.now());
        if let Some(stale_reason) = staleness.stale_reason(&FreshnessTimes::STANDARD) {
            return Some(stale_reason);
        }
        // Read last: the standing describes a view that is published before it.
        let current_version = self.shared.view()?.config.version;
        let is_replaced = decided_by.is_some_and(|version| version < current_version);
        is_replaced.then_some(StaleReason::Lagging)
    }

    /// The id of a request, for logs; `-` if it has none.
    pub fn request_id<'a>(&self, head: &'a Parts) -> &'a str {
        let id = head.headers.get(&self.headers.request_id);
        id.and_then(|id| id.to_str().ok()).unwrap_or("-")
    }

    /// Counts a request for the retry budget of its service.
    pub fn count_request(&self, service: &ServiceName) {
        self.with_budget(service, RetryBudget::deposit);
    }

    /// Takes a retry from the budget.
    pub fn take_retry(&self, service: &ServiceName) -> bool {
        self.with_budget(service, RetryBudget::take)
    }

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

/// Serves callers until the instance has left.
///
/// # Errors
/// If an address cannot be listened on.
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
        concurrency_limits: Rc::default(),
        idle_limits: Rc::default(),
        cold_limiter: RefCell::default(),
        local_metrics: RefCell::new(metrics.local()),
        metrics,
        budgets: RefCell::default(),
    });
    serve_metrics(&state).await;
    log::info!("{} at {}", events::STARTED, state.settings.traffic_address);
    accept_until_leaving(&state, listener).await;
    Ok(())
}

/// Callers matter more than counts: without the address for metrics the instance
/// runs on.
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

async fn accept_until_leaving(state: &Rc<TrafficState>, listener: TcpListener) {
    let (open_connections, mut all_closed) = mpsc::channel::<()>(1);
    let (close, closing) = watch::channel(false);
    let mut leaving = state.leaving.clone();
    let notice_period = async {
        // The sender lives in the board, as long as the process.
        let _ = leaving.wait_for(|leaving| *leaving).await;
        sleep(LEAVE_NOTICE_TIME).await;
    };
    tokio::select! {
        () = notice_period => {}
        () = accept_connections(state, &listener, &open_connections, &closing) => {}
    }
    // Connections that the kernel has completed already: closing the listener
    // would reset them, and requests that are on their way.
    while let Ok(Ok((stream, _))) = timeout(Duration::ZERO, listener.accept()).await {
        spawn_connection(state, stream, &open_connections, &closing);
    }
    drop(listener);
    drop(open_connections);
    close.send_replace(true);
    let leave_timeout = state.settings.leave_timeout;
    let remaining =
        leave_timeout.saturating_sub(LEAVE_NOTICE_TIME + leave_timeout / LEAVE_MARGIN_DIVISOR);
    if timeout(remaining, all_closed.recv()).await.is_err() {
        log::warn!(
            "{} requests are cut off at the end of the time to leave",
            events::STOPPED
        );
    }
}

async fn accept_connections(
    state: &Rc<TrafficState>,
    listener: &TcpListener,
    open_connections: &mpsc::Sender<()>,
    closing: &watch::Receiver<bool>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => spawn_connection(state, stream, open_connections, closing),
            Err(error) => {
                log::warn!("{} {error}", events::ACCEPT_FAILED);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

fn spawn_connection(
    state: &Rc<TrafficState>,
    stream: TcpStream,
    open_connections: &mpsc::Sender<()>,
    closing: &watch::Receiver<bool>,
) {
    let state = Rc::clone(state);
    spawn_local(serve_connection(
        state,
        stream,
        open_connections.clone(),
        closing.clone(),
    ));
}

async fn serve_connection(
    state: Rc<TrafficState>,
    stream: TcpStream,
    _open_connection: mpsc::Sender<()>,
    mut closing: watch::Receiver<bool>,
) {
    let limits = connection_limits(&state);
    let closing = closing.wait_for(|closing| *closing);
    connection::serve(stream, limits, closing, RequestHandler(state)).await;
}

/// Answers callers.
#[derive(Clone)]
struct RequestHandler(Rc<TrafficState>);

impl connection::RequestHandler for RequestHandler {
    type Body = ResponseBody;

    async fn handle(self, head: Parts, body: Option<Incoming>) -> Response<ResponseBody> {
        handler::handle_request(self.0, head, body).await
    }

    fn can_start_early(&self, head: &Parts) -> bool {
        handler::can_pipeline(&self.0, head)
    }

    fn max_head_bytes(&self) -> usize {
        let view = self.0.shared.view();
        view.map_or(Limits::default().max_head_bytes, |view| {
            view.config.limits.max_header_bytes
        })
    }
}

/// What a caller may take up, by the configuration at its connection's begin. How
/// large a head may be is asked again for each.
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
