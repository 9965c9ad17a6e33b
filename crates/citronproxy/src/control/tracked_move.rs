//! A move that this instance tracks.

use citron_core::{
    id::{Epoch, Revision, ServerName, ServiceName},
    membership::Member,
    ownership::{Ack, Grant, LeaseDurations, MoveAction, MoveEvent, Mover, Scope, assignment},
    table::Table,
    time::Time,
};

/// A scope together with its service.
pub type ScopeKey = (ServiceName, Scope);

/// Result of a call, order, commit or read that a spawned task made for the driver.
#[derive(Debug)]
pub enum TaskResult {
    /// An acknowledgement request has ended.
    AckAnswered {
        /// The old owner, the instance asked and the revision.
        request: (ServerName, Member, Revision),
        /// The acknowledgement; `None` if it was denied or not answered.
        ack: Option<Ack>,
    },
    /// An order with revocations has ended.
    Revoked {
        /// The old owner.
        server: ServerName,
        /// Revocations that the server accepted.
        grants: Vec<Grant>,
    },
    /// A commit has ended, with any outcome.
    CommitEnded {
        /// Scopes whose changes were part of the commit.
        scopes: Vec<ScopeKey>,
        /// Whether the table was read after the commit.
        is_reread: bool,
    },
    /// A table read requested for a scope has ended.
    TableRead {
        /// The scope.
        key: ScopeKey,
        /// Number of this scope's commits that had ended when the read started.
        ended_commits: u32,
        /// Whether the read succeeded.
        is_ok: bool,
    },
}

/// A mover with the state that the driver keeps for it.
#[derive(Debug)]
pub struct TrackedMove {
    /// State machine that decides the next actions.
    pub mover: Mover,
    /// Server that releases the scope.
    pub old_owner: ServerName,
    /// Epoch of the release.
    pub epoch: Epoch,
    /// Time from which this instance may act on the move.
    pub acts_from: Time,
    /// Revocations that the old owner has not accepted yet.
    pub pending_revocations: Vec<Grant>,
    /// Events since the last step.
    pub pending_events: Vec<MoveEvent>,
    /// Whether the batch being built includes a commit of this move.
    pub is_in_batch: bool,
    /// Number of commits that have ended.
    pub ended_commits: u32,
    /// Whether a table read for this move is in progress.
    pub is_reading: bool,
    /// Actions of the first step, kept until `acts_from`.
    first_actions: Vec<MoveAction>,
}

impl TrackedMove {
    /// Resumes a move that the table shows; `None` if it shows none for the scope.
    pub fn resume(
        table: &Table,
        (service, scope): &ScopeKey,
        acts_from: Time,
        now: Time,
    ) -> Option<Self> {
        let found = assignment(table, service, *scope)?.value;
        let (mover, first_actions) =
            Mover::resume(table, service, *scope, LeaseDurations::default(), now)?;
        let mut tracked = Self {
            mover,
            old_owner: found.owner,
            epoch: found.epoch,
            acts_from,
            pending_revocations: Vec::new(),
            pending_events: Vec::new(),
            is_in_batch: false,
            ended_commits: 0,
            is_reading: false,
            first_actions,
        };
        tracked.drop_first_commit();
        Some(tracked)
    }

    /// Drops the commit of the first step. The table may change before `acts_from`, so
    /// the mover plans the commit again then.
    fn drop_first_commit(&mut self) {
        let before = self.first_actions.len();
        self.first_actions
            .retain(|action| !matches!(action, MoveAction::Commit(_)));
        if self.first_actions.len() < before {
            self.commit_not_sent();
        }
    }

    /// Next actions of the mover.
    pub fn step(&mut self, table: &Table, now: Time) -> Vec<MoveAction> {
        let mut actions = std::mem::take(&mut self.first_actions);
        let mut events = std::mem::take(&mut self.pending_events);
        if events.is_empty() {
            events.push(MoveEvent::Tick);
        }
        for event in events {
            // The requested read has already been reported by this event, so another is
            // not needed.
            if event == MoveEvent::Reread {
                actions.retain(|action| *action != MoveAction::Reread);
            }
            actions.extend(self.mover.step(table, event, now));
        }
        actions
    }

    /// Records that a commit requested by the mover was not sent.
    pub fn commit_not_sent(&mut self) {
        self.commit_ended(true);
    }

    /// Records that a commit has ended. `is_reread` tells whether the table was read
    /// after it.
    pub fn commit_ended(&mut self, is_reread: bool) {
        self.ended_commits += 1;
        self.pending_events.push(MoveEvent::CommitEnded);
        if is_reread {
            self.pending_events.push(MoveEvent::Reread);
        }
    }

    /// Records that a table read has ended. `ended_commits` is the number of commits that
    /// had ended when the read started; the read only counts if no other commit has ended
    /// since.
    pub fn read_ended(&mut self, ended_commits: u32, is_ok: bool) {
        self.is_reading = false;
        if is_ok && ended_commits == self.ended_commits {
            self.pending_events.push(MoveEvent::Reread);
        }
    }
}
