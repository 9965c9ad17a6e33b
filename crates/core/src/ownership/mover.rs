//! Brings one scope from its old owner to its new one.

use {
    super::{
        Assignment, Grant, GrantKind, Member, MoveAction, MoveEvent, Phase, Rules, Scope, Spans,
        Strict,
        place::{assignment, replace},
        waits::{Limits, Waits},
    },
    crate::{
        id::{Epoch, ServerName, ServiceName},
        table::{Commit, Table, Versioned},
        time::Time,
    },
    std::{marker::PhantomData, time::Duration},
};

/// What this mover saw released.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Release {
    owner: ServerName,
    to: ServerName,
    epoch: Epoch,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Stage {
    /// The old owner may still run requests.
    Waiting,
    /// The last commit is under way.
    Committing,
    /// The last commit has ended; the table read from now on tells how.
    Reading,
    Done,
}

/// Finishes the move of one scope that the table shows as releasing.
///
/// It needs nothing but the table, so that any instance can take over a move
/// that another left; its waits then begin anew on its own clock, from when it
/// saw the release. Two movers of one scope do no harm: the last commit is
/// conditional on the version of the row, and either finds the same row after.
///
/// Feed it with [`Self::step`] on every event and at least at
/// [`Self::wakes_at`], with a table that was read from the platform or relayed;
/// never with the driver's own commit applied by itself.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Mover<R: Rules = Strict> {
    service: ServiceName,
    scope: Scope,
    release: Release,
    waits: Waits,
    stage: Stage,
    rules: PhantomData<R>,
}

impl<R: Rules> Mover<R> {
    /// Takes up the move of a scope, `None` if the table shows none; `now` is
    /// when the table had been read. Returns the first actions too.
    pub fn take_up(
        table: &Table,
        service: &ServiceName,
        scope: Scope,
        spans: Spans,
        now: Time,
    ) -> Option<(Self, Vec<MoveAction>)> {
        let found = assignment(table, service, scope)?;
        let Phase::Releasing { to } = found.value.phase else {
            return None;
        };
        let row = table.server(&found.value.owner);
        let mut mover = Self {
            service: service.clone(),
            scope,
            release: Release {
                owner: found.value.owner,
                to,
                epoch: found.value.epoch,
            },
            waits: Waits::new::<R>(found.version, now, row, limits(table, service, spans)),
            stage: Stage::Waiting,
            rules: PhantomData,
        };
        let mut actions = mover.revoke(table);
        actions.extend(mover.step(table, MoveEvent::Tick, now));
        Some((mover, actions))
    }

    /// Takes an event, the newest table and the time; tells what to do next.
    pub fn step(&mut self, table: &Table, event: MoveEvent, now: Time) -> Vec<MoveAction> {
        if self.stage == Stage::Done {
            return Vec::new();
        }
        self.take_in(event, now);
        let found = assignment(table, &self.service, self.scope);
        let Some(found) = found.filter(|found| self.is_mine(&found.value)) else {
            self.stage = Stage::Done;
            return vec![MoveAction::Superseded];
        };
        if found.value.phase == Phase::Owned {
            return self.finish();
        }
        self.advance(table, &found, now)
    }

    /// The table may only show this release, or what it led to.
    fn is_mine(&self, found: &Assignment) -> bool {
        found.epoch == self.release.epoch
    }

    fn take_in(&mut self, event: MoveEvent, now: Time) {
        match event {
            MoveEvent::Tick => {}
            MoveEvent::Acked(ack) => self.waits.ack::<R>(&ack, now),
            MoveEvent::Revoked { epoch } => {
                let counts = self.waits.fenced && epoch >= self.release.epoch;
                self.waits.revoked |= counts;
            }
            MoveEvent::OwnerGone => self.waits.gone = true,
            MoveEvent::CommitEnded if self.stage == Stage::Committing => {
                self.stage = Stage::Reading;
            }
            MoveEvent::Reread if self.stage == Stage::Reading => self.stage = Stage::Waiting,
            MoveEvent::CommitEnded | MoveEvent::Reread => {}
        }
    }

