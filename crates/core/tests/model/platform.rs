//! Transitions of the model: commits to the table, and reads of it.

use {
    super::{
        events::{Model, Successors, push},
        setup::{DURATIONS, START_TICK},
        state::{State, Violation},
        tables::{CommitId, SCOPE, SERVERS, TableId},
    },
    citron_core::{
        id::{Epoch, Revision},
        membership::{Membership, RoutingLease},
        ownership::{Phase, ProtocolRules, assignment},
        time::Time,
    },
};

impl Model {
    /// Begins moves, as operators do. Each is based on the table at the time that the
    /// operator read it, and may be committed much later.
    pub fn begin_moves<R: ProtocolRules>(&self, state: &State<R>, next: &mut Successors<R>) {
        if let Some(write) = state.pending_begin {
            let mut later = state.clone();
            later.pending_begin = None;
            self.commit(&mut later, write);
            push(next, "begin commits", 0, later);
        }
        // The first move begins in the first tick: only what follows it matters, and
        // events of one tick may come in any order.
        let is_first = state.remaining.moves == self.setup.moves;
        let is_late = is_first && state.now > START_TICK && !self.setup.begins_late;
        if state.remaining.moves == 0 || state.pending_begin.is_some() || is_late {
            return;
        }
        let to = SERVERS[1 - self.owner(state.table).1];
        let to = to.parse().unwrap();
        let begun = {
            let interner = self.interner.borrow();
            let service = "balances".parse().unwrap();
            let table = interner.table(state.table);
            citron_core::ownership::begin_move_with::<R>(table, &service, SCOPE, &to)
        };
        let Ok(commit) = begun else { return };
        let write = self.interner.borrow_mut().intern_commit(commit);
        let mut later = state.clone();
        later.remaining.moves -= 1;
        if self.setup.moves > 1 {
            later.pending_begin = Some(write);
        } else {
            self.commit(&mut later, write);
        }
        push(next, "begin", 0, later);
    }

    /// Applies a commit if the row versions match, and checks the invariants that a
    /// commit may violate.
    pub fn commit<R: ProtocolRules>(&self, state: &mut State<R>, write: CommitId) {
        let after = self.interner.borrow_mut().commit(state.table, write);
        let Some(after) = after else { return };
        state.table = after;
        let (epoch, owner, is_routable) = self.owner(after);
        if epoch < state.last_owner.0
            || (is_routable && epoch == state.last_owner.0 && owner != state.last_owner.1)
        {
            state.violation = Some(Violation::EpochReused);
        }
        if is_routable {
            state.last_owner = (epoch, owner);
        }
        self.check_done(state);
    }

    /// Checks that the last move reported as done is still in the table or was followed
    /// by a later one.
    pub fn check_done<R: ProtocolRules>(&self, state: &mut State<R>) {
        let (epoch, owner, is_routable) = self.owner(state.table);
        let (done, to) = state.last_done;
        if epoch < done || (epoch == done && (!is_routable || owner != to)) {
            state.violation = Some(Violation::MoveLost);
        }
    }

    /// Epoch and owner in a table, and whether the owner gets requests.
    pub fn owner(&self, table: TableId) -> (Epoch, usize, bool) {
        let interner = self.interner.borrow();
        let service = "balances".parse().unwrap();
        let found = assignment(interner.table(table), &service, SCOPE).unwrap();
        let owner = usize::from(found.value.owner.id() == SERVERS[1]);
        let is_routable = found.value.phase == Phase::Owned;
        (found.value.epoch, owner, is_routable)
    }

    pub fn revision(&self, table: Option<TableId>) -> Revision {
        let interner = self.interner.borrow();
        table.map_or(Revision(0), |id| interner.table(id).revision())
    }

    /// Reads the platform; the answer may be delayed. In the worst case the answer is the
    /// table at the start of the read.
    pub fn read_platform<R: ProtocolRules>(
        &self,
        state: &State<R>,
        process: usize,
        next: &mut Successors<R>,
    ) {
        let now = state.clock(process);
        let mut read = state.clone();
        self.apply_read(&mut read, process, now, state.table);
        push(next, "read", process, read);
        if let Some((begun, table)) = state.processes[process].pending_read {
            let mut late = state.clone();
            late.processes[process].pending_read = None;
            self.apply_read(&mut late, process, begun, table);
            push(next, "late read", process, late);
        } else if state.remaining.delayed_reads > 0 {
            let mut delayed = state.clone();
            delayed.remaining.delayed_reads -= 1;
            delayed.processes[process].pending_read = Some((now, state.table));
            push(next, "begin read", process, delayed);
        }
    }

    pub fn apply_read<R: ProtocolRules>(
        &self,
        state: &mut State<R>,
        process: usize,
        begun: Time,
        table: TableId,
    ) {
        let now = state.clock(process);
        let is_older = self.revision(Some(table)) < self.revision(state.processes[process].table);
        let process = &mut state.processes[process];
        if is_older {
            return;
        }
        process.table = Some(table);
        let interner = self.interner.borrow();
        let table = interner.table(table);
        process.membership.observe(table, now);
        if !Membership::<R>::is_listed(table, &process.member()) {
            let expelled = process.incarnation == 1;
            process.lease = if expelled {
                RoutingLease::default()
            } else {
                process.lease
            };
            return;
        }
        let read = RoutingLease::from_read_with::<R>(begun, now, DURATIONS);
        process.lease = process.lease.merge(read);
    }
}
