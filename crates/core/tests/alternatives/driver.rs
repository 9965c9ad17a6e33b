//! The instance that plans and moves: expulsions, plans, hot keys and movers.

use {
    super::{
        cluster::{Keys, SERVERS, commit, number, service},
        router::Router,
        scenario::{FAULT, Net, Scenario},
        task::Task,
        strategy::Trial,
    },
    citron_core::{
        id::{Revision, ServerName, ShardId},
        membership::{Member, Membership},
        ownership::{
            LeaseDurations, MoveEvent, Mover, Phase, ProtocolRules, Scope, assignment, begin_move,
        },
        placement::{
            Candidate, HotKeyChange, HotKeyTracker, Load, Planner, ScopeLoad, ServiceView,
            warmup_percent,
        },
        table::{Row, RowKey, ServerRow, ServerState, Table},
        time::Time,
    },
    std::{collections::BTreeMap, rc::Rc, time::Duration},
};

/// The pause between two plans for balance; a server lost or gained is planned
/// for at once.
const PLAN_PAUSE: Duration = Duration::from_secs(1);
/// An instance that the platform lists no more is expelled after so long.
const EXPEL_AFTER: Duration = Duration::from_secs(10);

pub struct Driver<R: ProtocolRules> {
    pub leader: usize,
    pub moved: usize,
    roster: Membership<R>,
    planner: Planner,
    hot: HotKeyTracker,
    /// The servers of the last plan, and when it was made.
    planned: (Vec<usize>, Time),
    /// The table whose releases have been taken up.
    known: Revision,
    tasks: BTreeMap<Scope, Task<R>>,
}

impl<R: ProtocolRules> Driver<R> {
    pub fn new(leader: usize) -> Self {
        Self {
            leader,
            moved: 0,
            roster: Membership::new(LeaseDurations::default()),
            planner: Planner::default(),
            hot: HotKeyTracker::default(),
            planned: (Vec::new(), Time::ZERO),
            known: Revision(0),
            tasks: BTreeMap::new(),
        }
    }

    pub fn step(
        &mut self,
        trial: &Trial,
        net: &Net,
        keys: &Keys,
        (head, routers): (&mut Rc<Table>, &mut [Router]),
        now: Time,
    ) {
        self.expel(net, head, now);
        self.run_movers(trial, net, (head, routers), now);
        self.plan(&routers[self.leader], keys, head, now);
        if trial.scenario == Scenario::HotKey && net.begun() {
            self.cool(keys, head, now);
        }
    }

    fn expel(&mut self, net: &Net, head: &mut Rc<Table>, now: Time) {
        self.roster.observe(head, now);
        let late = net.since.is_some_and(|since| since >= EXPEL_AFTER);
        for member in members(head) {
            let gone = late && !net.instance_up(number(member.instance.as_str()));
            let expel = Membership::<R>::expel(head, &member);
            if let Some(expel) = expel.filter(|_| gone) {
                commit(head, expel);
            }
        }
        for strike in self.roster.remove_expelled(head, now) {
            commit(head, strike);
        }
    }

    fn plan(&mut self, leader: &Router, keys: &Keys, head: &mut Rc<Table>, now: Time) {
        let usable = usable(leader, head, now).map(|row| number(row.name.id()));
        let usable: Vec<usize> = usable.collect();
        if usable == self.planned.0 && now - self.planned.1 < PLAN_PAUSE {
            return;
        }
        self.planned = (usable, now);
        let view = view(leader, keys, head, now);
        for proposal in self.planner.plan(&view, now) {
            let begun = begin_move(head, &service(), proposal.scope, &proposal.to);
            if let Ok(begun) = begun {
                commit(head, begun);
            }
        }
    }

    /// Takes the key that has turned hot out of its shard.
    fn cool(&mut self, keys: &Keys, head: &mut Rc<Table>, now: Time) {
        let watched = [(keys.hot, Load(keys.heat), is_out(head, keys))];
        let loads = loads(head, keys);
        let mean = loads.values().sum::<u64>() / loads.len() as u64;
        let changes = self.hot.update(&watched, Load(mean), now);
        let emptiest = loads.iter().min_by_key(|(_, load)| **load);
        for change in changes {
            if let (HotKeyChange::Extract(key), Some((to, _))) = (change, emptiest) {
                // Refused while its shard moves; then it is tried again.
                let begun = begin_move(head, &service(), Scope::Key(key), to);
                if let Ok(begun) = begun {
                    commit(head, begun);
                }
            }
        }
    }

