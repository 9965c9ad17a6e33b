//! Instances, servers and movers of the model.

use {
    super::{
        setup::{SPANS, START, time},
        tables::{INSTANCES, TableId, WriteId},
    },
    citron_core::{
        id::{Epoch, Incarnation},
        membership::{Confirmation, Member, Relays, Roster},
        ownership::{Boot, GrantKind, GrantReply, GrantResult, Granter, Mover, Order, Rules},
        time::Time,
    },
    std::time::Duration,
};

/// One process of an instance. It forgets everything when it ends.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Proc<R: Rules> {
    /// Its instance's number.
    pub number: usize,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its copy of the table; `None` before the first.
    pub table: Option<TableId>,
    /// Its leave to route.
    pub leave: Confirmation,
    /// A read of the platform on its way back: when it was begun, what it found.
    pub read: Option<(Time, TableId)>,
    /// When it last asked another for leave.
    pub asked: Option<Time>,
    /// What it gave to unlisted starts.
    pub relays: Relays<R>,
    /// Its orders to the first owner.
    pub granter: Granter<R>,
    /// Its view of expulsions.
    pub roster: Roster<R>,
}

impl<R: Rules> Proc<R> {
    /// A process that has just started.
    pub fn new(number: usize, incarnation: u64) -> Self {
        Self {
            number,
            incarnation,
            table: None,
            leave: Confirmation::default(),
            read: None,
            asked: None,
            relays: Relays::new(SPANS),
            granter: Granter::new(SPANS),
            roster: Roster::new(SPANS),
        }
    }

    /// Its name in acknowledgements.
    pub fn member(&self) -> Member {
        Member {
            instance: INSTANCES[self.number].parse().unwrap(),
            incarnation: Incarnation(self.incarnation),
        }
    }
}

/// A backend server; its check of grants is the contract that operators' servers
/// keep. The model has one scope.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Server {
    /// Its start.
    pub boot: Boot,
    /// The end of its lease, on its own clock.
    pub until: Duration,
    /// The highest epoch seen, and whether it was granted or revoked.
    pub held: Option<(Epoch, GrantKind)>,
}

impl Server {
    /// A start that holds nothing.
    pub fn new(boot: u64) -> Self {
        Self {
            boot: Boot(boot),
            until: Duration::ZERO,
            held: None,
        }
    }

    /// Takes an order at its own clock.
    pub fn take(&mut self, order: &Order, clock: Duration) -> GrantReply {
        if order.boot == Some(self.boot) {
            for grant in &order.grants {
                self.take_grant(grant.epoch, grant.kind);
            }
            let until = order.lease.map_or(Duration::ZERO, |lease| lease.until);
            self.until = self.until.max(until);
        }
        GrantReply {
            boot: self.boot,
            clock,
            results: order.grants.iter().map(|_| GrantResult::Accepted).collect(),
        }
    }

    /// Takes one grant; whether it was accepted.
    pub fn take_grant(&mut self, epoch: Epoch, kind: GrantKind) -> bool {
        let (seen, last) = self.held.unwrap_or((Epoch(0), GrantKind::Own));
        let undone = epoch == seen && last == GrantKind::Revoke && kind == GrantKind::Own;
        if epoch < seen || undone {
            return false;
        }
        self.held = Some((epoch, kind));
        true
    }

    /// Whether it runs a request.
    pub fn allows(&self, epoch: Epoch, clock: Duration) -> bool {
        self.held == Some((epoch, GrantKind::Own)) && clock < self.until
    }
}

/// A process that finishes moves. It may be left at any point.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Driver<R: Rules> {
    /// Its copy of the table.
    pub table: TableId,
    /// The move it works on.
    pub mover: Option<Mover<R>>,
    /// Its last commit, which may take effect at any later time.
    pub commit: Option<WriteId>,
    /// Whether it has heard, or given up on, the commit's answer.
    pub ended: bool,
}

impl<R: Rules> Driver<R> {
    /// A driver with nothing to do.
    pub fn new() -> Self {
        Self {
            table: TableId(0),
            mover: None,
            commit: None,
            ended: true,
        }
    }
}

/// A request on its way to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Request {
    /// The process that sent it.
    pub from: usize,
    /// The server.
    pub server: usize,
    /// The epoch it carries.
    pub epoch: Epoch,
    /// The tick it was sent at.
    pub sent: u8,
}

/// An order on its way to a server.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Late {
    /// The server.
    pub server: usize,
    /// The order.
    pub order: Order,
}

/// The first tick as a server's clock.
pub fn clock(tick: u8) -> Duration {
    time(tick) - Time::ZERO
}

/// The tick before the first, when granters first met the servers.
pub fn before() -> Time {
    time(START - 1)
}
