//! Transitions of the model: servers and movers.

use {
    super::{
        actors::{DelayedOrder, Request, Server, server_time},
        events::{Model, Successors, push},
        setup::{DURATIONS, GRACE},
        state::{State, Violation},
        tables::{INSTANCES, SCOPE, SERVERS},
    },
    citron_core::{
        id::{Epoch, Incarnation, Revision, ServerName},
        ownership::{Ack, GrantOrder, MoveAction, MoveEvent, Mover, ProtocolRules},
        table::{Row, RowKey, ServerRow, Table},
    },
    std::time::Duration,
};

/// Indexes in the clocks of a state of the first server and of the first driver.
const FIRST_SERVER_CLOCK: usize = 3;
const FIRST_DRIVER_CLOCK: usize = 5;
/// A request that reached the first owner before its process was paused. It may be run
/// repeatedly, which is no worse than once.
const QUEUED_REQUEST: Request = Request {
    sender: 0,
    server: 0,
    epoch: FIRST_EPOCH,
    sent_at: 0,
};
/// Asks a server for its clock.
const CLOCK_QUERY: GrantOrder = GrantOrder {
    boot: None,
    grants: Vec::new(),
    lease: None,
    revision: Revision(0),
};
/// The epoch of the first owner at the start.
const FIRST_EPOCH: Epoch = Epoch(1);

impl Model {
    fn server_clock<R: ProtocolRules>(&self, state: &State<R>, server: usize) -> Duration {
        server_time(state.now - state.clock_lag[FIRST_SERVER_CLOCK + server])
    }

    /// Delivers a request to its server.
    pub fn run_request<R: ProtocolRules>(&self, state: &mut State<R>, request: Request) {
        let server = request.server;
        let runs = match self.setup.is_fenced && server == 0 {
            true => state.servers[server].allows(request.epoch, self.server_clock(state, server)),
            false => state.now <= request.sent_at + self.setup.deadline_ticks,
        };
        if !runs {
            return;
        }
        let (epoch, owner) = state.last_run;
        let overlaps = request.epoch < epoch || (request.epoch == epoch && server != owner);
        if overlaps {
            state.violation = Some(Violation::TwoOwners);
        }
        // No epoch is lower than the first one, so it need not be recorded.
        if request.epoch > FIRST_EPOCH {
            state.last_run = (request.epoch, server);
        }
    }

    /// Delivers what was delayed, or restarts the first server.
    pub fn deliver_delayed<R: ProtocolRules>(&self, state: &State<R>, next: &mut Successors<R>) {
        if self.setup.is_fenced {
            let mut ran = state.clone();
            self.run_request(&mut ran, QUEUED_REQUEST);
            push(next, "queued request", 0, ran);
        }
        if let Some(request) = state.delayed_request {
            let mut ran = state.clone();
            ran.delayed_request = None;
            self.run_request(&mut ran, request);
            push(next, "late request", request.server, ran);
        }
        if let Some(late) = &state.delayed_order {
            let mut delivered = state.clone();
            delivered.delayed_order = None;
            let at = self.server_clock(state, late.server);
            delivered.servers[late.server].apply_order(&late.order, at);
            push(next, "late order", late.server, delivered);
        }
        if state.remaining.restarts > 0 {
            let mut started = state.clone();
            started.remaining.restarts -= 1;
            started.servers[0] = Server::new(state.servers[0].boot.0 + 1);
            push(next, "server restarts", 0, started);
        }
    }

    /// An instance asks the first owner for its clock and sends the grants that have
    /// changed. The order or its answer may be late.
    pub fn send_orders<R: ProtocolRules>(
        &self,
        state: &State<R>,
        process: usize,
        next: &mut Successors<R>,
    ) {
        if !self.setup.is_fenced || state.remaining.orders == 0 {
            return;
        }
        let mut asked = state.clone();
        asked.remaining.orders -= 1;
        self.exchange(&mut asked, process, &CLOCK_QUERY);
        let Some(order) = self
            .next_order(&asked, process)
            .filter(|o| o.boot.is_some())
        else {
            push(next, "ask clock", process, asked);
            return;
        };
        if state.delayed_order.is_none() {
            let mut delayed = asked.clone();
            delayed.delayed_order = Some(DelayedOrder {
                server: 0,
                order: order.clone(),
            });
            push(next, "order delayed", process, delayed);
        }
        self.exchange(&mut asked, process, &order);
        push(next, "order", process, asked);
    }

    fn exchange<R: ProtocolRules>(&self, state: &mut State<R>, process: usize, order: &GrantOrder) {
        let at = self.server_clock(state, 0);
        let reply = state.servers[0].apply_order(order, at);
        let now = state.clock(process);
        state.processes[process]
            .granter
            .record_reply(order, &reply, now);
    }

    fn next_order<R: ProtocolRules>(&self, state: &State<R>, process: usize) -> Option<GrantOrder> {
        let is_own_domain = self.domain(state, process) == 0;
        let process = &state.processes[process];
        let interner = self.interner.borrow();
        let table = interner.table(process.table?);
        let lease_end = process.lease.end(is_own_domain, GRACE);
        let row = server_row(table, 0);
        Some(
            process
                .granter
                .next_order(table, row, &process.lease, lease_end),
        )
    }

