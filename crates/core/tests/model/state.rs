//! All that the model knows at one moment.

use {
    super::{
        actors::{Driver, Late, Proc, Request, Server, before, clock},
        setup::{SPANS, START, Setup, time},
        tables::{TableId, WriteId},
    },
    citron_core::{
        id::{Epoch, Revision},
        membership::Confirmation,
        ownership::{Boot, GrantKind, GrantReply, Order, Rules},
        time::Time,
    },
    std::hash::{Hash, Hasher},
};

/// A broken promise.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Broken {
    /// A request ran at an owner after one had run at a later owner.
    TwoOwners,
    /// A move that was reported done is not in the table.
    DoneLost,
    /// Two owners were committed under one epoch, or an epoch went back.
    EpochReused,
}

/// What is left of the run's bounds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Left {
    pub moves: u8,
    pub slips: u8,
    pub boots: u8,
    pub held: u8,
    pub orders: u8,
    pub reads: u8,
}

/// One state. Parties 0 to 2 are processes, then 2 servers, then drivers; each
/// has its own count of ticks that its clock missed.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State<R: Rules> {
    pub now: u8,
    pub table: TableId,
    pub procs: Vec<Proc<R>>,
    pub servers: [Server; 2],
    pub drivers: Vec<Driver<R>>,
    pub begun: Option<WriteId>,
    pub request: Option<Request>,
    pub late: Option<Late>,
    pub missed: [u8; 7],
    /// The last epoch that a request ran under, and where.
    pub ran: (Epoch, usize),
    /// The highest owner that was committed.
    pub owned: (Epoch, usize),
    /// The last move that was reported done.
    pub done: (Epoch, usize),
    pub left: Left,
    pub broken: Option<Broken>,
}

impl<R: Rules> State<R> {
    /// Both instances have just read the table; servers are granted.
    pub fn first(setup: &Setup) -> Self {
        let mut procs: Vec<_> = (0..setup.instances).map(|n| first_proc(setup, n)).collect();
        if setup.twin {
            procs.push(Proc::new(1, 2));
        }
        Self {
            now: START,
            table: TableId(0),
            procs,
            servers: [first_owner(), Server::new(1)],
            drivers: (0..setup.movers).map(|_| Driver::new()).collect(),
            begun: None,
            request: None,
            late: None,
            missed: [0; 7],
            ran: (Epoch(0), 0),
            owned: (Epoch(1), 0),
            done: (Epoch(0), 0),
            left: Left {
                moves: setup.moves,
                slips: setup.slips,
                boots: setup.boots,
                held: setup.held,
                orders: setup.orders,
                reads: setup.reads,
            },
            broken: None,
        }
    }

    /// A party's own clock.
    pub fn clock(&self, party: usize) -> Time {
        time(self.now - self.missed[party])
    }
}

fn first_owner() -> Server {
    Server {
        until: clock(START) + SPANS.lease,
        held: Some((Epoch(1), GrantKind::Own)),
        ..Server::new(1)
    }
}

fn first_proc<R: Rules>(setup: &Setup, number: usize) -> Proc<R> {
    let mut proc = Proc::new(number, 1);
    proc.table = Some(TableId(0));
    proc.leave = Confirmation::of_read(time(START), time(START), SPANS);
    if setup.fenced {
        proc.granter.answered(&granted(), &met(), before());
    }
    proc
}

/// The order by which the first owner was brought up to the first table.
fn granted() -> Order {
    Order {
        boot: Some(Boot(1)),
        grants: Vec::new(),
        lease: None,
        revision: Revision(1),
    }
}

fn met() -> GrantReply {
    GrantReply {
        boot: Boot(1),
        clock: clock(START - 1),
        results: Vec::new(),
    }
}

/// A state and the event that led to it; only the state counts.
#[derive(Debug, Clone)]
pub struct Node<R: Rules> {
    pub event: (&'static str, usize),
    pub state: State<R>,
}

impl<R: Rules> PartialEq for Node<R> {
    fn eq(&self, other: &Self) -> bool {
        self.state == other.state
    }
}

impl<R: Rules> Eq for Node<R> {}

impl<R: Rules> Hash for Node<R> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.state.hash(state);
    }
}
