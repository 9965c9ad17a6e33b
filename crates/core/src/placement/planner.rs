//! Planning of moves.

use {
    super::{ServiceView, TokenBucket, draft::Draft},
    crate::{id::ServerName, ownership::Scope, time::Time},
    std::time::Duration,
};

/// Limits of the planner.
#[derive(Debug, Clone)]
pub struct PlannerLimits {
    /// How long an imbalance must last before scopes move for it. Moving for shorter ones
    /// costs more in lost server caches than it gains.
    pub imbalance_hold: Duration,
    /// Fullness up to which a new owner may be filled with scopes of a lost one, in
    /// permille of its share.
    pub load_bound_permille: u64,
}

impl Default for PlannerLimits {
    fn default() -> Self {
        Self {
            imbalance_hold: Duration::from_secs(10),
            load_bound_permille: 1_100,
        }
    }
}

/// Reason for a move.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MoveReason {
    /// The scope has no owner that may keep it.
    Unassigned,
    /// The owner has been overloaded for too long.
    Balance,
}

/// A proposed move.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    /// The scope to move.
    pub scope: Scope,
    /// The next owner.
    pub to: ServerName,
    /// The reason for the move.
    pub reason: MoveReason,
}

/// Plans the moves of one service.
#[derive(Debug, Default)]
pub struct Planner {
    limits: PlannerLimits,
    budget: TokenBucket,
    /// When the imbalance began.
    uneven_since: Option<Time>,
}

impl Planner {
    /// Creates a planner with the given limits.
    pub fn new(limits: PlannerLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// Returns the moves to begin now: those of all unassigned scopes and, once an
    /// imbalance has lasted, as many for balance as the move budget allows.
    pub fn plan(&mut self, view: &ServiceView, now: Time) -> Vec<Proposal> {
        let mut draft = Draft::new(view);
        if draft.is_empty() {
            return Vec::new();
        }
        let mut proposals = draft.place_unassigned(self.limits.load_bound_permille);
        if !self.imbalance_has_lasted(&draft, view, now) {
            return proposals;
        }
        while let Some(next) = draft.next_move(view) {
            if !self
                .budget
                .try_take(view.move_budget.shards_per_minute, now)
            {
                break;
            }
            proposals.push(draft.move_scope(next.entry, next.server, MoveReason::Balance));
        }
        proposals
    }

    fn imbalance_has_lasted(&mut self, draft: &Draft, view: &ServiceView, now: Time) -> bool {
        if !draft.is_uneven(view) {
            self.uneven_since = None;
            return false;
        }
        let since = *self.uneven_since.get_or_insert(now);
        now - since >= self.limits.imbalance_hold
    }
}
