//! State machine that completes the move of one scope.

use {
    super::{
        Assignment, Grant, GrantKind, LeaseDurations, Member, MoveAction, MoveEvent, Phase,
        ProductionRules, ProtocolRules, Scope,
        release_wait::{ReleaseWait, WaitLimits},
        rows::{assignment, assignment_write},
    },
    crate::{
        id::{Epoch, ServerName, ServiceName},
        table::{Commit, Table, Versioned},
        time::Time,
    },
    std::{marker::PhantomData, time::Duration},
};

/// The release that a mover completes.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Release {
    owner: ServerName,
    to: ServerName,
    epoch: Epoch,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Stage {
    /// Instances may still route to the old owner, or the old owner may still run
    /// requests.
    Waiting,
    /// The last commit is in progress.
    Committing,
    /// The last commit has ended; a read of the table has to show whether it took effect.
    Rereading,
    Done,
}

/// State machine that completes the move of a scope whose assignment is being released.
///
/// Its whole input is the table, so any instance can resume a move that another instance
/// left unfinished; the waits then start again on its own clock, from when it saw the
/// release. Two movers of one scope are safe: the last commit is conditional on the row's
/// version, and both read the same row afterwards.
///
/// Call [`Self::step`] on every event and no later than [`Self::next_wakeup`], with a
/// table that was read from the platform or relayed by another instance, never with one
/// to which the caller has applied its own commit.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Mover<R: ProtocolRules = ProductionRules> {
    service: ServiceName,
    scope: Scope,
    release: Release,
    wait: ReleaseWait,
    stage: Stage,
    rules: PhantomData<R>,
}

