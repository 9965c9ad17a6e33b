//! What the requests of one traffic thread share.

use {
    super::{
        crash_log::Crashes, handle::TrafficHandle, in_flight::Flights, limiters::Gates,
        limits::Limits, metrics::LocalMetrics, pool::Pool,
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

/// State of one thread; no other thread sees it.
#[derive(Debug)]
pub struct State {
    /// Snapshots and the phase.
    pub handle: TrafficHandle,
    /// Requests that a server may be running.
    pub flights: Rc<RefCell<Flights>>,
    /// The limits of backend servers.
    pub gates: Gates,
    /// Counts of this thread.
    pub metrics: RefCell<LocalMetrics>,
    /// Requests that crashed servers.
    pub crashes: Crashes,
    /// Room for requests in progress, by operator.
    pub room: RefCell<OperatorLimiter>,
    /// Idle connections.
    pub pool: Pool,
    /// The clock.
    pub clock: Clock,
    /// What callers may take up.
    pub limits: Limits,
    /// Requests that wait for a route.
    pub waiting: Cell<usize>,
    retries: RefCell<FxHashMap<ServiceName, RetryPolicy>>,
    hedges: RefCell<FxHashMap<SocketAddr, HedgeDelay>>,
    seed: u64,
}

impl State {
    /// The state of a thread that has just started; `seed` is for the jitter.
    pub fn new(handle: TrafficHandle, clock: Clock, limits: Limits, seed: u64) -> Rc<Self> {
        Rc::new(Self {
            flights: Rc::new(RefCell::new(Flights::new(clock))),
            gates: Gates::new(clock),
            metrics: RefCell::new(handle.shared_metrics().local()),
            crashes: Crashes::new(clock),
            handle,
            room: RefCell::new(OperatorLimiter::new(limits.room)),
            pool: Pool::new(clock),
            clock,
            limits,
            waiting: Cell::new(0),
            retries: RefCell::default(),
            hedges: RefCell::default(),
            seed,
        })
    }

    /// Lets `act` use the service's retry budget and backoff.
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

    /// When a hedge is due at a server, after the write.
    pub fn hedge_due(&self, address: SocketAddr) -> Option<Duration> {
        self.hedges.borrow().get(&address)?.delay()
    }

    /// Counts the latency of an answer.
    pub fn observe(&self, address: SocketAddr, latency: Duration) {
        let mut hedges = self.hedges.borrow_mut();
        hedges.entry(address).or_default().observe(latency);
    }
}
