//! One move that this instance follows.

use citron_core::{
    id::{Epoch, Revision, ServerName, ServiceName},
    membership::Member,
    ownership::{Ack, Grant, LeaseDurations, MoveAction, MoveEvent, Mover, Scope, assignment},
    table::Table,
    time::Time,
};

/// A scope of a service.
pub type ScopeKey = (ServiceName, Scope);

/// What comes back from questions, orders and commits.
#[derive(Debug)]
pub enum TaskResult {
    /// An instance was asked to acknowledge.
    AckAnswered {
        /// The old owner, the instance and the revision.
        request: (ServerName, Member, Revision),
        /// Its word, if it gave it.
        ack: Option<Ack>,
    },
    /// An old owner was sent revocations.
    Revoked {
        /// The old owner.
        server: ServerName,
        /// Those that it accepted.
        grants: Vec<Grant>,
    },
    /// A commit has ended, with whatever answer.
    CommitEnded {
        /// The scopes that it was for.
        scopes: Vec<ScopeKey>,
        /// Whether the table was read after.
        is_reread: bool,
    },
    /// The table was read for a scope.
    TableRead {
        /// The scope.
        key: ScopeKey,
        /// Commits of this scope that had ended when the read was begun.
        ended_commits: u32,
        /// Whether that worked.
        is_ok: bool,
    },
}

/// A mover with what its driver keeps for it.
#[derive(Debug)]
pub struct TrackedMove {
    /// The decisions.
    pub mover: Mover,
    /// The old owner.
    pub old_owner: ServerName,
    /// The epoch of the release.
    pub epoch: Epoch,
    /// When this instance may act.
    pub acts_from: Time,
    /// Revocations that are not accepted yet.
    pub pending_revocations: Vec<Grant>,
    /// What was heard since the last step.
    pub pending_events: Vec<MoveEvent>,
    /// Its last commit is in the batch that is being made.
    pub is_in_batch: bool,
    /// Commits that have ended.
    pub ended_commits: u32,
    /// A read of the table is under way for it.
    pub is_reading: bool,
    /// Actions of the first step, kept until the turn comes.
    first_actions: Vec<MoveAction>,
}

impl TrackedMove {
    /// Takes up a move that the table shows.
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

    /// The table may have changed until the turn comes; the commit is made anew
    /// then.
    fn drop_first_commit(&mut self) {
        let before = self.first_actions.len();
        self.first_actions
            .retain(|action| !matches!(action, MoveAction::Commit(_)));
        if self.first_actions.len() < before {
            self.commit_not_sent();
        }
    }

    /// What is to be done now.
    pub fn step(&mut self, table: &Table, now: Time) -> Vec<MoveAction> {
        let mut actions = std::mem::take(&mut self.first_actions);
        let mut events = std::mem::take(&mut self.pending_events);
        if events.is_empty() {
            events.push(MoveEvent::Tick);
        }
        for event in events {
            // A read that is asked for and reported at once need not be made.
            if event == MoveEvent::Reread {
                actions.retain(|action| *action != MoveAction::Reread);
            }
            actions.extend(self.mover.step(table, event, now));
        }
        actions
    }

    /// A commit that the mover asked for was never sent.
    pub fn commit_not_sent(&mut self) {
        self.commit_ended(true);
    }

    /// A commit has ended; `reread` tells whether the table was read after.
    pub fn commit_ended(&mut self, is_reread: bool) {
        self.ended_commits += 1;
        self.pending_events.push(MoveEvent::CommitEnded);
        if is_reread {
            self.pending_events.push(MoveEvent::Reread);
        }
    }

    /// A read has ended that was begun after so many commits had.
    pub fn read_ended(&mut self, ended_commits: u32, is_ok: bool) {
        self.is_reading = false;
        if is_ok && ended_commits == self.ended_commits {
            self.pending_events.push(MoveEvent::Reread);
        }
    }
}
