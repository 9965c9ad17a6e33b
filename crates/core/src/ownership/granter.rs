//! Orders of one instance to one backend server that checks epochs.

use {
    super::{
        Assignment, Boot, Grant, GrantKind, GrantReply, Lease, Phase, Rules, Scope, Spans, Strict,
    },
    crate::{
        id::{Epoch, Revision, ShardId},
        membership::Confirmation,
        table::{Row, ServerRow, Table},
        time::Time,
    },
    std::{marker::PhantomData, time::Duration},
};

/// One order: the grants are taken before the lease, both in one step.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Order {
    /// The start of the server that it is meant for; `None` only asks for the
    /// server's clock.
    pub boot: Option<Boot>,
    /// What changed hands since the last order that was answered.
    pub grants: Vec<Grant>,
    /// Until when the server may run requests.
    pub lease: Option<Lease>,
    /// The revision that the grants bring the server up to.
    pub revision: Revision,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Reading {
    boot: Boot,
    /// When this start was first seen.
    first: Time,
    /// The server's clock.
    clock: Duration,
    /// When its answer was heard.
    heard: Time,
    /// The revision that this start has accepted all grants of, from here.
    synced: Option<Revision>,
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
/// # use citron_core::{membership::Confirmation, ownership::Spans, table::*, time::Time};
/// # let row = ServerRow {
/// #     name: "server-1".parse().unwrap(), service: "balances".parse().unwrap(),
/// #     domain: "domain-1".parse().unwrap(), address: "127.0.0.1:1".parse().unwrap(),
/// #     weight: "1".parse().unwrap(), rate_cap: None, slots: "4".parse().unwrap(), max_connections: 9,
/// #     fencing: Fencing::Checked, state: ServerState::Active };
/// let granter: Granter = Granter::new(Spans::default());
/// let order = granter.order(&Table::default(), &row, &Confirmation::default(), Time::ZERO);
/// assert!(order.lease.is_none(), "the server's clock is not known yet");
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Granter<R: Rules = Strict> {
    spans: Spans,
    reading: Option<Reading>,
    rules: PhantomData<R>,
}

impl<R: Rules> Granter<R> {
    /// A granter that has not spoken with the server yet.
    pub fn new(spans: Spans) -> Self {
        Self {
            spans,
            reading: None,
            rules: PhantomData,
        }
    }

    /// Takes the answer to an order.
    pub fn answered(&mut self, order: &Order, reply: &GrantReply, now: Time) {
        let known = self.reading.filter(|old| old.boot == reply.boot);
        let mut reading = known.unwrap_or(Reading {
            boot: reply.boot,
            first: now,
            clock: reply.clock,
            heard: now,
            synced: None,
        });
        if reply.clock >= reading.clock {
            reading.clock = reply.clock;
            reading.heard = now;
        }
        // A stale grant is as good as an accepted one here: the server has
        // seen a later epoch of the scope.
        if order.boot == Some(reply.boot) {
            reading.synced = reading.synced.max(Some(order.revision));
        }
        self.reading = Some(reading);
    }

    /// The next order, under the table in force and its confirmation; `leave`
    /// is [`Confirmation::end`] for this server and its service's grace.
    pub fn order(
        &self,
        table: &Table,
        server: &ServerRow,
        confirmation: &Confirmation,
        leave: Time,
    ) -> Order {
        let allowed = |r: &Reading| R::grants_boot(r.first, confirmation.platform);
        let Some(reading) = self.reading.filter(allowed) else {
            return Order {
                boot: None,
                grants: Vec::new(),
                lease: None,
                revision: Revision(0),
            };
        };
        Order {
            boot: Some(reading.boot),
            grants: self.due(table, server, reading.synced),
            lease: self.lease(&reading, leave),
            revision: table.revision(),
        }
    }

    fn due(&self, table: &Table, server: &ServerRow, synced: Option<Revision>) -> Vec<Grant> {
        let due = synced.is_none() || R::brings_up();
        match due {
            true => grants(table, server, synced),
            false => Vec::new(),
        }
    }

    /// A lease that ends before the giver's own leave does, on any clock: the
    /// server's reading was taken before it was heard, and the span is cut by
    /// what the two clocks may run apart.
    fn lease(&self, reading: &Reading, leave: Time) -> Option<Lease> {
        let span = R::cut(R::lease(leave - reading.heard, self.spans.lease));
        let until = reading.clock + span;
        let boot = reading.boot;
        (!span.is_zero()).then_some(Lease { boot, until })
    }
}

/// What the server must know of the scopes of its service that were written
/// after `synced`.
fn grants(table: &Table, server: &ServerRow, synced: Option<Revision>) -> Vec<Grant> {
    let mut grants = Vec::new();
    for (_, row) in table.rows() {
        if synced.is_some_and(|synced| row.version <= synced) {
            continue;
        }
        match &row.value {
            Row::Block(block) if block.service == server.service => {
                let first = block.block.first_shard().0;
                for (shard, owner) in (first..).zip(&block.shards) {
                    grants.push(grant(server, Scope::Shard(ShardId(shard)), owner));
                }
            }
            Row::Override(single) if single.service == server.service => {
                grants.push(grant(server, Scope::Key(single.key), &single.owner));
            }
            _ => {}
        }
    }
    grants
}

fn grant(server: &ServerRow, scope: Scope, owner: &Assignment) -> Grant {
    let mine = owner.owner == server.name;
    let (kind, epoch) = match owner.phase {
        Phase::Owned if mine => (GrantKind::Own, owner.epoch),
        Phase::Releasing { .. } if mine => (GrantKind::Revoke, owner.epoch),
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
