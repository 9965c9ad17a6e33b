//! A move in progress: a production mover, the events it receives and the actions it requests.

use {
    super::{
        cluster::{DEADLINE, commit, parse_number},
        router::Router,
        scenario::{DOMAINS, FaultState},
        strategy::{Strategy, Trial},
    },
    citron_core::{
        id::Revision,
        ownership::{Ack, LeaseDurations, MoveAction, MoveEvent, Mover, ProtocolRules},
        table::Table,
        time::Time,
    },
    std::rc::Rc,
};

/// A move in progress.
pub struct Task<R: ProtocolRules> {
    /// State machine of the move.
    pub mover: Mover<R>,
    /// Number of the server that releases the scope.
    old_owner: usize,
    /// Time at which the leader saw the release.
    observed: Time,
    /// Table revision of the release.
    release_revision: Revision,
    /// Time at which a majority of the confirmers of the owner's domain had acknowledged.
    majority_at: Option<Time>,
    /// Event for the mover in the next step.
    pub pending_event: Option<MoveEvent>,
}

impl<R: ProtocolRules> Task<R> {
    /// A task for a mover that has just been started.
    pub fn new(
        mover: Mover<R>,
        (old_owner, release_revision): (usize, Revision),
        observed: Time,
    ) -> Self {
        Self {
            mover,
            old_owner,
            observed,
            release_revision,
            majority_at: None,
            pending_event: None,
        }
    }

    /// Acknowledgements that have arrived, and those that the strategy does not require.
    pub fn acks(
        &mut self,
        trial: &Trial,
        faults: &FaultState,
        leader: usize,
        routers: &[Router],
        now: Time,
    ) -> Vec<MoveEvent> {
        let missing = self.mover.unacknowledged();
        let is_settled = trial.strategy == Strategy::Majority
            && self.is_majority_wait_over(routers, faults, leader, now);
        let acks = missing.into_iter().filter_map(|member| {
            let router = &routers[parse_number(member.instance.as_str())];
            let is_reachable = faults.can_reach(leader, router.instance);
            let is_other_router =
                trial.strategy == Strategy::RouterPerServer && router.instance != self.old_owner;
            let revision = match (is_settled || is_other_router, is_reachable) {
                (true, _) => self.release_revision,
                (false, true) if router.acked_revision >= self.release_revision => {
                    router.acked_revision
                }
                _ => return None,
            };
            Some(MoveEvent::Acked(Ack {
                instance: member.instance,
                incarnation: member.incarnation,
                revision,
            }))
        });
        acks.collect()
    }

    /// Whether the wait of strategy (a') has ended. Once a majority of the confirmers has
    /// acknowledged the release, no lease can be confirmed under an older revision. Leases
    /// confirmed before end after one lease duration with clock margin, and the last request
    /// under them after its deadline.
    fn is_majority_wait_over(
        &mut self,
        routers: &[Router],
        faults: &FaultState,
        leader: usize,
        now: Time,
    ) -> bool {
        let domain = self.old_owner % DOMAINS;
        let confirmers = routers.iter().filter(|r| r.instance % DOMAINS == domain);
        let confirmers: Vec<&Router> = confirmers.collect();
        let acked = confirmers.iter().filter(|router| {
            let is_reachable = faults.can_reach(leader, router.instance);
            is_reachable && router.acked_revision >= self.release_revision
        });
        if acked.count() > confirmers.len() / 2 {
            self.majority_at.get_or_insert(now);
        }
        let wait = R::add_clock_margin(LeaseDurations::default().routing) + DEADLINE;
        let end = self.majority_at.map(|at| at.max(self.observed) + wait);
        end.is_some_and(|end| now >= end)
    }

    /// Carries out the mover's actions; returns the number of moves that have ended.
    pub fn apply_actions(
        &mut self,
        actions: Vec<MoveAction>,
        platform_table: &mut Rc<Table>,
        routers: &mut [Router],
    ) -> usize {
        let mut done = 0;
        for action in actions {
            match action {
                MoveAction::RequestAck { instance, .. } => {
                    routers[parse_number(instance.as_str())].is_ack_requested = true;
                }
                MoveAction::Commit(last) => {
                    commit(platform_table, last);
                    self.pending_event = Some(MoveEvent::CommitEnded);
                }
                MoveAction::Reread => self.pending_event = Some(MoveEvent::Reread),
                MoveAction::Done { .. } => done += 1,
                // No orders are sent to servers that do not check epochs.
                MoveAction::Revoke { .. } | MoveAction::Grant { .. } => {}
                MoveAction::Superseded => {}
            }
        }
        done
    }
}
