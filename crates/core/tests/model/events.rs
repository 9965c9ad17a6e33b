//! Transitions of the model: the passing of time, and the actions of instances.

use {
    super::{
        actors::Request,
        setup::{GRACE, START_TICK, Setup},
        state::{SearchNode, State},
        tables::Interner,
    },
    citron_core::{
        id::Revision,
        membership::{Membership, RoutingLease},
        ownership::{MoveEvent, ProtocolRules},
        time::Time,
    },
    std::cell::RefCell,
};

/// Generates the successors of a state.
#[derive(Debug)]
pub struct Model {
    pub setup: Setup,
    pub interner: RefCell<Interner>,
}

/// The successors found so far.
pub type Successors<R> = Vec<SearchNode<R>>;

impl Model {
    /// A model with the given bounds.
    pub fn new(setup: Setup) -> Self {
        let interner = RefCell::new(Interner::new(&setup));
        Self { setup, interner }
    }

    /// All states that one event leads to.
    pub fn successors<R: ProtocolRules>(&self, state: &State<R>) -> Successors<R> {
        let mut next = Successors::new();
        if state.violation.is_some() || self.is_quiescent(state) {
            return next;
        }
        self.advance_time(state, &mut next);
        self.begin_moves(state, &mut next);
        for process in 0..state.processes.len() {
            self.read_platform(state, process, &mut next);
            self.send_request(state, process, &mut next);
            self.relay_leases(state, process, &mut next);
            self.send_orders(state, process, &mut next);
        }
        self.expel_instance(state, &mut next);
        self.deliver_delayed(state, &mut next);
        for driver in 0..state.drivers.len() {
            self.run_driver(state, driver, &mut next);
        }
        next.retain(|node| node.state != *state);
        next
    }

    /// Whether no violation can follow any more: the table does not change, and no actor,
    /// request or commit is left that is based on an older one.
    fn is_quiescent<R: ProtocolRules>(&self, state: &State<R>) -> bool {
        let is_idle = |d: &super::actors::Driver<R>| d.mover.is_none() && d.commit.is_none();
        let is_current = |p: &super::actors::Process<R>| p.table == Some(state.table);
        let nothing_pending = state.remaining.moves == 0
            && state.pending_begin.is_none()
            && state.delayed_request.is_none();
        nothing_pending
            && self.owner(state.table).2
            && state.drivers.iter().all(is_idle)
            && state.processes.iter().all(is_current)
    }

    fn advance_time<R: ProtocolRules>(&self, state: &State<R>, next: &mut Successors<R>) {
        if state.now - START_TICK >= self.setup.max_ticks {
            return;
        }
        let mut later = state.clone();
        later.now += 1;
        if state.remaining.missed_ticks > 0 {
            for actor in 0..=state.processes.len() {
                let mut slow = later.clone();
                slow.clock_lag[actor] += 1;
                slow.remaining.missed_ticks -= 1;
                push(next, "miss a tick", actor, self.wake_drivers(slow));
            }
        }
        push(next, "tick", 0, self.wake_drivers(later));
    }

    /// Steps all movers at each tick. A mover that is stepped later would only commit
    /// later.
    fn wake_drivers<R: ProtocolRules>(&self, state: State<R>) -> State<R> {
        let mut state = self.drop_expired(state);
        self.refresh_leases(&mut state);
        for driver in 0..state.drivers.len() {
            self.step_mover(&mut state, driver, MoveEvent::Tick);
        }
        state
    }

    /// Lets every process with the newest table read it again now. It could do so at any
    /// time, and a longer lease only allows more runs.
    fn refresh_leases<R: ProtocolRules>(&self, state: &mut State<R>) {
        for actor in 0..state.processes.len() {
            if state.processes[actor].table == Some(state.table) {
                let now = state.clock(actor);
                self.apply_read(state, actor, now, state.table);
            }
        }
    }

    /// Drops what has expired. It makes no difference any more, and dropping it merges
    /// states.
    fn drop_expired<R: ProtocolRules>(&self, mut state: State<R>) -> State<R> {
        for actor in 0..state.processes.len() {
            let now = state.clock(actor);
            let process = &mut state.processes[actor];
            let relays_leases = self.setup.relays_leases;
            if !self.setup.is_fenced && !relays_leases && process.lease.end(true, GRACE) <= now {
                process.lease = RoutingLease::default();
            }
            let old = |at: Time| at + GRACE <= now;
            process.lease_asked_at = process.lease_asked_at.filter(|&at| !old(at));
        }
        state
    }