    /// Events of one mover.
    pub fn run_driver<R: ProtocolRules>(
        &self,
        state: &State<R>,
        driver: usize,
        next: &mut Successors<R>,
    ) {
        self.read_table(state, driver, next);
        self.finish_commit(state, driver, next);
        if state.drivers[driver].mover.is_none() {
            return;
        }
        for process in 0..state.processes.len() {
            let revision = self.revision(state.processes[process].table);
            if !self.may_ack(state, process, revision) {
                continue;
            }
            let ack = Ack {
                instance: INSTANCES[state.processes[process].number].parse().unwrap(),
                incarnation: Incarnation(state.processes[process].incarnation),
                revision,
            };
            let mut acked = state.clone();
            self.step_mover(&mut acked, driver, MoveEvent::Acked(ack));
            push(next, "acknowledge", process, acked);
        }
        if self.setup.can_revoke {
            self.revoke_owner(state, driver, next);
        }
    }

    fn read_table<R: ProtocolRules>(
        &self,
        state: &State<R>,
        driver: usize,
        next: &mut Successors<R>,
    ) {
        let mut read = state.clone();
        read.drivers[driver].table = state.table;
        if state.drivers[driver].mover.is_some() {
            self.step_mover(&mut read, driver, MoveEvent::Reread);
        } else {
            self.resume_move(&mut read, driver);
        }
        push(next, "mover reads", driver, read);
    }

    fn resume_move<R: ProtocolRules>(&self, state: &mut State<R>, driver: usize) {
        let now = state.clock(FIRST_DRIVER_CLOCK + driver);
        let resumed = {
            let interner = self.interner.borrow();
            let table = interner.table(state.drivers[driver].table);
            let service = "balances".parse().unwrap();
            Mover::<R>::resume(table, &service, SCOPE, DURATIONS, now)
        };
        if let Some((mover, actions)) = resumed {
            state.drivers[driver].mover = Some(mover);
            self.apply_actions(state, driver, actions);
        }
    }

    /// Applies the commit, or lets its sender stop waiting for the answer.
    fn finish_commit<R: ProtocolRules>(
        &self,
        state: &State<R>,
        driver: usize,
        next: &mut Successors<R>,
    ) {
        if let Some(write) = state.drivers[driver].commit {
            let mut done = state.clone();
            done.drivers[driver].commit = None;
            self.commit(&mut done, write);
            if !self.setup.loses_answers {
                done.drivers[driver].commit_ended = true;
                self.step_mover(&mut done, driver, MoveEvent::CommitEnded);
            }
            push(next, "move commits", driver, done);
        }
        if !state.drivers[driver].commit_ended && self.setup.loses_answers {
            let mut ended = state.clone();
            ended.drivers[driver].commit_ended = true;
            self.step_mover(&mut ended, driver, MoveEvent::CommitEnded);
            push(next, "commit ends", driver, ended);
        }
    }

    /// Revokes the old owner; its answer may be lost.
    fn revoke_owner<R: ProtocolRules>(
        &self,
        state: &State<R>,
        driver: usize,
        next: &mut Successors<R>,
    ) {
        let actions = {
            let interner = self.interner.borrow();
            let table = interner.table(state.drivers[driver].table);
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
                accepted &= lost.servers[number].apply_grant(grant.epoch, grant.kind);
            }
            let mut acknowledged = lost.clone();
            push(next, "revoke, answer lost", driver, lost);
            if accepted {
                let epoch = grants[0].epoch;
                self.step_mover(&mut acknowledged, driver, MoveEvent::Revoked { epoch });
                push(next, "revoke", driver, acknowledged);
            }
        }
    }

    /// Steps a mover and carries out its actions.
    pub fn step_mover<R: ProtocolRules>(
        &self,
        state: &mut State<R>,
        driver: usize,
        event: MoveEvent,
    ) {
        let now = state.clock(FIRST_DRIVER_CLOCK + driver);
        let actions = {
            let interner = self.interner.borrow();
            let table = interner.table(state.drivers[driver].table);
            let mover = state.drivers[driver].mover.as_mut();
            mover.map(|m| m.step(table, event, now)).unwrap_or_default()
        };
        self.apply_actions(state, driver, actions);
    }

    fn apply_actions<R: ProtocolRules>(
        &self,
        state: &mut State<R>,
        driver: usize,
        actions: Vec<MoveAction>,
    ) {
        for action in actions {
            let slot = &mut state.drivers[driver];
            match action {
                MoveAction::Commit(commit) => {
                    slot.commit = Some(self.interner.borrow_mut().intern_commit(commit));
                    slot.commit_ended = false;
                }
                MoveAction::Done { owner, epoch } => {
                    slot.mover = None;
                    slot.commit_ended = true;
                    state.last_done = state.last_done.max((epoch, server_number(&owner)));
                    self.check_done(state);
                }
                MoveAction::Superseded => {
                    slot.mover = None;
                    slot.commit_ended = true;
                }
                // Acknowledgements and revocations are separate events; instances grant
                // what their tables show.
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