    fn run_movers(
        &mut self,
        trial: &Trial,
        net: &Net,
        (head, routers): (&mut Rc<Table>, &mut [Router]),
        now: Time,
    ) {
        self.take_up(head, routers, now);
        let leader = self.leader;
        for task in self.tasks.values_mut() {
            let acks = task.acks(trial, net, leader, routers, now);
            let due = task.mover.next_wakeup().is_some_and(|wake| now >= wake);
            let tick = due.then_some(MoveEvent::Tick);
            let events = task.reply.take().into_iter().chain(tick);
            let events: Vec<MoveEvent> = events.chain(acks).collect();
            for event in events {
                let actions = task.mover.step(head, event, now);
                self.moved += task.act(actions, head, routers);
            }
        }
        self.tasks.retain(|_, task| !task.mover.is_done());
    }

    fn take_up(&mut self, head: &mut Rc<Table>, routers: &mut [Router], now: Time) {
        if head.revision() == self.known {
            return;
        }
        self.known = head.revision();
        for (scope, owner) in releasing(head) {
            if self.tasks.contains_key(&scope) {
                continue;
            }
            let spans = LeaseDurations::default();
            let taken = Mover::<R>::resume(head, &service(), scope, spans, now);
            let since = assignment(head, &service(), scope).unwrap().version;
            let (mover, actions) = taken.unwrap();
            let mut task = Task::new(mover, (owner, since), now);
            self.moved += task.act(actions, head, routers);
            self.tasks.insert(scope, task);
        }
    }
}

fn members(table: &Table) -> Vec<Member> {
    let members = table.rows().filter_map(|(_, row)| match &row.value {
        Row::Instance(row) => Some(Member::from_row(row)),
        _ => None,
    });
    members.collect()
}

fn releasing(table: &Table) -> Vec<(Scope, usize)> {
    let mut found = Vec::new();
    for (key, row) in table.rows() {
        let first = match key {
            RowKey::Block(_, block) => block.first_shard().0,
            _ => 0,
        };
        let assigned = match &row.value {
            Row::Block(row) => row.shards.iter().collect(),
            Row::Override(row) => vec![&row.owner],
            _ => Vec::new(),
        };
        for (index, assigned) in assigned.into_iter().enumerate() {
            let scope = match key {
                RowKey::Override(_, hash) => Scope::Key(*hash),
                _ => Scope::Shard(ShardId(first + index as u32)),
            };
            if matches!(assigned.phase, Phase::Releasing { .. }) {
                found.push((scope, number(assigned.owner.id())));
            }
        }
    }
    found
}

/// The servers that are to own something.
fn active(table: &Table) -> impl Iterator<Item = &ServerRow> {
    table.rows().filter_map(|(_, row)| match &row.value {
        Row::Server(row) if row.state == ServerState::Active => Some(row),
        _ => None,
    })
}

/// Whether the hot key is owned alone.
fn is_out(table: &Table, keys: &Keys) -> bool {
    assignment(table, &service(), Scope::Key(keys.hot)).is_some()
}

/// The servers that may own, as the leader sees them.
fn usable<'a>(
    leader: &'a Router,
    table: &'a Table,
    now: Time,
) -> impl Iterator<Item = &'a ServerRow> {
    active(table).filter(move |row| !leader.misses(number(row.name.id()), now))
}

fn view(leader: &Router, keys: &Keys, table: &Table, now: Time) -> ServiceView {
    let usable = usable(leader, table, now);
    let servers = usable.map(|row| Candidate {
        name: row.name.clone(),
        weight: row.weight,
        warmup_percent: match number(row.name.id()) {
            SERVERS => warmup_percent(Time::ZERO + FAULT, now),
            _ => 100,
        },
        rate_cap: None,
    });
    let scopes = keys.scopes(is_out(table, keys)).into_iter();
    let scopes = scopes.map(|(scope, load)| {
        let found = assignment(table, &service(), scope).map(|found| found.value);
        ScopeLoad {
            scope,
            owner: found.as_ref().map(|found| found.owner.clone()),
            load: Load(load),
            rate: 0,
            is_moving: found.is_some_and(|found| !found.is_routable()),
        }
    });
    let row = table.get(&RowKey::Service(service()));
    let Some(Row::Service(row)) = row.map(|found| &found.value) else {
        panic!("the service has a row");
    };
    ServiceView {
        servers: servers.collect(),
        scopes: scopes.collect(),
        move_budget: row.move_budget,
    }
}

/// Load of each active server, by the owners of the table.
pub fn loads(table: &Table, keys: &Keys) -> BTreeMap<ServerName, u64> {
    let mut loads: BTreeMap<ServerName, u64> =
        active(table).map(|row| (row.name.clone(), 0)).collect();
    for (scope, load) in keys.scopes(is_out(table, keys)) {
        let owner = assignment(table, &service(), scope).unwrap().value.owner;
        if let Some(sum) = loads.get_mut(&owner) {
            *sum += load;
        }
    }
    loads
}
