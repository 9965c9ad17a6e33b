//! What may happen next: time, and what instances do.

use {
    super::{
        actors::Request,
        setup::{GRACE, START, Setup},
        state::{Node, State},
        tables::World,
    },
    citron_core::{
        id::Revision,
        membership::{Confirmation, Roster},
        ownership::{MoveEvent, Rules},
        time::Time,
    },
    std::cell::RefCell,
};

/// Generates the states that follow a state.
#[derive(Debug)]
pub struct Model {
    pub setup: Setup,
    pub world: RefCell<World>,
}

/// The states that follow, as they are found.
pub type Next<R> = Vec<Node<R>>;

impl Model {
    /// A model within bounds.
    pub fn new(setup: Setup) -> Self {
        let world = RefCell::new(World::new(&setup));
        Self { setup, world }
    }

    /// All states that one event leads to.
    pub fn next<R: Rules>(&self, state: &State<R>) -> Next<R> {
        let mut next = Next::new();
        if state.broken.is_some() || self.is_settled(state) {
            return next;
        }
        self.pass_time(state, &mut next);
        self.operate(state, &mut next);
        for proc in 0..state.procs.len() {
            self.read(state, proc, &mut next);
            self.send(state, proc, &mut next);
            self.relay(state, proc, &mut next);
            self.order(state, proc, &mut next);
        }
        self.list(state, &mut next);
        self.arrive(state, &mut next);
        for driver in 0..state.drivers.len() {
            self.drive(state, driver, &mut next);
        }
        next.retain(|node| node.state != *state);
        next
    }

    /// Whether nothing can go wrong any more: the table stays as it is, and
    /// nothing is under way that knows an older one.
    fn is_settled<R: Rules>(&self, state: &State<R>) -> bool {
        let idle = |d: &super::actors::Driver<R>| d.mover.is_none() && d.commit.is_none();
        let fresh = |p: &super::actors::Proc<R>| p.table == Some(state.table);
        let all = state.left.moves == 0 && state.begun.is_none() && state.request.is_none();
        all && self.owner(state.table).2
            && state.drivers.iter().all(idle)
            && state.procs.iter().all(fresh)
    }

    fn pass_time<R: Rules>(&self, state: &State<R>, next: &mut Next<R>) {
        if state.now - START >= self.setup.ticks {
            return;
        }
        let mut later = state.clone();
        later.now += 1;
        if state.left.slips > 0 {
            for party in 0..=state.procs.len() {
                let mut slow = later.clone();
                slow.missed[party] += 1;
                slow.left.slips -= 1;
                push(next, "miss a tick", party, self.wake(slow));
            }
        }
        push(next, "tick", 0, self.wake(later));
    }

    /// Movers are woken by time; one that is late does no more than commit late.
    fn wake<R: Rules>(&self, state: State<R>) -> State<R> {
        let mut state = self.forget_past(state);
        self.refresh(&mut state);
        for driver in 0..state.drivers.len() {
            self.step(&mut state, driver, MoveEvent::Tick);
        }
        state
    }

    /// Whoever holds the newest table can read it again at any time, and more
    /// leave only allows more: let it have read just now.
    fn refresh<R: Rules>(&self, state: &mut State<R>) {
        for party in 0..state.procs.len() {
            if state.procs[party].table == Some(state.table) {
                let now = state.clock(party);
                self.take_read(state, party, now, state.table);
            }
        }
    }

    /// What has run out makes no difference any more; dropping it merges states.
    fn forget_past<R: Rules>(&self, mut state: State<R>) -> State<R> {
        for party in 0..state.procs.len() {
            let now = state.clock(party);
            let proc = &mut state.procs[party];
            let passed_on = self.setup.relays;
            if !self.setup.fenced && !passed_on && proc.leave.end(true, GRACE) <= now {
                proc.leave = Confirmation::default();
            }
            let old = |at: Time| at + GRACE <= now;
            proc.asked = proc.asked.filter(|&at| !old(at));
        }
        state
    }

