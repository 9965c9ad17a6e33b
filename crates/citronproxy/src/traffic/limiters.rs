//! The limits of backend servers, as one traffic thread keeps to them.

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

/// While nothing is known of other instances, every thread may hold a slot: a
/// wait for a fraction of one would leave slots idle.
const SHARE_LEAST: f64 = 1.0;

/// Why a request does not get a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Denied {
    /// Why.
    pub reason: FailureReason,
    /// When to come back.
    pub wait: Duration,
}

/// One server's gate, and the requests that wait at it.
#[derive(Debug)]
struct Server {
    gate: RefCell<AdmissionController>,
    waiters: RefCell<FxHashMap<Ticket, oneshot::Sender<Result<Slot, Denied>>>>,
    /// What the gate was last set to.
    part: Cell<Option<ServerQuota>>,
    pumped: Notify,
    clock: Clock,
}

/// The gates of one thread.
#[derive(Debug)]
pub struct Gates {
    servers: RefCell<FxHashMap<ServerName, Rc<Server>>>,
    tickets: Cell<u64>,
    parts: RefCell<Arc<Parts>>,
    clock: Clock,
}

/// What this instance may take of each server, all its threads together.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Parts {
    /// The parts; a server without one is not shared with other instances.
    pub parts: BTreeMap<ServerName, ServerQuota>,
    /// How many threads share them.
    pub threads: usize,
}

impl Gates {
    /// No gate yet.
    pub fn new(clock: Clock) -> Self {
        Self {
            servers: RefCell::default(),
            tickets: Cell::new(0),
            parts: RefCell::default(),
            clock,
        }
    }

    /// Replaces the parts of all servers.
    pub fn set_parts(&self, parts: Arc<Parts>) {
        self.parts.replace(parts);
    }

    /// The rates of late, by server; they begin anew.
    pub fn demand(&self) -> Vec<(ServerName, Demand)> {
        let now = self.clock.now();
        let servers = self.servers.borrow();
        let demand = |(name, server): (&ServerName, &Rc<Server>)| {
            (name.clone(), server.gate.borrow_mut().demand(now))
        };
        servers.iter().map(demand).collect()
    }

    /// Waits for a slot of a server.
    ///
    /// # Errors
    /// [`Denied`], at once, if the wait would last too long.
    pub async fn enter(&self, row: &ServerRow, deadline: Time) -> Result<Slot, Denied> {
        let server = self.server(row);
        let ticket = self.ticket();
        let now = self.clock.now();
        let admission = server.gate.borrow_mut().admit(ticket, deadline, now);
        match admission {
            Admission::Start => Ok(Slot::new(server)),
            Admission::Shed { reason, wait } => Err(Denied { reason, wait }),
            Admission::Queued => server.wait(ticket, deadline).await,
        }
    }

    fn ticket(&self) -> Ticket {
        let next = self.tickets.get() + 1;
        self.tickets.set(next);
        Ticket(next)
    }

    fn server(&self, row: &ServerRow) -> Rc<Server> {
        let part = self.part(row);
        let mut servers = self.servers.borrow_mut();
        if let Some(server) = servers.get(&row.name) {
            server.set(part);
            return Rc::clone(server);
        }
        let now = self.clock.now();
        let server = Rc::new(Server {
            gate: RefCell::new(AdmissionController::new(
                AdmissionConfig::STANDARD,
                part.share,
                now,
            )),
            waiters: RefCell::default(),
            part: Cell::new(None),
            pumped: Notify::new(),
            clock: self.clock,
        });
        server.set(part);
        spawn_local(pump(Rc::downgrade(&server)));
        servers.insert(row.name.clone(), Rc::clone(&server));
        server
    }

    /// This thread's part of a server.
    fn part(&self, row: &ServerRow) -> ServerQuota {
        let parts = self.parts.borrow();
        let threads = parts.threads.max(1);
        let cap = |cap: Rate| Rate(cap.0 / threads as f64);
        match parts.parts.get(&row.name) {
            Some(part) => ServerQuota {
                share: SlotShare::new(part.share.slots() / threads as f64),
                cap: part.cap.map(cap),
            },
            None => ServerQuota {
                share: SlotShare::new(even_share(row.slots, threads).slots().max(SHARE_LEAST)),
                cap: row.rate_cap.map(|rate| cap(Rate(f64::from(rate)))),
            },
        }
    }
}

impl Server {
    /// Follows the server's row and the part of this thread.
    fn set(&self, part: ServerQuota) {
        if self.part.replace(Some(part)) == Some(part) {
            return;
        }
        let now = self.clock.now();
        let mut gate = self.gate.borrow_mut();
        gate.set_share(part.share, now);
        gate.set_cap(part.cap, now);
    }

    async fn wait(self: Rc<Self>, ticket: Ticket, deadline: Time) -> Result<Slot, Denied> {
        let (turn, waiter) = oneshot::channel();
        self.waiters.borrow_mut().insert(ticket, turn);
        let _waiting = Waiting {
            server: &self,
            ticket,
            deadline,
        };
        self.pumped.notify_one();
        let wait = Duration::ZERO;
        let reason = FailureReason::Overloaded;
        waiter.await.unwrap_or(Err(Denied { reason, wait }))
    }

    /// Gives turns until the gate has none.
    fn turns(self: &Rc<Self>) {
        loop {
            let now = self.clock.now();
            let turn = self.gate.borrow_mut().next(now);
            let (ticket, answer) = match turn {
                None => return,
                Some(QueueDecision::Start(ticket)) => (ticket, Ok(Slot::new(Rc::clone(self)))),
                Some(QueueDecision::Shed { ticket, wait }) => {
                    let reason = FailureReason::Overloaded;
                    (ticket, Err(Denied { reason, wait }))
                }
            };
            // A slot that nobody takes any more is given back when it is dropped.
            let waiter = self.waiters.borrow_mut().remove(&ticket);
            let _ = waiter.map(|waiter| waiter.send(answer));
        }
    }

    fn end(&self, release: ReleaseReason, held: Duration) {
        let now = self.clock.now();
        self.gate.borrow_mut().end(release, held, now);
    }
}

/// Gives turns when a slot is freed and when the gate's time has come.
async fn pump(server: Weak<Server>) {
    while let Some(server) = server.upgrade() {
        server.turns();
        let now = server.clock.now();
        let wake = server.gate.borrow().ready_at(now);
        match wake {
            None => server.pumped.notified().await,
            Some(wake) => tokio::select! {
                () = server.pumped.notified() => {}
                () = sleep(wake - now) => {}
            },
        }
    }
}

/// A request that waits; it leaves the queue when its caller does.
struct Waiting<'a> {
    server: &'a Server,
    ticket: Ticket,
    deadline: Time,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let waiter = self.server.waiters.borrow_mut().remove(&self.ticket);
        if waiter.is_some() {
            let mut gate = self.server.gate.borrow_mut();
            gate.cancel(self.ticket, self.deadline);
        }
    }
}

/// A slot of a server; given back when dropped.
#[derive(Debug)]
pub struct Slot {
    server: Rc<Server>,
    begun: Time,
    release: ReleaseReason,
}

impl Slot {
    fn new(server: Rc<Server>) -> Self {
        Self {
            begun: server.clock.now(),
            server,
            release: ReleaseReason::Other,
        }
    }

    /// Notes how the request ended.
    pub fn note(&mut self, release: ReleaseReason) {
        self.release = release;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let held = self.server.clock.now() - self.begun;
        self.server.end(self.release, held);
        self.server.pumped.notify_one();
    }
}