impl<R: ProtocolRules> Mover<R> {
    /// Creates a mover for a scope that the table shows as being released, and returns it
    /// with its first actions; `None` if no move is in progress. `now` is a time at which
    /// the table had been read.
    pub fn resume(
        table: &Table,
        service: &ServiceName,
        scope: Scope,
        durations: LeaseDurations,
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
            wait: ReleaseWait::new::<R>(
                found.version,
                now,
                row,
                wait_limits(table, service, durations),
            ),
            stage: Stage::Waiting,
            rules: PhantomData,
        };
        let mut actions = mover.revoke(table);
        actions.extend(mover.step(table, MoveEvent::Tick, now));
        Some((mover, actions))
    }

    /// Applies an event, with the newest table and the time, and returns the next
    /// actions.
    pub fn step(&mut self, table: &Table, event: MoveEvent, now: Time) -> Vec<MoveAction> {
        if self.stage == Stage::Done {
            return Vec::new();
        }
        self.apply_event(event, now);
        let found = assignment(table, &self.service, self.scope);
        let Some(found) = found.filter(|found| self.is_current(&found.value)) else {
            self.stage = Stage::Done;
            return vec![MoveAction::Superseded];
        };
        if found.value.phase == Phase::Owned {
            return self.finish();
        }
        self.advance(table, &found, now)
    }

    /// Whether the table still shows this release or its result, rather than a later
    /// move.
    fn is_current(&self, found: &Assignment) -> bool {
        found.epoch == self.release.epoch
    }

    fn apply_event(&mut self, event: MoveEvent, now: Time) {
        match event {
            MoveEvent::Tick => {}
            MoveEvent::Acked(ack) => self.wait.ack::<R>(&ack, now),
            MoveEvent::Revoked { epoch } => {
                let is_valid = self.wait.is_fenced && epoch >= self.release.epoch;
                self.wait.is_revoked |= is_valid;
            }
            MoveEvent::OwnerTerminated => self.wait.is_owner_terminated = true,
            MoveEvent::CommitEnded if self.stage == Stage::Committing => {
                self.stage = Stage::Rereading;
            }
            MoveEvent::Reread if self.stage == Stage::Rereading => self.stage = Stage::Waiting,
            MoveEvent::CommitEnded | MoveEvent::Reread => {}
        }
    }

    fn advance(
        &mut self,
        table: &Table,
        found: &Versioned<Assignment>,
        now: Time,
    ) -> Vec<MoveAction> {
        self.wait.update_members::<R>(table, now);
        match self.stage {
            Stage::Waiting if R::skips_wait() || self.is_released(now) => self.commit(table, found),
            Stage::Waiting => self.request_acks(),
            Stage::Rereading if R::skips_reread() => self.finish(),
            Stage::Rereading => vec![MoveAction::Reread],
            Stage::Committing | Stage::Done => Vec::new(),
        }
    }

    /// Whether the old owner is certain to run no request of the scope any more.
    fn is_released(&self, now: Time) -> bool {
        self.wait.is_over::<R>(now)
    }

    fn commit(&mut self, table: &Table, found: &Versioned<Assignment>) -> Vec<MoveAction> {
        let version = R::final_commit_version(found.version);
        let new = Assignment::owned(self.release.to.clone(), self.release.epoch);
        let write = assignment_write(table, &self.service, self.scope, version, new);
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
        let grant = self.build_grant(self.scope, epoch, GrantKind::Own);
        let server = owner.clone();
        vec![
            MoveAction::Grant { server, grant },
            MoveAction::Done { owner, epoch },
        ]
    }

    fn request_acks(&self) -> Vec<MoveAction> {
        let request = |member: Member| MoveAction::RequestAck {
            instance: member.instance,
            incarnation: member.incarnation,
            revision: self.wait.release_revision,
        };
        self.wait
            .unacknowledged()
            .into_iter()
            .map(request)
            .collect()
    }

    /// Returns the grants that withdraw the scope from the old owner, if the owner checks
    /// epochs. The caller repeats them until they are accepted or the move is done.
    pub fn revoke(&self, table: &Table) -> Vec<MoveAction> {
        if !self.wait.is_fenced {
            return Vec::new();
        }
        let mut grants = vec![self.build_grant(self.scope, self.release.epoch, GrantKind::Revoke)];
        grants.extend(self.shard_grant(table));
        let server = self.release.owner.clone();
        vec![MoveAction::Revoke { server, grants }]
    }

    /// Grant or revocation of the key's shard, for a move that has just extracted a key.
    /// Late requests for the key carry the shard's old epoch, so the old owner must have
    /// seen the shard's new epoch to refuse them.
    fn shard_grant(&self, table: &Table) -> Option<Grant> {
        let Scope::Key(key) = self.scope else {
            return None;
        };
        let service = table.service(&self.service)?;
        let scope = Scope::Shard(service.shard_bits.shard_of(key));
        let shard = assignment(table, &self.service, scope)?.value;
        let is_owner = shard.owner == self.release.owner;
        let kind = match shard.phase {
            Phase::Owned => GrantKind::Own,
            Phase::Releasing { .. } => GrantKind::Revoke,
        };
        is_owner.then(|| self.build_grant(scope, shard.epoch, kind))
    }

    fn build_grant(&self, scope: Scope, epoch: Epoch, kind: GrantKind) -> Grant {
        Grant {
            service: self.service.clone(),
            scope,
            epoch,
            kind,
        }
    }

    /// Returns when the passing of time alone may next advance the move; `None` if it
    /// cannot.
    pub fn next_wakeup(&self) -> Option<Time> {
        let is_waiting = self.stage == Stage::Waiting;
        is_waiting.then(|| self.wait.end::<R>())
    }

    /// Returns the listed instances that have not acknowledged the release.
    pub fn unacknowledged(&self) -> Vec<Member> {
        self.wait.unacknowledged()
    }

    /// Returns whether the move needs no more steps.
    pub fn is_done(&self) -> bool {
        self.stage == Stage::Done
    }
}

/// Combines the fixed lease durations with the service's settings.
fn wait_limits(table: &Table, service: &ServiceName, durations: LeaseDurations) -> WaitLimits {
    let (grace, deadline) = match table.service(service) {
        Some(row) => (row.grace, row.deadline),
        None => (Duration::ZERO, Duration::ZERO),
    };
    WaitLimits {
        durations,
        grace,
        deadline,
    }
}
