//! States of the model.

use {
    super::{
        actors::{DelayedOrder, Driver, Process, Request, Server, first_contact, server_time},
        setup::{DURATIONS, START_TICK, Setup, time},
        tables::{CommitId, TableId},
    },
    citron_core::{
        id::{Epoch, Revision},
        membership::RoutingLease,
        ownership::{BootId, GrantKind, GrantOrder, GrantReply, ProtocolRules},
        time::Time,
    },
    std::hash::{Hash, Hasher},
};

/// A violated invariant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Violation {
    /// A request ran at an owner after a request had run at a later owner.
    TwoOwners,
    /// A move that was reported as done is not in the table.
    MoveLost,
    /// Two owners were committed under one epoch, or an epoch decreased.
    EpochReused,
}

/// Numbers of events that may still happen in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RunLimits {
    pub moves: u8,
    pub missed_ticks: u8,
    pub restarts: u8,
    pub delayed_requests: u8,
    pub orders: u8,
    pub delayed_reads: u8,
}

/// One state. Actors 0 to 2 are processes, 3 and 4 servers, the others drivers; each
/// clock has its own number of missed ticks.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State<R: ProtocolRules> {
    pub now: u8,
    pub table: TableId,
    pub processes: Vec<Process<R>>,
    pub servers: [Server; 2],
    pub drivers: Vec<Driver<R>>,
    pub pending_begin: Option<CommitId>,
    pub delayed_request: Option<Request>,
    pub delayed_order: Option<DelayedOrder>,
    pub clock_lag: [u8; 7],
    /// Epoch and server of the last request that ran.
    pub last_run: (Epoch, usize),
    /// Epoch and server of the last owner committed.
    pub last_owner: (Epoch, usize),
    /// Epoch and target of the last move reported as done.
    pub last_done: (Epoch, usize),
    pub remaining: RunLimits,
    pub violation: Option<Violation>,
}

impl<R: ProtocolRules> State<R> {
    /// The initial state: all listed instances have just read the table, and the first
    /// owner has its grant.
    pub fn initial(setup: &Setup) -> Self {
        let mut processes: Vec<_> = (0..setup.instances)
            .map(|n| initial_process(setup, n))
            .collect();
        if setup.has_unlisted {
            processes.push(Process::new(1, 2));
        }
        Self {
            now: START_TICK,
            table: TableId(0),
            processes,
            servers: [initial_owner(), Server::new(1)],
            drivers: (0..setup.movers).map(|_| Driver::new()).collect(),
            pending_begin: None,
            delayed_request: None,
            delayed_order: None,
            clock_lag: [0; 7],
            last_run: (Epoch(0), 0),
            last_owner: (Epoch(1), 0),
            last_done: (Epoch(0), 0),
            remaining: RunLimits {
                moves: setup.moves,
                missed_ticks: setup.missed_ticks,
                restarts: setup.restarts,
                delayed_requests: setup.delayed_requests,
                orders: setup.orders,
                delayed_reads: setup.delayed_reads,
            },
            violation: None,
        }
    }

    /// Time on an actor's own clock.
    pub fn clock(&self, actor: usize) -> Time {
        time(self.now - self.clock_lag[actor])
    }
}

fn initial_owner() -> Server {
    Server {
        lease_end: server_time(START_TICK) + DURATIONS.server,
        last_grant: Some((Epoch(1), GrantKind::Own)),
        ..Server::new(1)
    }
}

fn initial_process<R: ProtocolRules>(setup: &Setup, number: usize) -> Process<R> {
    let mut process = Process::new(number, 1);
    process.table = Some(TableId(0));
    process.lease = RoutingLease::from_read(time(START_TICK), time(START_TICK), DURATIONS);
    if setup.is_fenced {
        process
            .granter
            .record_reply(&initial_order(), &initial_reply(), first_contact());
    }
    process
}

/// The order that brought the first owner up to date with the first table.
fn initial_order() -> GrantOrder {
    GrantOrder {
        boot: Some(BootId(1)),
        grants: Vec::new(),
        lease: None,
        revision: Revision(1),
    }
}

fn initial_reply() -> GrantReply {
    GrantReply {
        boot: BootId(1),
        clock: server_time(START_TICK - 1),
        results: Vec::new(),
    }
}

/// A state and the event that led to it; only the state is compared.
#[derive(Debug, Clone)]
pub struct SearchNode<R: ProtocolRules> {
    pub event: (&'static str, usize),
    pub state: State<R>,
}

impl<R: ProtocolRules> PartialEq for SearchNode<R> {
    fn eq(&self, other: &Self) -> bool {
        self.state == other.state
    }
}

impl<R: ProtocolRules> Eq for SearchNode<R> {}

impl<R: ProtocolRules> Hash for SearchNode<R> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.state.hash(state);
    }
}
