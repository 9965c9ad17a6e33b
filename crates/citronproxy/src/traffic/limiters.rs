//! Concurrency and rate limits of backend servers as enforced by one traffic thread.

use {
    crate::clock::Clock,
    citron_core::{
        admission::{
            Admission, AdmissionConfig, AdmissionController, Demand, QueueDecision, Rate,
            ReleaseReason, ServerQuota, SlotShare, Ticket, even_share,
        },
        id::ServerName,
        routing::FailureReason,
        table::ServerRow,
        time::Time,
    },
    rustc_hash::FxHashMap,
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
        rc::{Rc, Weak},
        sync::Arc,
        time::Duration,
    },
    tokio::{
        sync::{Notify, oneshot},
        task::spawn_local,
        time::sleep,
    },
};

/// Minimum share of a thread in slots for a server without a quota, as while other
/// instances are unknown: waiting for a fraction of a slot would leave slots idle.
const MIN_SHARE_SLOTS: f64 = 1.0;

/// Denial of a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Denied {
    /// Reason for the denial.
    pub reason: FailureReason,
    /// Expected wait, after which the client may retry.
    pub wait: Duration,
}

/// Admission controller of one server, with the requests that wait for it.
#[derive(Debug)]
struct ServerLimiter {
    controller: RefCell<AdmissionController>,
    waiters: RefCell<FxHashMap<Ticket, oneshot::Sender<Result<Slot, Denied>>>>,
    /// Quota that the controller was last set to.
    quota: Cell<Option<ServerQuota>>,
    wake: Notify,
    clock: Clock,
}

/// Limiters of one thread by server.
#[derive(Debug)]
pub struct ServerLimiters {
    limiters: RefCell<FxHashMap<ServerName, Rc<ServerLimiter>>>,
    last_ticket: Cell<u64>,
    quotas: RefCell<Arc<Quotas>>,
    clock: Clock,
}

/// Quotas of this instance, over all its threads.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Quotas {
    /// Quotas by server; a server without one is not shared with other instances.
    pub servers: BTreeMap<ServerName, ServerQuota>,
    /// Number of threads that share the quotas.
    pub threads: usize,
}

impl ServerLimiters {
    /// Creates an empty set of limiters.
    pub fn new(clock: Clock) -> Self {
        Self {
            limiters: RefCell::default(),
            last_ticket: Cell::new(0),
            quotas: RefCell::default(),
            clock,
        }
    }

    /// Replaces the quotas of all servers.
    pub fn set_quotas(&self, quotas: Arc<Quotas>) {
        self.quotas.replace(quotas);
    }

    /// Takes the recent request rates by server and resets them.
    pub fn take_demand(&self) -> Vec<(ServerName, Demand)> {
        let now = self.clock.now();
        let limiters = self.limiters.borrow();
        let demand = |(name, limiter): (&ServerName, &Rc<ServerLimiter>)| {
            (name.clone(), limiter.controller.borrow_mut().demand(now))
        };
        limiters.iter().map(demand).collect()
    }

    /// Waits for a slot of a server.
    ///
    /// # Errors
    /// [`Denied`], immediately, if the wait would be too long.
    pub async fn acquire(&self, row: &ServerRow, deadline: Time) -> Result<Slot, Denied> {
        let limiter = self.limiter(row);
        let ticket = self.next_ticket();
        let now = self.clock.now();
        let admission = limiter.controller.borrow_mut().admit(ticket, deadline, now);
        match admission {
            Admission::Start => Ok(Slot::new(limiter)),
            Admission::Shed { reason, wait } => Err(Denied { reason, wait }),
            Admission::Queued => limiter.wait(ticket, deadline).await,
        }
    }

    fn next_ticket(&self) -> Ticket {
        let next = self.last_ticket.get() + 1;
        self.last_ticket.set(next);
        Ticket(next)
    }

    fn limiter(&self, row: &ServerRow) -> Rc<ServerLimiter> {
        let quota = self.thread_quota(row);
        let mut limiters = self.limiters.borrow_mut();
        if let Some(limiter) = limiters.get(&row.name) {
            limiter.set_quota(quota);
            return Rc::clone(limiter);
        }
        let now = self.clock.now();
        let limiter = Rc::new(ServerLimiter {
            controller: RefCell::new(AdmissionController::new(
                AdmissionConfig::STANDARD,
                quota.share,
                now,
            )),
            waiters: RefCell::default(),
            quota: Cell::new(None),
            wake: Notify::new(),
            clock: self.clock,
        });
        limiter.set_quota(quota);
        spawn_local(dispatch_loop(Rc::downgrade(&limiter)));
        limiters.insert(row.name.clone(), Rc::clone(&limiter));
        limiter
    }

