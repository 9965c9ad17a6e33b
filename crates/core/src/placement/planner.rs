//! Which shards should move now.

use {
    super::{ServiceView, TokenBucket, draft::Draft},
    crate::{id::ServerName, ownership::Scope, time::Time},
    std::time::Duration,
};

/// Limits of the planner.
#[derive(Debug, Clone)]
pub struct PlannerLimits {
    /// How long an imbalance has to last before anything moves for it; shorter
    /// ones cost more warm state than they are worth.
    pub imbalance_hold: Duration,
    /// How full a new owner may become by the scopes of a lost one, in permille
    /// of its share.
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

/// Why a scope should move.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MoveReason {
    /// It has no owner that may keep it.
    Unassigned,
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
    pub reason: MoveReason,
}

/// Plans the moves of one service.
#[derive(Debug, Default)]
pub struct Planner {
    limits: PlannerLimits,
    budget: TokenBucket,
    /// Since when the imbalance has lasted.
    uneven_since: Option<Time>,
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
            proposals.push(draft.move_scope(next.scope, next.server, MoveReason::Balance));
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
