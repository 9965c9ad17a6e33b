//! What may happen next: servers and movers.

use {
    super::{
        actors::{Late, Request, Server, clock},
        events::{Model, Next, push},
        setup::{GRACE, SPANS},
        state::{Broken, State},
        tables::{INSTANCES, SCOPE, SERVERS},
    },
    citron_core::{
        id::{Epoch, Incarnation, Revision, ServerName},
        ownership::{Ack, MoveAction, MoveEvent, Mover, Order, Rules},
        table::{Row, RowKey, ServerRow, Table},
    },
    std::time::Duration,
};

/// Parties before the servers, and before the drivers.
const SERVER_CLOCKS: usize = 3;
const DRIVER_CLOCKS: usize = 5;
/// A request that reached the first owner before it froze. It may be run again
/// and again: running it once is no worse.
const QUEUED: Request = Request {
    from: 0,
    server: 0,
    epoch: FIRST,
    sent: 0,
};
/// Asks a server for its clock.
const ASK: Order = Order {
    boot: None,
    grants: Vec::new(),
    lease: None,
    revision: Revision(0),
};
/// The epoch that the first owner starts with.
const FIRST: Epoch = Epoch(1);

impl Model {
    fn server_clock<R: Rules>(&self, state: &State<R>, server: usize) -> Duration {
        clock(state.now - state.missed[SERVER_CLOCKS + server])
    }

    /// A request reaches its server.
    pub fn run<R: Rules>(&self, state: &mut State<R>, request: Request) {
        let server = request.server;
        let runs = match self.setup.fenced && server == 0 {
            true => state.servers[server].allows(request.epoch, self.server_clock(state, server)),
            false => state.now <= request.sent + self.setup.deadline,
        };
        if !runs {
            return;
        }
        let (epoch, owner) = state.ran;
        let two = request.epoch < epoch || (request.epoch == epoch && server != owner);
        if two {
            state.broken = Some(Broken::TwoOwners);
        }
        // Nothing can be older than the first epoch, so that it need not be told.
        if request.epoch > FIRST {
            state.ran = (request.epoch, server);
        }
    }

    /// What was held up arrives, or a server restarts.
    pub fn arrive<R: Rules>(&self, state: &State<R>, next: &mut Next<R>) {
        if self.setup.fenced {
            let mut ran = state.clone();
            self.run(&mut ran, QUEUED);
            push(next, "queued request", 0, ran);
        }
        if let Some(request) = state.request {
            let mut ran = state.clone();
            ran.request = None;
            self.run(&mut ran, request);
            push(next, "late request", request.server, ran);
        }
        if let Some(late) = &state.late {
            let mut taken = state.clone();
            taken.late = None;
            let at = self.server_clock(state, late.server);
            taken.servers[late.server].take(&late.order, at);
            push(next, "late order", late.server, taken);
        }
        if state.left.boots > 0 {
            let mut started = state.clone();
            started.left.boots -= 1;
            started.servers[0] = Server::new(state.servers[0].boot.0 + 1);
            push(next, "server restarts", 0, started);
        }
    }

    /// An instance asks the first owner for its clock and brings it up to date;
    /// the order, or its answer, may be late.
    pub fn order<R: Rules>(&self, state: &State<R>, proc: usize, next: &mut Next<R>) {
        if !self.setup.fenced || state.left.orders == 0 {
            return;
        }
        let mut asked = state.clone();
        asked.left.orders -= 1;
        self.exchange(&mut asked, proc, &ASK);
        let Some(order) = self.next_order(&asked, proc).filter(|o| o.boot.is_some()) else {
            push(next, "ask clock", proc, asked);
            return;
        };
        if state.late.is_none() {
            let mut held = asked.clone();
            held.late = Some(Late {
                server: 0,
                order: order.clone(),
            });
            push(next, "order held up", proc, held);
        }
        self.exchange(&mut asked, proc, &order);
        push(next, "order", proc, asked);
    }

    fn exchange<R: Rules>(&self, state: &mut State<R>, proc: usize, order: &Order) {
        let at = self.server_clock(state, 0);
        let reply = state.servers[0].take(order, at);
        let now = state.clock(proc);
        state.procs[proc].granter.answered(order, &reply, now);
    }

    fn next_order<R: Rules>(&self, state: &State<R>, proc: usize) -> Option<Order> {
        let own = self.domain(state, proc) == 0;
        let proc = &state.procs[proc];
        let world = self.world.borrow();
        let table = world.table(proc.table?);
        let leave = proc.leave.end(own, GRACE);
        let row = server_row(table, 0);
        Some(proc.granter.order(table, row, &proc.leave, leave))
    }

