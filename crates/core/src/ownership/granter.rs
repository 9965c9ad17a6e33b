//! Orders of one instance to one backend server that checks epochs.

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

/// One order: the grants are taken before the lease, both in one step.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct GrantOrder {
    /// The start of the server that it is meant for; `None` only asks for the
    /// server's clock.
    pub boot: Option<BootId>,
    /// What changed hands since the last order that was answered.
    pub grants: Vec<Grant>,
    /// Until when the server may run requests.
    pub lease: Option<ServerLease>,
    /// The revision that the grants bring the server up to.
    pub revision: Revision,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct ServerSession {
    boot: BootId,
    /// When this start was first seen.
    first_seen: Time,
    /// The server's clock.
    clock: Duration,
    /// When its answer was heard.
    received_at: Time,
    /// The revision that this start has accepted all grants of, from here.
    synced_revision: Option<Revision>,
}

/// Keeps one server's grants and lease up to date, from one instance.
///
/// A lease lets the server run requests under every grant it still holds. A
/// server that was out of the mover's reach when a scope was moved away would,
/// with a fresh lease from another instance, run late requests of that scope.
/// So an order that carries a lease also carries what changed hands up to the
/// giver's revision; a giver that knows no better is before the release, and
/// its lease ends with its leave, which the mover waits for.
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
    /// A granter that has not spoken with the server yet.
    pub fn new(durations: LeaseDurations) -> Self {
        Self {
            durations,
            session: None,
            rules: PhantomData,
        }
    }

    /// Takes the answer to an order.
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
        // A stale grant is as good as an accepted one here: the server has
        // seen a later epoch of the scope.
        if order.boot == Some(reply.boot) {
            session.synced_revision = session.synced_revision.max(Some(order.revision));
        }
        self.session = Some(session);
    }

    /// The next order, under the table in force and its confirmation; `lease_end`
    /// is [`RoutingLease::end`] for this server and its service's grace.
    pub fn next_order(
        &self,
        table: &Table,
        server: &ServerRow,
        routing_lease: &RoutingLease,
        lease_end: Time,
    ) -> GrantOrder {
        let allowed =
            |r: &ServerSession| R::may_grant_boot(r.first_seen, routing_lease.read_started);
        let Some(session) = self.session.filter(allowed) else {
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

    /// A lease that ends before the giver's own leave does, on any clock: the
    /// server's reading was taken before it was heard, and the span is cut by
    /// what the two clocks may run apart.
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

/// What the server must know of the scopes of its service that were written
/// after `synced_revision`.
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
                let first_seen = block.block.first_shard().0;
                for (shard, owner) in (first_seen..).zip(&block.shards) {
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
        // Whatever it held of the scope was under an earlier epoch. The epoch
        // of a release that goes to this very server must stay open: it is the
        // one that the server is to own the scope under.
        _ => (GrantKind::Revoke, Epoch(owner.epoch.0.saturating_sub(1))),
    };
    Grant {
        service: server.service.clone(),
        scope,
        epoch,
        kind,
    }
}
