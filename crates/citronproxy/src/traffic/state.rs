//! State that the requests of one traffic thread share.

use {
    super::{
        buffer_budget::BufferBudget,
        crash_log::CrashLog,
        handle::TrafficHandle,
        in_flight::InFlightTable,
        limiters::ServerLimiters,
        limits::Limits,
        metrics::LocalMetrics,
        pool::Pool,
        request_body::{BufferLimits, REPLAY_MAX_BYTES},
    },
    crate::clock::Clock,
    citron_core::{
        admission::OperatorLimiter,
        id::ServiceName,
        routing::{BudgetConfig, HedgeDelay, RetryPolicy},
    },
    rustc_hash::FxHashMap,
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
};

/// Memory for the copies of all request bodies of a thread, in bytes.
const BUFFER_BYTES: usize = 64 * 1_024 * 1_024;

/// State of one traffic thread, not accessed by other threads.
#[derive(Debug)]
pub struct ThreadState {
    /// Snapshots and the lifecycle phase.
    pub handle: TrafficHandle,
    /// Requests that a server may be running.
    pub in_flight: Rc<RefCell<InFlightTable>>,
    /// Concurrency and rate limits of the backend servers.
    pub limiters: ServerLimiters,
    /// Metrics of this thread.
    pub metrics: RefCell<LocalMetrics>,
    /// Requests that crashed servers.
    pub crash_log: CrashLog,
    /// Limit of requests in progress by operator.
    pub operator_limiter: RefCell<OperatorLimiter>,
    /// Idle connections.
    pub pool: Pool,
    /// Clock of the instance.
    pub clock: Clock,
    /// Limits for clients and their requests.
    pub limits: Limits,
    /// Limits of the copies of request bodies.
    pub buffers: BufferLimits,
    /// Number of requests that wait for a route.
    pub waiting: Cell<usize>,
    retries: RefCell<FxHashMap<ServiceName, RetryPolicy>>,
    hedges: RefCell<FxHashMap<SocketAddr, HedgeDelay>>,
    seed: u64,
}

impl ThreadState {
    /// Creates the state of a thread; `seed` is for the jitter of retries.
    pub fn new(handle: TrafficHandle, clock: Clock, limits: Limits, seed: u64) -> Rc<Self> {
        Rc::new(Self {
            in_flight: Rc::new(RefCell::new(InFlightTable::new(clock))),
            limiters: ServerLimiters::new(clock),
            metrics: RefCell::new(handle.shared_metrics().local()),
            crash_log: CrashLog::new(clock),
            handle,
            operator_limiter: RefCell::new(OperatorLimiter::new(limits.max_in_progress)),
            pool: Pool::new(clock),
            clock,
            limits,
            buffers: BufferLimits {
                per_body: REPLAY_MAX_BYTES,
                budget: Rc::new(BufferBudget::new(BUFFER_BYTES)),
            },
            waiting: Cell::new(0),
            retries: RefCell::default(),
            hedges: RefCell::default(),
            seed,
        })
    }

    /// Runs `act` with the service's retry budget and backoff.
    pub fn with_retries<T>(
        &self,
        service: &ServiceName,
        act: impl FnOnce(&mut RetryPolicy) -> T,
    ) -> T {
        let mut retries = self.retries.borrow_mut();
        if !retries.contains_key(service) {
            let fresh = RetryPolicy::new(BudgetConfig::STANDARD, self.seed);
            retries.insert(service.clone(), fresh);
        }
        let retries = retries.get_mut(service);
        act(retries.expect("inserted above"))
    }

    /// Delay between the write of a request to a server and its hedge, once enough
    /// latencies are known.
    pub fn hedge_delay(&self, address: SocketAddr) -> Option<Duration> {
        self.hedges.borrow().get(&address)?.delay()
    }

    /// Records the latency of a response, from the write to its head.
    pub fn observe_latency(&self, address: SocketAddr, latency: Duration) {
        let mut hedges = self.hedges.borrow_mut();
        hedges.entry(address).or_default().observe(latency);
    }
}
