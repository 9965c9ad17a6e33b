//! The leading instance: expels lost instances, plans moves, extracts the hot key and steps
//! the movers, with the production components for each.

use {
    super::{
        cluster::{KeyLoads, SERVER_COUNT, commit, parse_number, service_name},
        router::Router,
        scenario::{FAULT_START, FaultState, Scenario},
        strategy::Trial,
        task::Task,
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

/// Interval between plans for balance. A change of the set of usable servers is planned for
/// without delay.
const PLAN_INTERVAL: Duration = Duration::from_secs(1);
/// Time after the fault at which a lost instance, which the platform no longer lists, is expelled.
const EXPEL_AFTER: Duration = Duration::from_secs(10);

/// Control loop of the leading instance, under the protocol rules `R`.
pub struct Driver<R: ProtocolRules> {
    /// Number of the leading instance.
    pub leader: usize,
    /// Moves that have ended with a new owner.
    pub moved: usize,
    membership: Membership<R>,
    planner: Planner,
    hot_keys: HotKeyTracker,
    /// Usable servers of the last plan, and its time.
    last_plan: (Vec<usize>, Time),
    /// Table revision at which releases were last looked for.
    scanned_revision: Revision,
    /// Moves in progress.
    tasks: BTreeMap<Scope, Task<R>>,
}

impl<R: ProtocolRules> Driver<R> {
    /// A control loop without state, as after a change of the leader.
    pub fn new(leader: usize) -> Self {
        Self {
            leader,
            moved: 0,
            membership: Membership::new(LeaseDurations::default()),
            planner: Planner::default(),
            hot_keys: HotKeyTracker::default(),
            last_plan: (Vec::new(), Time::ZERO),
            scanned_revision: Revision(0),
            tasks: BTreeMap::new(),
        }
    }

    /// Runs one step; `routers` are all instances.
    pub fn step(
        &mut self,
        trial: &Trial,
        faults: &FaultState,
        keys: &KeyLoads,
        (platform_table, routers): (&mut Rc<Table>, &mut [Router]),
        now: Time,
    ) {
        self.expel_lost(faults, platform_table, now);
        self.run_movers(trial, faults, (platform_table, routers), now);
        self.plan_moves(&routers[self.leader], keys, platform_table, now);
        if trial.scenario == Scenario::HotKey && faults.has_started() {
            self.extract_hot_key(keys, platform_table, now);
        }
    }

    fn expel_lost(&mut self, faults: &FaultState, platform_table: &mut Rc<Table>, now: Time) {
        self.membership.observe(platform_table, now);
        let is_overdue = faults.elapsed.is_some_and(|since| since >= EXPEL_AFTER);
        for member in members(platform_table) {
            let is_gone =
                is_overdue && !faults.is_instance_up(parse_number(member.instance.as_str()));
            let expel = Membership::<R>::expel(platform_table, &member);
            if let Some(expel) = expel.filter(|_| is_gone) {
                commit(platform_table, expel);
            }
        }
        for removal in self.membership.remove_expelled(platform_table, now) {
            commit(platform_table, removal);
        }
    }

    fn plan_moves(
        &mut self,
        leader: &Router,
        keys: &KeyLoads,
        platform_table: &mut Rc<Table>,
        now: Time,
    ) {
        let usable =
            usable_servers(leader, platform_table, now).map(|row| parse_number(row.name.id()));
        let usable: Vec<usize> = usable.collect();
        if usable == self.last_plan.0 && now - self.last_plan.1 < PLAN_INTERVAL {
            return;
        }
        self.last_plan = (usable, now);
        let view = service_view(leader, keys, platform_table, now);
        for proposal in self.planner.plan(&view, now) {
            let release_commit = begin_move(
                platform_table,
                &service_name(),
                proposal.scope,
                &proposal.to,
            );
            if let Ok(release_commit) = release_commit {
                commit(platform_table, release_commit);
            }
        }
    }

    /// Starts the move of the hot key out of its shard, to the least loaded server.
    fn extract_hot_key(&mut self, keys: &KeyLoads, platform_table: &mut Rc<Table>, now: Time) {
        let watched = [(
            keys.hot_key,
            Load(keys.hot_key_load),
            is_extracted(platform_table, keys),
        )];
        let loads = server_loads(platform_table, keys);
        let mean = loads.values().sum::<u64>() / loads.len() as u64;
        let changes = self.hot_keys.update(&watched, Load(mean), now);
        let least_loaded = loads.iter().min_by_key(|(_, load)| **load);
        for change in changes {
            if let (HotKeyChange::Extract(key), Some((to, _))) = (change, least_loaded) {
                // Refused while the shard of the key is moving; retried in a later step.
                let release_commit =
                    begin_move(platform_table, &service_name(), Scope::Key(key), to);
                if let Ok(release_commit) = release_commit {
                    commit(platform_table, release_commit);
                }
            }
        }
    }

    fn run_movers(
        &mut self,
        trial: &Trial,
        faults: &FaultState,
        (platform_table, routers): (&mut Rc<Table>, &mut [Router]),
        now: Time,
    ) {
        self.resume_moves(platform_table, routers, now);
        let leader = self.leader;
        for task in self.tasks.values_mut() {
            let acks = task.acks(trial, faults, leader, routers, now);
            let due = task.mover.next_wakeup().is_some_and(|wake| now >= wake);
            let tick = due.then_some(MoveEvent::Tick);
            let events = task.pending_event.take().into_iter().chain(tick);
            let events: Vec<MoveEvent> = events.chain(acks).collect();
            for event in events {
                let actions = task.mover.step(platform_table, event, now);
                self.moved += task.apply_actions(actions, platform_table, routers);
            }
        }
        self.tasks.retain(|_, task| !task.mover.is_done());
    }

    /// Creates a mover for every release in the table that has none.
    fn resume_moves(&mut self, platform_table: &mut Rc<Table>, routers: &mut [Router], now: Time) {
        if platform_table.revision() == self.scanned_revision {
            return;
        }
        self.scanned_revision = platform_table.revision();
        for (scope, owner) in releasing_scopes(platform_table) {
            if self.tasks.contains_key(&scope) {
                continue;
            }
            let lease_durations = LeaseDurations::default();
            let resumed =
                Mover::<R>::resume(platform_table, &service_name(), scope, lease_durations, now);
            let since = assignment(platform_table, &service_name(), scope)
                .unwrap()
                .version;
            let (mover, actions) = resumed.unwrap();
            let mut task = Task::new(mover, (owner, since), now);
            self.moved += task.apply_actions(actions, platform_table, routers);
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

/// Scopes that their owner is releasing, with the number of that owner.
fn releasing_scopes(table: &Table) -> Vec<(Scope, usize)> {
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
                found.push((scope, parse_number(assigned.owner.id())));
            }
        }
    }
    found
}

/// Servers whose row is active, which may therefore own scopes.
fn active_servers(table: &Table) -> impl Iterator<Item = &ServerRow> {
    table.rows().filter_map(|(_, row)| match &row.value {
        Row::Server(row) if row.state == ServerState::Active => Some(row),
        _ => None,
    })
}

/// Whether the hot key is owned separately from its shard.
fn is_extracted(table: &Table, keys: &KeyLoads) -> bool {
    assignment(table, &service_name(), Scope::Key(keys.hot_key)).is_some()
}

/// Active servers that the leader's probes reach.
fn usable_servers<'a>(
    leader: &'a Router,
    table: &'a Table,
    now: Time,
) -> impl Iterator<Item = &'a ServerRow> {
    active_servers(table).filter(move |row| !leader.is_lost(parse_number(row.name.id()), now))
}

