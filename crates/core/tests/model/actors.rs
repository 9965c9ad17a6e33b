//! Instances, servers and movers of the model.

use {
    super::{
        setup::{DURATIONS, START_TICK, time},
        tables::{CommitId, INSTANCES, TableId},
    },
    citron_core::{
        id::{Epoch, Incarnation},
        membership::{Member, Membership, RelayedLeases, RoutingLease},
        ownership::{
            BootId, GrantKind, GrantOrder, GrantReply, GrantResult, Granter, Mover, ProtocolRules,
        },
        time::Time,
    },
    std::time::Duration,
};

/// One process of an instance. It forgets everything when it ends.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Process<R: ProtocolRules> {
    /// Its instance's number.
    pub number: usize,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its copy of the table; `None` before the first.
    pub table: Option<TableId>,
    /// Its leave to route.
    pub lease: RoutingLease,
    /// A read of the platform on its way back: when it was begun, what it found.
    pub pending_read: Option<(Time, TableId)>,
    /// When it last asked another for leave.
    pub lease_asked_at: Option<Time>,
    /// What it gave to unlisted starts.
    pub relayed_leases: RelayedLeases<R>,
    /// Its orders to the first owner.
    pub granter: Granter<R>,
    /// Its view of expulsions.
    pub membership: Membership<R>,
}

impl<R: ProtocolRules> Process<R> {
    /// A process that has just started.
    pub fn new(number: usize, incarnation: u64) -> Self {
        Self {
            number,
            incarnation,
            table: None,
            lease: RoutingLease::default(),
            pending_read: None,
            lease_asked_at: None,
            relayed_leases: RelayedLeases::new(DURATIONS),
            granter: Granter::new(DURATIONS),
            membership: Membership::new(DURATIONS),
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
    pub boot: BootId,
    /// The end of its lease, on its own clock.
    pub lease_end: Duration,
    /// The highest epoch seen, and whether it was granted or revoked.
    pub last_grant: Option<(Epoch, GrantKind)>,
}

impl Server {
    /// A start that holds nothing.
    pub fn new(boot: u64) -> Self {
        Self {
            boot: BootId(boot),
            lease_end: Duration::ZERO,
            last_grant: None,
        }
    }

    /// Takes an order at its own clock.
    pub fn apply_order(&mut self, order: &GrantOrder, clock: Duration) -> GrantReply {
        if order.boot == Some(self.boot) {
            for grant in &order.grants {
                self.apply_grant(grant.epoch, grant.kind);
            }
            let until = order.lease.map_or(Duration::ZERO, |lease| lease.until);
            self.lease_end = self.lease_end.max(until);
        }
        GrantReply {
            boot: self.boot,
            clock,
            results: order.grants.iter().map(|_| GrantResult::Accepted).collect(),
        }
    }

    /// Takes one grant; whether it was accepted.
    pub fn apply_grant(&mut self, epoch: Epoch, kind: GrantKind) -> bool {
        let (seen, last) = self.last_grant.unwrap_or((Epoch(0), GrantKind::Own));
        let undone = epoch == seen && last == GrantKind::Revoke && kind == GrantKind::Own;
        if epoch < seen || undone {
            return false;
        }
        self.last_grant = Some((epoch, kind));
        true
    }

    /// Whether it runs a request.
    pub fn allows(&self, epoch: Epoch, clock: Duration) -> bool {
        self.last_grant == Some((epoch, GrantKind::Own)) && clock < self.lease_end
    }
}

/// A process that finishes moves. It may be left at any point.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Driver<R: ProtocolRules> {
    /// Its copy of the table.
    pub table: TableId,
    /// The move it works on.
    pub mover: Option<Mover<R>>,
    /// Its last commit, which may take effect at any later time.
    pub commit: Option<CommitId>,
    /// Whether it has heard, or given up on, the commit's answer.
    pub commit_ended: bool,
}

impl<R: ProtocolRules> Driver<R> {
    /// A driver with nothing to do.
    pub fn new() -> Self {
        Self {
            table: TableId(0),
            mover: None,
            commit: None,
            commit_ended: true,
        }
    }
}

/// A request on its way to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Request {
    /// The process that sent it.
    pub sender: usize,
    /// The server.
    pub server: usize,
    /// The epoch it carries.
    pub epoch: Epoch,
    /// The tick it was sent at.
    pub sent_at: u8,
}

/// An order on its way to a server.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct DelayedOrder {
    /// The server.
    pub server: usize,
    /// The order.
    pub order: GrantOrder,
}

/// The first tick as a server's clock.
pub fn server_time(tick: u8) -> Duration {
    time(tick) - Time::ZERO
}

/// The tick before the first, when granters first met the servers.
pub fn first_contact() -> Time {
    time(START_TICK - 1)
}
