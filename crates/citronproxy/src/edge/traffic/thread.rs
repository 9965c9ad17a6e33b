//! The thread's state, its listener, and its end.

use {
    super::{concurrency::Paces, handler, idle_limits::Idles, readiness, response::AnswerBody},
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
const NOTICED: Duration = Duration::from_millis(2_700);
/// Part of the time to leave that is kept for the end of the process: a tenth of a
/// core needs some hundred milliseconds to close what is open, and to notice the time.
/// A process that is not gone by then is killed, and its last answers with it.
const LEAVE_MARGIN: u32 = 8;
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// A caller's connection without a request is kept for longer than callers are
/// told, so that none is closed while a request crosses.
const IDLE_FACTOR: u32 = 3;
/// Part of the allowance for retries that is used: instances count for
/// themselves, and callers are spread unevenly.
const BUDGET_PART: f64 = 0.8;

/// State of the traffic thread.
#[derive(Debug)]
pub struct Front {
    /// What is shared with control.
    pub board: Arc<SharedState>,
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
    pub room: Rc<Notify>,
    /// Whether the instance leaves.
    pub leaving: watch::Receiver<bool>,
    /// Limits at services whose servers share the work.
    pub paces: Rc<Paces>,
    /// How long idle connections are trusted.
    pub idles: Rc<Idles>,
    /// What cold servers get from this instance.
    pub cold: RefCell<SlowStartLimiter>,
    /// How long owners may get requests that leave or are evacuated.
    pub bounds: SendBounds,
    /// Requests counted since the metrics were last read.
    pub counts: RefCell<LocalMetrics>,
    metrics: Metrics,
    budgets: RefCell<BTreeMap<ServiceName, RetryBudget>>,
}

/// What the platform calls things that traffic deals with.
#[derive(Debug)]
pub struct Names {
    /// Headers of callers and servers.
    pub headers: HeaderNames,
    /// The path that balancers ask for.
    pub ready: String,
}

impl Front {
    fn metrics_page(&self, path: &str) -> HttpResponse {
        if path != METRICS_PATH {
            return response(StatusCode::NOT_FOUND, "");
        }
        self.counts.borrow_mut().flush();
        self.metrics.set_lost_lines(logs::lost_lines());
        response(StatusCode::OK, self.metrics.to_text())
    }

    /// How old what requests are decided by is.
    pub fn ages(&self) -> TableAges {
        self.board.freshness().ages(self.clock.now())
    }

    /// Why the configuration that a request was decided by may be out of date; `None`
    /// for a version if that does not matter.
    pub fn doubt(&self, decided_by: Option<ConfigVersion>) -> Option<StaleReason> {
        let standing = self.board.freshness().config_standing(self.clock.now());
        if let Some(doubt) = standing.stale_reason(&FreshnessTimes::STANDARD) {
            return Some(doubt);
        }
        // Read last: the standing describes a view that is published before it.
        let in_force = self.board.view()?.config.version;
        let replaced = decided_by.is_some_and(|version| version < in_force);
        replaced.then_some(StaleReason::Lagging)
    }

    /// The id of a request, for logs; `-` if it has none.
    pub fn id<'a>(&self, head: &'a Parts) -> &'a str {
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
        let instances = self.board.view().map_or(1, |view| view.instance_count);
        let retries = self.settings.retry_budget;
        let burst = (retries.extra * BUDGET_PART / instances as f64).max(1.0);
        let share = retries.ratio * BUDGET_PART;
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
    board: Arc<SharedState>,
    settings: EdgeSettings,
    clock: Clock,
    names: Names,
    metrics: Metrics,
) -> Result<(), EdgeError> {
    let listener = http_server::listen(settings.traffic_address).await?;
    let balancers = http_server::listen(settings.ready_address).await?;
    let shared = Arc::clone(&board);
    let is_ready =
        move |request: &Request<_>| readiness::answer(&shared, &names.ready, request.uri().path());
    spawn_local(http_server::serve(balancers, is_ready));
    let front = Rc::new(Front {
        bounds: SendBounds::from_limits(settings.drain_period, settings.evacuation_period),
        leaving: board.subscribe_leaving(),
        board,
        settings,
        clock,
        started: clock.now(),
        headers: names.headers,
        pool: Pool::new(clock),
        room: Rc::default(),
        paces: Rc::default(),
        idles: Rc::default(),
        cold: RefCell::default(),
        counts: RefCell::new(metrics.local()),
        metrics,
        budgets: RefCell::default(),
    });
    serve_metrics(&front).await;
    log::info!("{} at {}", events::STARTED, front.settings.traffic_address);
    serve(&front, listener).await;
    Ok(())
}

