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
pub enum Heard {
    /// An instance was asked to acknowledge.
    Answered {
        /// The old owner, the instance and the revision.
        asked: (ServerName, Member, Revision),
        /// Its word, if it gave it.
        ack: Option<Ack>,
    },
    /// An old owner was sent revocations.
    Revoked {
        /// The old owner.
        name: ServerName,
        /// Those that it accepted.
        grants: Vec<Grant>,
    },
    /// A commit has ended, with whatever answer.
    Committed {
        /// The scopes that it was for.
        keys: Vec<ScopeKey>,
        /// Whether the table was read after.
        reread: bool,
    },
    /// The table was read for a scope.
    Reread {
        /// The scope.
        key: ScopeKey,
        /// Commits of this scope that had ended when the read was begun.
        commits: u32,
        /// Whether that worked.
        read: bool,
    },
}

/// A mover with what its driver keeps for it.
#[derive(Debug)]
pub struct Driven {
    /// The decisions.
    pub mover: Mover,
    /// The old owner.
    pub owner: ServerName,
    /// The epoch of the release.
    pub epoch: Epoch,
    /// When this instance may act.
    pub turn: Time,
    /// Revocations that are not accepted yet.
    pub revoke: Vec<Grant>,
    /// What was heard since the last step.
    pub events: Vec<MoveEvent>,
    /// Its last commit is in the batch that is being made.
    pub committing: bool,
    /// Commits that have ended.
    pub commits: u32,
    /// A read of the table is under way for it.
    pub reading: bool,
    /// Actions of the first step, kept until the turn comes.
    first: Vec<MoveAction>,
}

impl Driven {
    /// Takes up a move that the table shows.
    pub fn take_up(
        table: &Table,
        (service, scope): &ScopeKey,
        turn: Time,
        now: Time,
    ) -> Option<Self> {
        let found = assignment(table, service, *scope)?.value;
        let (mover, first) = Mover::resume(table, service, *scope, LeaseDurations::default(), now)?;
        let mut driven = Self {
            mover,
            owner: found.owner,
            epoch: found.epoch,
            turn,
            revoke: Vec::new(),
            events: Vec::new(),
            committing: false,
            commits: 0,
            reading: false,
            first,
        };
        driven.drop_first_commit();
        Some(driven)
    }

    /// The table may have changed until the turn comes; the commit is made anew
    /// then.
    fn drop_first_commit(&mut self) {
        let before = self.first.len();
        self.first
            .retain(|action| !matches!(action, MoveAction::Commit(_)));
        if self.first.len() < before {
            self.not_committed();
        }
    }

    /// What is to be done now.
    pub fn step(&mut self, table: &Table, now: Time) -> Vec<MoveAction> {
        let mut actions = std::mem::take(&mut self.first);
        let mut events = std::mem::take(&mut self.events);
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
    pub fn not_committed(&mut self) {
        self.committed(true);
    }

    /// A commit has ended; `reread` tells whether the table was read after.
    pub fn committed(&mut self, reread: bool) {
        self.commits += 1;
        self.events.push(MoveEvent::CommitEnded);
        if reread {
            self.events.push(MoveEvent::Reread);
        }
    }

    /// A read has ended that was begun after so many commits had.
    pub fn reread(&mut self, commits: u32, read: bool) {
        self.reading = false;
        if read && commits == self.commits {
            self.events.push(MoveEvent::Reread);
        }
    }
}
