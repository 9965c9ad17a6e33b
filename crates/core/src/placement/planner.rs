//! Which shards should move now.

use {
    super::{Budget, View, board::Board},
    crate::{id::ServerName, ownership::Scope, time::Time},
    std::time::Duration,
};

/// Limits of the planner.
#[derive(Debug, Clone)]
pub struct PlannerLimits {
    /// How long an imbalance has to last before anything moves for it; shorter
    /// ones cost more warm state than they are worth.
    pub hold: Duration,
    /// How full a new owner may become by the scopes of a lost one, in permille
    /// of its share.
    pub bound: u64,
}

impl Default for PlannerLimits {
    fn default() -> Self {
        Self {
            hold: Duration::from_secs(10),
            bound: 1_100,
        }
    }
}

/// Why a scope should move.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// It has no owner that may keep it.
    Orphan,
    /// Its owner has had too much work for too long.
    Balance,
}

/// A scope that should move.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    /// Which.
    pub scope: Scope,
    /// Its next owner.
    pub to: ServerName,
    /// Why.
    pub reason: Reason,
}

/// Plans the moves of one service.
#[derive(Debug, Default)]
pub struct Planner {
    limits: PlannerLimits,
    budget: Budget,
    /// Since when the imbalance has lasted.
    since: Option<Time>,
}

impl Planner {
    /// A planner with limits of its own.
    pub fn new(limits: PlannerLimits) -> Self {
        Self {
            limits,
            ..Self::default()
        }
    }

    /// The moves to begin now: all orphans, and for balance as many as the
    /// budget allows once the imbalance has lasted.
    pub fn plan(&mut self, view: &View, now: Time) -> Vec<Proposal> {
        let mut board = Board::new(view);
        if board.is_empty() {
            return Vec::new();
        }
        let mut proposals = board.place_orphans(self.limits.bound);
        if !self.has_lasted(&board, view, now) {
            return proposals;
        }
        while let Some(step) = board.next_step(view) {
            if !self.budget.take(view.moves.shards_per_minute, now) {
                break;
            }
            proposals.push(board.move_piece(step.piece, step.seat, Reason::Balance));
        }
        proposals
    }

    fn has_lasted(&mut self, board: &Board, view: &View, now: Time) -> bool {
        if !board.is_uneven(view) {
            self.since = None;
            return false;
        }
        let since = *self.since.get_or_insert(now);
        now - since >= self.limits.hold
    }
}