/// Callers matter more than counts: without the address for metrics the instance
/// runs on.
async fn serve_metrics(front: &Rc<Front>) {
    let Some(address) = front.settings.metrics_address else {
        return;
    };
    match http_server::listen(address).await {
        Ok(listener) => {
            let counted = Rc::clone(front);
            let answer = move |request: &Request<_>| counted.metrics_page(request.uri().path());
            spawn_local(http_server::serve(listener, answer));
        }
        Err(error) => log::error!("{} {error}", events::METRICS_NOT_SERVED),
    }
}

async fn serve(front: &Rc<Front>, listener: TcpListener) {
    let (open, mut last) = mpsc::channel::<()>(1);
    let (close, closing) = watch::channel(false);
    let mut leaving = front.leaving.clone();
    let noticed = async {
        // The sender lives in the board, as long as the process.
        let _ = leaving.wait_for(|leaving| *leaving).await;
        sleep(NOTICED).await;
    };
    tokio::select! {
        () = noticed => {}
        () = accept(front, &listener, &open, &closing) => {}
    }
    // Connections that the kernel has completed already: closing the listener
    // would reset them, and requests that are on their way.
    while let Ok(Ok((stream, _))) = timeout(Duration::ZERO, listener.accept()).await {
        start(front, stream, &open, &closing);
    }
    drop(listener);
    drop(open);
    close.send_replace(true);
    let leave = front.settings.leave_timeout;
    let left = leave.saturating_sub(NOTICED + leave / LEAVE_MARGIN);
    if timeout(left, last.recv()).await.is_err() {
        log::warn!(
            "{} requests are cut off at the end of the time to leave",
            events::STOPPED
        );
    }
}

async fn accept(
    front: &Rc<Front>,
    listener: &TcpListener,
    open: &mpsc::Sender<()>,
    closing: &watch::Receiver<bool>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => start(front, stream, open, closing),
            Err(error) => {
                log::warn!("{} {error}", events::ACCEPT_FAILED);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

fn start(
    front: &Rc<Front>,
    stream: TcpStream,
    open: &mpsc::Sender<()>,
    closing: &watch::Receiver<bool>,
) {
    let front = Rc::clone(front);
    spawn_local(serve_caller(front, stream, open.clone(), closing.clone()));
}

async fn serve_caller(
    front: Rc<Front>,
    stream: TcpStream,
    _open: mpsc::Sender<()>,
    mut closing: watch::Receiver<bool>,
) {
    let limits = limits(&front);
    let closing = closing.wait_for(|closing| *closing);
    connection::serve(stream, limits, closing, Answers(front)).await;
}

/// Answers callers.
#[derive(Clone)]
struct Answers(Rc<Front>);

impl connection::RequestHandler for Answers {
    type Body = AnswerBody;

    async fn handle(self, head: Parts, body: Option<Incoming>) -> Response<AnswerBody> {
        handler::serve(self.0, head, body).await
    }

    fn can_start_early(&self, head: &Parts) -> bool {
        handler::may_begin(&self.0, head)
    }

    fn max_head_bytes(&self) -> usize {
        let view = self.0.board.view();
        view.map_or(Limits::default().max_head_bytes, |view| {
            view.config.limits.max_header_bytes
        })
    }
}

/// What a caller may take up, by the configuration at its connection's begin. How
/// large a head may be is asked again for each.
fn limits(front: &Front) -> Limits {
    let mut limits = Limits::default();
    if let Some(view) = front.board.view() {
        let set = view.config.limits;
        limits.max_head_bytes = set.max_header_bytes;
        limits.max_body_bytes = set.max_body_bytes;
        limits.head_timeout = set.header_timeout;
        limits.idle_timeout = set.idle_timeout * IDLE_FACTOR;
    }
    limits
}