    /// This thread's quota of a server.
    fn thread_quota(&self, row: &ServerRow) -> ServerQuota {
        let quotas = self.quotas.borrow();
        let threads = quotas.threads.max(1);
        let cap = |cap: Rate| Rate(cap.0 / threads as f64);
        match quotas.servers.get(&row.name) {
            Some(quota) => ServerQuota {
                share: SlotShare::new(quota.share.slots() / threads as f64),
                cap: quota.cap.map(cap),
            },
            None => ServerQuota {
                share: SlotShare::new(even_share(row.slots, threads).slots().max(MIN_SHARE_SLOTS)),
                cap: row.rate_cap.map(|rate| cap(Rate(f64::from(rate)))),
            },
        }
    }
}

impl ServerLimiter {
    /// Applies a quota to the controller if it changed.
    fn set_quota(&self, quota: ServerQuota) {
        if self.quota.replace(Some(quota)) == Some(quota) {
            return;
        }
        let now = self.clock.now();
        let mut controller = self.controller.borrow_mut();
        controller.set_share(quota.share, now);
        controller.set_cap(quota.cap, now);
    }

    async fn wait(self: Rc<Self>, ticket: Ticket, deadline: Time) -> Result<Slot, Denied> {
        let (sender, receiver) = oneshot::channel();
        self.waiters.borrow_mut().insert(ticket, sender);
        let _queued = QueueGuard {
            limiter: &self,
            ticket,
            deadline,
        };
        self.wake.notify_one();
        let wait = Duration::ZERO;
        let reason = FailureReason::Overloaded;
        receiver.await.unwrap_or(Err(Denied { reason, wait }))
    }

    /// Starts or sheds queued requests as long as the controller decides on one.
    fn dispatch_ready(self: &Rc<Self>) {
        loop {
            let now = self.clock.now();
            let decision = self.controller.borrow_mut().next(now);
            let (ticket, admission) = match decision {
                None => return,
                Some(QueueDecision::Start(ticket)) => (ticket, Ok(Slot::new(Rc::clone(self)))),
                Some(QueueDecision::Shed { ticket, wait }) => {
                    let reason = FailureReason::Overloaded;
                    (ticket, Err(Denied { reason, wait }))
                }
            };
            // A slot whose request no longer waits is released when it is dropped.
            let waiter = self.waiters.borrow_mut().remove(&ticket);
            let _ = waiter.map(|waiter| waiter.send(admission));
        }
    }

    fn release(&self, release: ReleaseReason, held: Duration) {
        let now = self.clock.now();
        self.controller.borrow_mut().end(release, held, now);
    }
}

/// Dispatches queued requests when a slot is released and when the controller may decide
/// by time alone.
async fn dispatch_loop(limiter: Weak<ServerLimiter>) {
    while let Some(limiter) = limiter.upgrade() {
        limiter.dispatch_ready();
        let now = limiter.clock.now();
        let ready_at = limiter.controller.borrow().ready_at(now);
        match ready_at {
            None => limiter.wake.notified().await,
            Some(ready_at) => tokio::select! {
                () = limiter.wake.notified() => {}
                () = sleep(ready_at - now) => {}
            },
        }
    }
}

/// Removes a waiting request from the queue when its client disconnects.
struct QueueGuard<'a> {
    limiter: &'a ServerLimiter,
    ticket: Ticket,
    deadline: Time,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let waiter = self.limiter.waiters.borrow_mut().remove(&self.ticket);
        if waiter.is_some() {
            let mut controller = self.limiter.controller.borrow_mut();
            controller.cancel(self.ticket, self.deadline);
        }
    }
}

/// Slot of a server, released when dropped.
#[derive(Debug)]
pub struct Slot {
    limiter: Rc<ServerLimiter>,
    acquired_at: Time,
    release: ReleaseReason,
}

impl Slot {
    fn new(limiter: Rc<ServerLimiter>) -> Self {
        Self {
            acquired_at: limiter.clock.now(),
            limiter,
            release: ReleaseReason::Other,
        }
    }

    /// Sets the reason with which the slot is released.
    pub fn set_release(&mut self, release: ReleaseReason) {
        self.release = release;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let held = self.limiter.clock.now() - self.acquired_at;
        self.limiter.release(self.release, held);
        self.limiter.wake.notify_one();
    }
}
