//! Actors of the model: instances, servers and movers.

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

/// One process of an instance. All its state is lost when it ends.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Process<R: ProtocolRules> {
    /// The number of its instance.
    pub number: usize,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its copy of the table; `None` before the first read.
    pub table: Option<TableId>,
    /// Its routing lease.
    pub lease: RoutingLease,
    /// A platform read whose answer is on its way: start time and table read.
    pub pending_read: Option<(Time, TableId)>,
    /// When it last asked another instance for a routing lease.
    pub lease_asked_at: Option<Time>,
    /// Leases that it has relayed to unlisted incarnations.
    pub relayed_leases: RelayedLeases<R>,
    /// Its grant orders to the first owner.
    pub granter: Granter<R>,
    /// The expulsions that it has seen.
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

    /// Its identity in acknowledgements.
    pub fn member(&self) -> Member {
        Member {
            instance: INSTANCES[self.number].parse().unwrap(),
            incarnation: Incarnation(self.incarnation),
        }
    }
}

/// A backend server. It checks grants by the contract that operators' servers implement.
/// The model has one scope.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Server {
    /// Identity of the server process.
    pub boot: BootId,
    /// The end of its lease, on its own clock.
    pub lease_end: Duration,
    /// The highest epoch seen, and whether it was granted or revoked.
    pub last_grant: Option<(Epoch, GrantKind)>,
}

impl Server {
    /// A server process without grants.
    pub fn new(boot: u64) -> Self {
        Self {
            boot: BootId(boot),
            lease_end: Duration::ZERO,
            last_grant: None,
        }
    }

    /// Applies an order at a time of the server's own clock.
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

    /// Applies one grant. Returns whether it was accepted.
    pub fn apply_grant(&mut self, epoch: Epoch, kind: GrantKind) -> bool {
        let (seen, last) = self.last_grant.unwrap_or((Epoch(0), GrantKind::Own));
        let undone = epoch == seen && last == GrantKind::Revoke && kind == GrantKind::Own;
        if epoch < seen || undone {
            return false;
        }
        self.last_grant = Some((epoch, kind));
        true
    }

    /// Whether the server runs a request.
    pub fn allows(&self, epoch: Epoch, clock: Duration) -> bool {
        self.last_grant == Some((epoch, GrantKind::Own)) && clock < self.lease_end
    }
}

/// A process that completes moves. It may stop at any point.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Driver<R: ProtocolRules> {
    /// Its copy of the table.
    pub table: TableId,
    /// The move in progress.
    pub mover: Option<Mover<R>>,
    /// Its last commit, which may take effect at any later time.
    pub commit: Option<CommitId>,
    /// Whether it has received the commit's answer or stopped waiting for it.
    pub commit_ended: bool,
}

impl<R: ProtocolRules> Driver<R> {
    /// A driver without a move.
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
    /// The number of the target server.
    pub server: usize,
    /// The epoch that it carries.
    pub epoch: Epoch,
    /// The tick at which it was sent.
    pub sent_at: u8,
}

/// An order on its way to a server.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct DelayedOrder {
    /// The number of the target server.
    pub server: usize,
    /// The order.
    pub order: GrantOrder,
}

/// A tick as a reading of a server's clock.
pub fn server_time(tick: u8) -> Duration {
    time(tick) - Time::ZERO
}

/// The tick before the first one, at which granters first contacted the servers.
pub fn first_contact() -> Time {
    time(START_TICK - 1)
}