    /// Sends a request to the owner, if the lease allows; checking the lease and sending
    /// are one step.
    fn send_request<R: ProtocolRules>(
        &self,
        state: &State<R>,
        process: usize,
        next: &mut Successors<R>,
    ) {
        let Some(table) = state.processes[process].table else {
            return;
        };
        let (epoch, server, is_routable) = self.owner(table);
        let is_own_domain = self.domain(state, process) == server;
        let lease = &state.processes[process].lease;
        if !is_routable || !lease.allows(state.clock(process), is_own_domain, GRACE) {
            return;
        }
        let request = Request {
            sender: process,
            server,
            epoch,
            sent_at: state.now,
        };
        let mut run = state.clone();
        self.run_request(&mut run, request);
        push(next, "request runs", process, run);
        if state.delayed_request.is_none() && state.remaining.delayed_requests > 0 {
            let mut delayed = state.clone();
            delayed.remaining.delayed_requests -= 1;
            delayed.delayed_request = Some(request);
            push(next, "request delayed", process, delayed);
        }
    }

    /// The number of a process's domain; server 0 is in domain 0.
    pub fn domain<R: ProtocolRules>(&self, state: &State<R>, process: usize) -> usize {
        usize::from(state.processes[process].number == 1 && !self.setup.is_same_domain)
    }

    /// Relays leases to the unlisted incarnation, and takes its acknowledgements.
    fn relay_leases<R: ProtocolRules>(
        &self,
        state: &State<R>,
        process: usize,
        next: &mut Successors<R>,
    ) {
        let unlisted = state.processes.len() - 1;
        if !self.setup.relays_leases || process == unlisted {
            return;
        }
        let now = state.clock(unlisted);
        if state.processes[unlisted].lease_asked_at != Some(now) {
            let mut asked = state.clone();
            asked.processes[unlisted].lease_asked_at = Some(now);
            push(next, "ask for lease", unlisted, asked);
        }
        self.relay_lease(state, (process, unlisted), next);
        let revision = self.revision(state.processes[unlisted].table);
        let member = state.processes[unlisted].member();
        if self.may_ack(state, unlisted, revision) {
            let mut acked = state.clone();
            acked.processes[process]
                .relayed_leases
                .record_ack(&member, revision);
            push(next, "unlisted acknowledges", process, acked);
        }
    }

    fn relay_lease<R: ProtocolRules>(
        &self,
        state: &State<R>,
        (process, unlisted): (usize, usize),
        next: &mut Successors<R>,
    ) {
        let (Some(asked), Some(table)) = (
            state.processes[unlisted].lease_asked_at,
            state.processes[process].table,
        ) else {
            return;
        };
        let mut relayed = state.clone();
        let member = relayed.processes[unlisted].member();
        let is_listed = Membership::<R>::is_listed(self.interner.borrow().table(table), &member);
        let revision = self.revision(Some(table));
        if revision < self.revision(relayed.processes[unlisted].table) {
            return;
        }
        let now = state.clock(process);
        let lease = relayed.processes[process].lease;
        let relayed_leases = &mut relayed.processes[process].relayed_leases;
        let Some(remaining) =
            relayed_leases.relay(&member, is_listed, (revision, &lease), GRACE, now)
        else {
            return;
        };
        let unlisted = &mut relayed.processes[unlisted];
        unlisted.lease_asked_at = None;
        unlisted.table = Some(table);
        unlisted.lease = unlisted
            .lease
            .merge(RoutingLease::from_relay(asked, remaining));
        push(next, "relay lease", process, relayed);
    }

    /// Whether an instance may acknowledge a revision.
    pub fn may_ack<R: ProtocolRules>(
        &self,
        state: &State<R>,
        process: usize,
        revision: Revision,
    ) -> bool {
        let Some(table) = state.processes[process].table else {
            return false;
        };
        let (epoch, _, _) = self.owner(table);
        let unanswered = state
            .delayed_request
            .filter(|r| r.sender == process && r.epoch < epoch);
        let is_unanswered = unanswered.is_some() && !self.setup.is_fenced;
        let relayed_leases = &state.processes[process].relayed_leases;
        !is_unanswered && relayed_leases.is_settled(revision, state.clock(process))
    }

    /// Expels the second instance and removes its row.
    fn expel_instance<R: ProtocolRules>(&self, state: &State<R>, next: &mut Successors<R>) {
        if !self.setup.expels {
            return;
        }
        let commits = {
            let interner = self.interner.borrow();
            let process = &state.processes[0];
            let member = state.processes[1].member();
            let expel = Membership::<R>::expel(interner.table(state.table), &member);
            let known_table = process.table.map(|table| interner.table(table));
            let removals =
                known_table.map(|table| process.membership.remove_expelled(table, state.clock(0)));
            let expel = expel.filter(|_| state.now == START_TICK);
            let commits = expel.into_iter().chain(removals.unwrap_or_default());
            commits.collect::<Vec<_>>()
        };
        for commit in commits {
            let write = self.interner.borrow_mut().intern_commit(commit);
            let mut changed = state.clone();
            self.commit(&mut changed, write);
            push(next, "change membership", 0, changed);
        }
    }
}

/// Adds a successor.
pub fn push<R: ProtocolRules>(
    next: &mut Successors<R>,
    event_name: &'static str,
    actor: usize,
    state: State<R>,
) {
    let event = (event_name, actor);
    next.push(SearchNode { event, state });
}