    fn advance(
        &mut self,
        table: &Table,
        found: &Versioned<Assignment>,
        now: Time,
    ) -> Vec<MoveAction> {
        self.waits.list::<R>(table, now);
        match self.stage {
            Stage::Waiting if R::skips_wait() || self.is_free(now) => self.commit(table, found),
            Stage::Waiting => self.ask(),
            Stage::Reading if R::trusts_answer() => self.finish(),
            Stage::Reading => vec![MoveAction::Reread],
            Stage::Committing | Stage::Done => Vec::new(),
        }
    }

    /// Whether the old owner surely runs nothing more of the scope.
    fn is_free(&self, now: Time) -> bool {
        self.waits.is_over::<R>(now)
    }

    fn commit(&mut self, table: &Table, found: &Versioned<Assignment>) -> Vec<MoveAction> {
        let version = R::finish_version(found.version);
        let new = Assignment::owned(self.release.to.clone(), self.release.epoch);
        let write = replace(table, &self.service, self.scope, version, new);
        self.stage = Stage::Committing;
        let commit = Commit {
            writes: vec![write],
            history: None,
        };
        vec![MoveAction::Commit(commit)]
    }

    fn finish(&mut self) -> Vec<MoveAction> {
        self.stage = Stage::Done;
        let owner = self.release.to.clone();
        let epoch = self.release.epoch;
        let grant = self.order(self.scope, epoch, GrantKind::Own);
        let server = owner.clone();
        vec![
            MoveAction::Grant { server, grant },
            MoveAction::Done { owner, epoch },
        ]
    }

    fn ask(&self) -> Vec<MoveAction> {
        let ask = |member: Member| MoveAction::AskAck {
            instance: member.instance,
            incarnation: member.incarnation,
            revision: self.waits.since,
        };
        self.waits.missing().into_iter().map(ask).collect()
    }

    /// The orders to the old owner, if it checks epochs. The driver sends them
    /// again until they are accepted or the move is done.
    pub fn revoke(&self, table: &Table) -> Vec<MoveAction> {
        if !self.waits.fenced {
            return Vec::new();
        }
        let mut grants = vec![self.order(self.scope, self.release.epoch, GrantKind::Revoke)];
        grants.extend(self.shard_order(table));
        let server = self.release.owner.clone();
        vec![MoveAction::Revoke { server, grants }]
    }

    /// A key that was just taken out of its shard is asked for by late requests
    /// under the shard's epoch; the owner must have seen the shard's new one.
    fn shard_order(&self, table: &Table) -> Option<Grant> {
        let Scope::Key(key) = self.scope else {
            return None;
        };
        let service = table.service(&self.service)?;
        let scope = Scope::Shard(service.shard_bits.shard_of(key));
        let shard = assignment(table, &self.service, scope)?.value;
        let mine = shard.owner == self.release.owner;
        let kind = match shard.phase {
            Phase::Owned => GrantKind::Own,
            Phase::Releasing { .. } => GrantKind::Revoke,
        };
        mine.then(|| self.order(scope, shard.epoch, kind))
    }

    fn order(&self, scope: Scope, epoch: Epoch, kind: GrantKind) -> Grant {
        Grant {
            service: self.service.clone(),
            scope,
            epoch,
            kind,
        }
    }

    /// When time alone may next bring the move on; `None` if it cannot.
    pub fn wakes_at(&self) -> Option<Time> {
        let waiting = self.stage == Stage::Waiting;
        waiting.then(|| self.waits.end::<R>())
    }

    /// The listed instances that have not acknowledged.
    pub fn missing(&self) -> Vec<Member> {
        self.waits.missing()
    }

    /// Whether the move needs no more steps.
    pub fn is_done(&self) -> bool {
        self.stage == Stage::Done
    }
}

/// The spans that the service's row sets, beside the fixed ones.
fn limits(table: &Table, service: &ServiceName, spans: Spans) -> Limits {
    let (grace, deadline) = match table.service(service) {
        Some(row) => (row.grace, row.deadline),
        None => (Duration::ZERO, Duration::ZERO),
    };
    Limits {
        spans,
        grace,
        deadline,
    }
}
