//! Grant orders from one instance to one backend server that checks epochs.

use {
    super::{
        Assignment, BootId, Grant, GrantKind, GrantReply, LeaseDurations, Phase, ProductionRules,
        ProtocolRules, Scope, ServerLease,
    },
    crate::{
        id::{Epoch, Revision, ShardId},
        membership::RoutingLease,
        table::{Row, ServerRow, Table},
        time::Time,
    },
    std::{marker::PhantomData, time::Duration},
};

/// Order to a backend server. The server applies the grants before the lease, both in one
/// step.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct GrantOrder {
    /// The server process that the order is meant for; `None` only asks for the server's
    /// clock.
    pub boot: Option<BootId>,
    /// Grants that have changed since the last order that was answered.
    pub grants: Vec<Grant>,
    /// The lease under which the server may run requests.
    pub lease: Option<ServerLease>,
    /// The revision whose assignments the server knows after the order.
    pub revision: Revision,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct ServerSession {
    boot: BootId,
    /// When this server process was first seen.
    first_seen: Time,
    /// The latest reading of the server's clock.
    clock: Duration,
    /// When that reading was received.
    received_at: Time,
    /// The revision up to which the server process has accepted all grants from this
    /// instance.
    synced_revision: Option<Revision>,
}

/// Keeps the grants and the lease of one server up to date, from one instance.
///
/// A lease lets the server run requests under every grant that it still holds. If a
/// server could not be reached by the mover while a scope was moved away from it, a new
/// lease from another instance would let the server run late requests of that scope.
/// Every order with a lease therefore carries all changes of ownership up to the granting
/// instance's revision. An instance with a revision from before the release grants a
/// lease that ends with the instance's own routing lease, which the mover waits for.
///
/// ```
/// use {citron_core::{ownership::Granter, table::Table}, std::time::Duration};
/// # use citron_core::{membership::RoutingLease, ownership::LeaseDurations, table::*, time::Time};
/// # let row = ServerRow {
/// #     name: "server-1".parse().unwrap(), service: "balances".parse().unwrap(),
/// #     domain: "domain-1".parse().unwrap(), address: "127.0.0.1:1".parse().unwrap(),
/// #     weight: "1".parse().unwrap(), rate_cap: None, slots: "4".parse().unwrap(), max_connections: 9,
/// #     fencing: Fencing::Checked, state: ServerState::Active };
/// let granter: Granter = Granter::new(LeaseDurations::default());
/// let order = granter.next_order(&Table::default(), &row, &RoutingLease::default(), Time::ZERO);
/// assert!(order.lease.is_none(), "the server's clock is not known yet");
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Granter<R: ProtocolRules = ProductionRules> {
    durations: LeaseDurations,
    session: Option<ServerSession>,
    rules: PhantomData<R>,
}

impl<R: ProtocolRules> Granter<R> {
    /// Creates a granter that has not contacted the server yet.
    pub fn new(durations: LeaseDurations) -> Self {
        Self {
            durations,
            session: None,
            rules: PhantomData,
        }
    }

    /// Records the answer to an order.
    pub fn record_reply(&mut self, order: &GrantOrder, reply: &GrantReply, now: Time) {
        let known = self.session.filter(|old| old.boot == reply.boot);
        let mut session = known.unwrap_or(ServerSession {
            boot: reply.boot,
            first_seen: now,
            clock: reply.clock,
            received_at: now,
            synced_revision: None,
        });
        if reply.clock >= session.clock {
            session.clock = reply.clock;
            session.received_at = now;
        }
        // A stale grant counts like an accepted one: the server has seen a later epoch of
        // the scope.
        if order.boot == Some(reply.boot) {
            session.synced_revision = session.synced_revision.max(Some(order.revision));
        }
        self.session = Some(session);
    }

    /// Returns the next order, from the table in force and its routing lease. `lease_end`
    /// is [`RoutingLease::end`] for this server and the grace period of its service.
    pub fn next_order(
        &self,
        table: &Table,
        server: &ServerRow,
        routing_lease: &RoutingLease,
        lease_end: Time,
    ) -> GrantOrder {
        let is_allowed =
            |r: &ServerSession| R::may_grant_boot(r.first_seen, routing_lease.read_started);
        let Some(session) = self.session.filter(is_allowed) else {
            return GrantOrder {
                boot: None,
                grants: Vec::new(),
                lease: None,
                revision: Revision(0),
            };
        };
        GrantOrder {
            boot: Some(session.boot),
            grants: self.due_grants(table, server, session.synced_revision),
            lease: self.next_lease(&session, lease_end),
            revision: table.revision(),
        }
    }

    fn due_grants(
        &self,
        table: &Table,
        server: &ServerRow,
        synced_revision: Option<Revision>,
    ) -> Vec<Grant> {
        let is_due = synced_revision.is_none() || R::sends_changed_grants();
        match is_due {
            true => grants_since(table, server, synced_revision),
            false => Vec::new(),
        }
    }

    /// Returns a lease that ends before this instance's own routing lease on any clock:
    /// the server read its clock before the answer was received, and the duration is
    /// reduced by the margin for clock drift.
    fn next_lease(&self, session: &ServerSession, lease_end: Time) -> Option<ServerLease> {
        let span = R::subtract_clock_margin(R::server_lease(
            lease_end - session.received_at,
            self.durations.server,
        ));
        let until = session.clock + span;
        let boot = session.boot;
        (!span.is_zero()).then_some(ServerLease { boot, until })
    }
}

/// Grants and revocations for the scopes of the server's service that were written after
/// `synced_revision`.
fn grants_since(
    table: &Table,
    server: &ServerRow,
    synced_revision: Option<Revision>,
) -> Vec<Grant> {
    let mut grants = Vec::new();
    for (_, row) in table.rows() {
        if synced_revision.is_some_and(|synced_revision| row.version <= synced_revision) {
            continue;
        }
        match &row.value {
            Row::Block(block) if block.service == server.service => {
                let first = block.block.first_shard().0;
                for (shard, owner) in (first..).zip(&block.shards) {
                    grants.push(scope_grant(server, Scope::Shard(ShardId(shard)), owner));
                }
            }
            Row::Override(single) if single.service == server.service => {
                grants.push(scope_grant(server, Scope::Key(single.key), &single.owner));
            }
            _ => {}
        }
    }
    grants
}

fn scope_grant(server: &ServerRow, scope: Scope, owner: &Assignment) -> Grant {
    let is_owner = owner.owner == server.name;
    let (kind, epoch) = match owner.phase {
        Phase::Owned if is_owner => (GrantKind::Own, owner.epoch),
        Phase::Releasing { .. } if is_owner => (GrantKind::Revoke, owner.epoch),
        // Anything that the server held of the scope was under an earlier epoch. The
        // current epoch must not be revoked: if the scope is being released to this
        // server, the server will own it under this epoch.
        _ => (GrantKind::Revoke, Epoch(owner.epoch.0.saturating_sub(1))),
    };
    Grant {
        service: server.service.clone(),
        scope,
        epoch,
        kind,
    }
}
