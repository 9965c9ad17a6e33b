//! What may happen next: commits to the table, and reads of it.

use {
    super::{
        events::{Model, Next, push},
        setup::{SPANS, START},
        state::{Broken, State},
        tables::{SCOPE, SERVERS, TableId, WriteId},
    },
    citron_core::{
        id::{Epoch, Revision},
        membership::{Confirmation, Roster},
        ownership::{Phase, Rules, assignment},
        time::Time,
    },
};

impl Model {
    /// Operators begin moves; each is decided by the table as it was when the
    /// operator looked, and may be committed much later.
    pub fn operate<R: Rules>(&self, state: &State<R>, next: &mut Next<R>) {
        if let Some(write) = state.begun {
            let mut later = state.clone();
            later.begun = None;
            self.commit(&mut later, write);
            push(next, "begin commits", 0, later);
        }
        // The first move is begun at once: only what follows it matters, and
        // within a tick everything may come in any order.
        let first = state.left.moves == self.setup.moves;
        let late = first && state.now > START && !self.setup.late;
        if state.left.moves == 0 || state.begun.is_some() || late {
            return;
        }
        let to = SERVERS[1 - self.owner(state.table).1];
        let to = to.parse().unwrap();
        let begun = {
            let world = self.world.borrow();
            let service = "balances".parse().unwrap();
            let table = world.table(state.table);
            citron_core::ownership::begin_move_by::<R>(table, &service, SCOPE, &to)
        };
        let Ok(commit) = begun else { return };
        let write = self.world.borrow_mut().keep(commit);
        let mut later = state.clone();
        later.left.moves -= 1;
        if self.setup.moves > 1 {
            later.begun = Some(write);
        } else {
            self.commit(&mut later, write);
        }
        push(next, "begin", 0, later);
    }

    /// Commits if the versions allow, and checks what a commit can break.
    pub fn commit<R: Rules>(&self, state: &mut State<R>, write: WriteId) {
        let after = self.world.borrow_mut().commit(state.table, write);
        let Some(after) = after else { return };
        state.table = after;
        let (epoch, owner, open) = self.owner(after);
        if epoch < state.owned.0 || (open && epoch == state.owned.0 && owner != state.owned.1) {
            state.broken = Some(Broken::EpochReused);
        }
        if open {
            state.owned = (epoch, owner);
        }
        self.check_done(state);
    }

    /// What was reported done is still there, or was built upon.
    pub fn check_done<R: Rules>(&self, state: &mut State<R>) {
        let (epoch, owner, open) = self.owner(state.table);
        let (done, to) = state.done;
        if epoch < done || (epoch == done && (!open || owner != to)) {
            state.broken = Some(Broken::DoneLost);
        }
    }

    /// Epoch, owner and whether it takes requests, in a table.
    pub fn owner(&self, table: TableId) -> (Epoch, usize, bool) {
        let world = self.world.borrow();
        let service = "balances".parse().unwrap();
        let found = assignment(world.table(table), &service, SCOPE).unwrap();
        let owner = usize::from(found.value.owner.id() == SERVERS[1]);
        let open = found.value.phase == Phase::Owned;
        (found.value.epoch, owner, open)
    }

    pub fn revision(&self, table: Option<TableId>) -> Revision {
        let world = self.world.borrow();
        table.map_or(Revision(0), |id| world.table(id).revision())
    }

    /// Reads the platform; the answer may be held up. The worst answer is what
    /// the table was when the read was begun.
    pub fn read<R: Rules>(&self, state: &State<R>, proc: usize, next: &mut Next<R>) {
        let now = state.clock(proc);
        let mut read = state.clone();
        self.take_read(&mut read, proc, now, state.table);
        push(next, "read", proc, read);
        if let Some((begun, table)) = state.procs[proc].read {
            let mut late = state.clone();
            late.procs[proc].read = None;
            self.take_read(&mut late, proc, begun, table);
            push(next, "late read", proc, late);
        } else if state.left.reads > 0 {
            let mut held = state.clone();
            held.left.reads -= 1;
            held.procs[proc].read = Some((now, state.table));
            push(next, "begin read", proc, held);
        }
    }

    pub fn take_read<R: Rules>(
        &self,
        state: &mut State<R>,
        proc: usize,
        begun: Time,
        table: TableId,
    ) {
        let now = state.clock(proc);
        let older = self.revision(Some(table)) < self.revision(state.procs[proc].table);
        let proc = &mut state.procs[proc];
        if older {
            return;
        }
        proc.table = Some(table);
        let world = self.world.borrow();
        let table = world.table(table);
        proc.roster.see(table, now);
        if !Roster::<R>::is_listed(table, &proc.member()) {
            let expelled = proc.incarnation == 1;
            proc.leave = if expelled {
                Confirmation::default()
            } else {
                proc.leave
            };
            return;
        }
        let read = Confirmation::of_read_by::<R>(begun, now, SPANS);
        proc.leave = proc.leave.later(read);
    }
}