/// Input of the planner: usable servers and the owners and loads of all scopes.
fn service_view(leader: &Router, keys: &KeyLoads, table: &Table, now: Time) -> ServiceView {
    let usable = usable_servers(leader, table, now);
    let servers = usable.map(|row| Candidate {
        name: row.name.clone(),
        weight: row.weight,
        warmup_percent: match parse_number(row.name.id()) {
            SERVER_COUNT => warmup_percent(Time::ZERO + FAULT_START, now),
            _ => 100,
        },
        rate_cap: None,
    });
    let scopes = keys.scope_loads(is_extracted(table, keys)).into_iter();
    let scopes = scopes.map(|(scope, load)| {
        let found = assignment(table, &service_name(), scope).map(|found| found.value);
        ScopeLoad {
            scope,
            owner: found.as_ref().map(|found| found.owner.clone()),
            load: Load(load),
            rate: 0,
            is_moving: found.is_some_and(|found| !found.is_routable()),
        }
    });
    let row = table.get(&RowKey::Service(service_name()));
    let Some(Row::Service(row)) = row.map(|found| &found.value) else {
        panic!("no row for the service");
    };
    ServiceView {
        servers: servers.collect(),
        scopes: scopes.collect(),
        move_budget: row.move_budget,
    }
}

/// Load of each active server, from the owners in the table.
pub fn server_loads(table: &Table, keys: &KeyLoads) -> BTreeMap<ServerName, u64> {
    let mut loads: BTreeMap<ServerName, u64> = active_servers(table)
        .map(|row| (row.name.clone(), 0))
        .collect();
    for (scope, load) in keys.scope_loads(is_extracted(table, keys)) {
        let owner = assignment(table, &service_name(), scope)
            .unwrap()
            .value
            .owner;
        if let Some(sum) = loads.get_mut(&owner) {
            *sum += load;
        }
    }
    loads
}
