//! A mover, what it hears and what it asks for.

use {
    super::{
        cluster::{DEADLINE, commit, number},
        router::Router,
        scenario::{DOMAINS, Net},
        strategy::{Trial, Way},
    },
    citron_core::{
        id::Revision,
        ownership::{Ack, LeaseDurations, MoveAction, MoveEvent, Mover, ProtocolRules},
        table::Table,
        time::Time,
    },
    std::rc::Rc,
};

/// A move under way.
pub struct Task<R: ProtocolRules> {
    pub mover: Mover<R>,
    /// The old owner.
    owner: usize,
    seen: Time,
    since: Revision,
    /// When a majority of the owner's domain's confirmers had acknowledged.
    majority: Option<Time>,
    /// What the driver has to tell the mover next.
    pub reply: Option<MoveEvent>,
}

impl<R: ProtocolRules> Task<R> {
    pub fn new(mover: Mover<R>, (owner, since): (usize, Revision), seen: Time) -> Self {
        Self {
            mover,
            owner,
            seen,
            since,
            majority: None,
            reply: None,
        }
    }

    /// The acknowledgements that have come, and those that a way does without.
    pub fn acks(
        &mut self,
        trial: &Trial,
        net: &Net,
        leader: usize,
        routers: &[Router],
        now: Time,
    ) -> Vec<MoveEvent> {
        let missing = self.mover.unacknowledged();
        let free = trial.way == Way::Majority && self.is_free(routers, net, leader, now);
        let acks = missing.into_iter().filter_map(|member| {
            let router = &routers[number(member.instance.as_str())];
            let heard = net.hears(leader, router.instance);
            let other = trial.way == Way::Router && router.instance != self.owner;
            let revision = match (free || other, heard) {
                (true, _) => self.since,
                (false, true) if router.acked >= self.since => router.acked,
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

    /// The wait of way (a'): no vote is given under an older revision once a
    /// majority of confirmers has acknowledged, and what was confirmed before
    /// has run out a confirmation later; the last request is given its deadline.
    fn is_free(&mut self, routers: &[Router], net: &Net, leader: usize, now: Time) -> bool {
        let domain = self.owner % DOMAINS;
        let confirmers = routers.iter().filter(|r| r.instance % DOMAINS == domain);
        let confirmers: Vec<&Router> = confirmers.collect();
        let acked = confirmers.iter().filter(|router| {
            let heard = net.hears(leader, router.instance);
            heard && router.acked >= self.since
        });
        if acked.count() > confirmers.len() / 2 {
            self.majority.get_or_insert(now);
        }
        let wait = R::add_clock_margin(LeaseDurations::default().routing) + DEADLINE;
        let end = self.majority.map(|at| at.max(self.seen) + wait);
        end.is_some_and(|end| now >= end)
    }

    /// Does as the mover says; returns how many moves were done.
    pub fn act(
        &mut self,
        actions: Vec<MoveAction>,
        head: &mut Rc<Table>,
        routers: &mut [Router],
    ) -> usize {
        let mut done = 0;
        for action in actions {
            match action {
                MoveAction::RequestAck { instance, .. } => {
                    routers[number(instance.as_str())].asked = true;
                }
                MoveAction::Commit(last) => {
                    commit(head, last);
                    self.reply = Some(MoveEvent::CommitEnded);
                }
                MoveAction::Reread => self.reply = Some(MoveEvent::Reread),
                MoveAction::Done { .. } => done += 1,
                // Servers that do not check epochs get no orders.
                MoveAction::Revoke { .. } | MoveAction::Grant { .. } => {}
                MoveAction::Superseded => {}
            }
        }
        done
    }
}