    /// What a mover does and hears.
    pub fn drive<R: Rules>(&self, state: &State<R>, driver: usize, next: &mut Next<R>) {
        self.drive_read(state, driver, next);
        self.drive_commit(state, driver, next);
        if state.drivers[driver].mover.is_none() {
            return;
        }
        for proc in 0..state.procs.len() {
            let revision = self.revision(state.procs[proc].table);
            if !self.may_ack(state, proc, revision) {
                continue;
            }
            let ack = Ack {
                instance: INSTANCES[state.procs[proc].number].parse().unwrap(),
                incarnation: Incarnation(state.procs[proc].incarnation),
                revision,
            };
            let mut acked = state.clone();
            self.step(&mut acked, driver, MoveEvent::Acked(ack));
            push(next, "acknowledge", proc, acked);
        }
        if self.setup.revokes {
            self.drive_revoke(state, driver, next);
        }
    }

    fn drive_read<R: Rules>(&self, state: &State<R>, driver: usize, next: &mut Next<R>) {
        let mut read = state.clone();
        read.drivers[driver].table = state.table;
        if state.drivers[driver].mover.is_some() {
            self.step(&mut read, driver, MoveEvent::Reread);
        } else {
            self.take_up(&mut read, driver);
        }
        push(next, "mover reads", driver, read);
    }

    fn take_up<R: Rules>(&self, state: &mut State<R>, driver: usize) {
        let now = state.clock(DRIVER_CLOCKS + driver);
        let taken = {
            let world = self.world.borrow();
            let table = world.table(state.drivers[driver].table);
            let service = "balances".parse().unwrap();
            Mover::<R>::take_up(table, &service, SCOPE, SPANS, now)
        };
        if let Some((mover, actions)) = taken {
            state.drivers[driver].mover = Some(mover);
            self.act(state, driver, actions);
        }
    }

    /// The commit takes effect, or its sender gives up on the answer.
    fn drive_commit<R: Rules>(&self, state: &State<R>, driver: usize, next: &mut Next<R>) {
        if let Some(write) = state.drivers[driver].commit {
            let mut done = state.clone();
            done.drivers[driver].commit = None;
            self.commit(&mut done, write);
            if !self.setup.lossy {
                done.drivers[driver].ended = true;
                self.step(&mut done, driver, MoveEvent::CommitEnded);
            }
            push(next, "move commits", driver, done);
        }
        if !state.drivers[driver].ended && self.setup.lossy {
            let mut ended = state.clone();
            ended.drivers[driver].ended = true;
            self.step(&mut ended, driver, MoveEvent::CommitEnded);
            push(next, "commit ends", driver, ended);
        }
    }

    /// The old owner is revoked; its answer may be lost.
    fn drive_revoke<R: Rules>(&self, state: &State<R>, driver: usize, next: &mut Next<R>) {
        let actions = {
            let world = self.world.borrow();
            let table = world.table(state.drivers[driver].table);
            let mover = state.drivers[driver].mover.as_ref();
            mover.map(|m| m.revoke(table)).unwrap_or_default()
        };
        for action in actions {
            let MoveAction::Revoke { server, grants } = action else {
                continue;
            };
            let mut lost = state.clone();
            let number = server_number(&server);
            let mut accepted = true;
            for grant in &grants {
                accepted &= lost.servers[number].take_grant(grant.epoch, grant.kind);
            }
            let mut heard = lost.clone();
            push(next, "revoke, answer lost", driver, lost);
            if accepted {
                let epoch = grants[0].epoch;
                self.step(&mut heard, driver, MoveEvent::Revoked { epoch });
                push(next, "revoke", driver, heard);
            }
        }
    }

    /// Steps a mover and does what it asks for.
    pub fn step<R: Rules>(&self, state: &mut State<R>, driver: usize, event: MoveEvent) {
        let now = state.clock(DRIVER_CLOCKS + driver);
        let actions = {
            let world = self.world.borrow();
            let table = world.table(state.drivers[driver].table);
            let mover = state.drivers[driver].mover.as_mut();
            mover.map(|m| m.step(table, event, now)).unwrap_or_default()
        };
        self.act(state, driver, actions);
    }

    fn act<R: Rules>(&self, state: &mut State<R>, driver: usize, actions: Vec<MoveAction>) {
        for action in actions {
            let slot = &mut state.drivers[driver];
            match action {
                MoveAction::Commit(commit) => {
                    slot.commit = Some(self.world.borrow_mut().keep(commit));
                    slot.ended = false;
                }
                MoveAction::Done { owner, epoch } => {
                    slot.mover = None;
                    slot.ended = true;
                    state.done = state.done.max((epoch, server_number(&owner)));
                    self.check_done(state);
                }
                MoveAction::Superseded => {
                    slot.mover = None;
                    slot.ended = true;
                }
                // Acknowledgements and revocations are events of their own;
                // instances grant what their tables say.
                _ => {}
            }
        }
    }
}

fn server_number(server: &ServerName) -> usize {
    usize::from(server.id() == SERVERS[1])
}

fn server_row(table: &Table, server: usize) -> &ServerRow {
    let key = RowKey::Server(SERVERS[server].parse().unwrap());
    match &table.get(&key).unwrap().value {
        Row::Server(row) => row,
        _ => unreachable!(),
    }
}