    /// Sends a request to the owner, if the leave allows; the check and the
    /// write are one step.
    fn send<R: Rules>(&self, state: &State<R>, proc: usize, next: &mut Next<R>) {
        let Some(table) = state.procs[proc].table else {
            return;
        };
        let (epoch, server, open) = self.owner(table);
        let own = self.domain(state, proc) == server;
        let leave = &state.procs[proc].leave;
        if !open || !leave.allows(state.clock(proc), own, GRACE) {
            return;
        }
        let request = Request {
            from: proc,
            server,
            epoch,
            sent: state.now,
        };
        let mut ran = state.clone();
        self.run(&mut ran, request);
        push(next, "request runs", proc, ran);
        if state.request.is_none() && state.left.held > 0 {
            let mut held = state.clone();
            held.left.held -= 1;
            held.request = Some(request);
            push(next, "request held up", proc, held);
        }
    }

    /// The number of a process's domain; server 0 is in domain 0.
    pub fn domain<R: Rules>(&self, state: &State<R>, proc: usize) -> usize {
        usize::from(state.procs[proc].number == 1 && !self.setup.near)
    }

    /// Passes leave on to the unlisted start, and takes its acknowledgements.
    fn relay<R: Rules>(&self, state: &State<R>, proc: usize, next: &mut Next<R>) {
        let twin = state.procs.len() - 1;
        if !self.setup.relays || proc == twin {
            return;
        }
        let now = state.clock(twin);
        if state.procs[twin].asked != Some(now) {
            let mut asked = state.clone();
            asked.procs[twin].asked = Some(now);
            push(next, "ask for leave", twin, asked);
        }
        self.give(state, (proc, twin), next);
        let revision = self.revision(state.procs[twin].table);
        let member = state.procs[twin].member();
        if self.may_ack(state, twin, revision) {
            let mut acked = state.clone();
            acked.procs[proc].relays.acked(&member, revision);
            push(next, "unlisted acknowledges", proc, acked);
        }
    }

    fn give<R: Rules>(&self, state: &State<R>, (proc, twin): (usize, usize), next: &mut Next<R>) {
        let (Some(asked), Some(table)) = (state.procs[twin].asked, state.procs[proc].table) else {
            return;
        };
        let mut given = state.clone();
        let member = given.procs[twin].member();
        let listed = Roster::<R>::is_listed(self.world.borrow().table(table), &member);
        let revision = self.revision(Some(table));
        if revision < self.revision(given.procs[twin].table) {
            return;
        }
        let now = state.clock(proc);
        let leave = given.procs[proc].leave;
        let relays = &mut given.procs[proc].relays;
        let Some(left) = relays.give(&member, listed, (revision, &leave), GRACE, now) else {
            return;
        };
        let twin = &mut given.procs[twin];
        twin.asked = None;
        twin.table = Some(table);
        twin.leave = twin.leave.later(Confirmation::of_relay(asked, left));
        push(next, "give leave", proc, given);
    }

    /// Whether an instance may acknowledge a revision.
    pub fn may_ack<R: Rules>(&self, state: &State<R>, proc: usize, revision: Revision) -> bool {
        let Some(table) = state.procs[proc].table else {
            return false;
        };
        let (epoch, _, _) = self.owner(table);
        let sent = state.request.filter(|r| r.from == proc && r.epoch < epoch);
        let unanswered = sent.is_some() && !self.setup.fenced;
        let relays = &state.procs[proc].relays;
        !unanswered && relays.settled(revision, state.clock(proc))
    }

    /// Expels the second instance, and strikes it off.
    fn list<R: Rules>(&self, state: &State<R>, next: &mut Next<R>) {
        if !self.setup.expel {
            return;
        }
        let commits = {
            let world = self.world.borrow();
            let proc = &state.procs[0];
            let member = state.procs[1].member();
            let expel = Roster::<R>::expel(world.table(state.table), &member);
            let known = proc.table.map(|table| world.table(table));
            let clear = known.map(|table| proc.roster.clear(table, state.clock(0)));
            let expel = expel.filter(|_| state.now == START);
            let commits = expel.into_iter().chain(clear.unwrap_or_default());
            commits.collect::<Vec<_>>()
        };
        for commit in commits {
            let write = self.world.borrow_mut().keep(commit);
            let mut listed = state.clone();
            self.commit(&mut listed, write);
            push(next, "change the roster", 0, listed);
        }
    }
}

/// Adds a state.
pub fn push<R: Rules>(next: &mut Next<R>, what: &'static str, who: usize, state: State<R>) {
    let event = (what, who);
    next.push(Node { event, state });
}
