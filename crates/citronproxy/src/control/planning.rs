//! Begins moves: away from lost and leaving servers, and for balance.

use {
    super::{Batch, Health, Loads, Node, WATCHERS},
    crate::events,
    citron_core::{
        id::{ServerName, ServiceName, ShardId},
        ownership::{Scope, assignment, begin_move},
        placement::{
            Candidate, Load, MoveReason, Planner, Proposal, ScopeLoad, ServiceView, warmup_percent,
        },
        table::{Row, ServerRow, ServerState, ServiceRow, Table},
        time::Time,
    },
    citron_ports::TableStore,
    std::{collections::BTreeMap, time::Duration},
    tokio::time::{sleep, timeout},
};

/// The pause between two plans.
const PLAN_PAUSE: Duration = Duration::from_millis(100);
/// The span of one measurement of load.
const LOAD_SPAN: Duration = Duration::from_secs(1);
/// How much later the next instance acts than the one before it.
const RANK_DELAY: Duration = Duration::from_millis(400);
/// What a fully warm server gets of its share, in percent.
const WARM: u64 = 100;

/// Plans of one service.
#[derive(Debug, Default)]
struct Desk {
    planner: Planner,
    /// Since when this instance has seen work that nobody begins.
    since: Option<Time>,
}

/// Plans again and again; ends only with its task.
pub async fn plan<S: TableStore + 'static>(node: Node<S>, health: Health) {
    let mut desks: BTreeMap<ServiceName, Desk> = BTreeMap::new();
    let mut loads = Loads::default();
    let mut measured = node.now();
    loop {
        sleep(PLAN_PAUSE).await;
        let span = node.now() - measured;
        if span >= LOAD_SPAN {
            let sample = timeout(LOAD_SPAN, node.handle().take_loads()).await;
            loads.add(sample.unwrap_or_default(), span);
            measured = node.now();
        }
        node.metrics().lost.set(health.lost(node.now()) as i64);
        if !node.look(|replica| replica.is_listed()) {
            continue;
        }
        let services = node.table(services);
        desks.retain(|name, _| services.contains(name));
        for name in services {
            let rank = node.rank(&name);
            if rank < WATCHERS {
                let desk = desks.entry(name.clone()).or_default();
                plan_service(&node, (&health, &loads), desk, &name, rank).await;
            }
        }
    }
}

fn services(table: &Table) -> Vec<ServiceName> {
    table.services().map(|row| row.name.clone()).collect()
}

async fn plan_service<S: TableStore + 'static>(
    node: &Node<S>,
    (health, loads): (&Health, &Loads),
    desk: &mut Desk,
    name: &ServiceName,
    rank: u32,
) {
    let now = node.now();
    let instances = node.others().len() as u32 + 1;
    let load = |scope| loads.of(name, scope, instances);
    let view = node.table(|table| view(table, name, health, load, now));
    let Some(view) = view else {
        return;
    };
    let mut proposals = desk.planner.plan(&view, now);
    // Only the first instance moves for balance: each has a budget of its own.
    proposals.retain(|proposal| rank == 0 || proposal.reason == MoveReason::Unassigned);
    if proposals.is_empty() {
        desk.since = None;
        return;
    }
    let since = *desk.since.get_or_insert(now);
    if now - since < RANK_DELAY * rank {
        return;
    }
    desk.since = None;
    begin(node, name, &proposals).await;
}

/// Begins all proposed moves with one commit.
async fn begin<S: TableStore + 'static>(
    node: &Node<S>,
    name: &ServiceName,
    proposals: &[Proposal],
) {
    let batch = node.table(|table| {
        let mut batch = Batch::new(table);
        for proposal in proposals {
            let begun = begin_move(batch.draft(), name, proposal.scope, &proposal.to);
            match begun {
                Ok(commit) => batch.add(commit).ok()?,
                Err(error) => log::warn!("{} {error}", events::MOVE_REFUSED),
            }
        }
        Some(batch)
    });
    let Some(commit) = batch.and_then(Batch::commit) else {
        return;
    };
    if node.commit(commit).await.done {
        log::info!("{} {name}: {} scopes", events::MOVES_BEGUN, proposals.len());
        node.announce_all();
    }
}

/// The service as the planner sees it; `None` if there is no such service.
fn view(
    table: &Table,
    name: &ServiceName,
    health: &Health,
    load: impl Fn(Scope) -> (Load, u32),
    now: Time,
) -> Option<ServiceView> {
    let row = table.service(name)?;
    let servers = table.servers().filter(|row| row.service == *name);
    let usable = servers.filter(|row| is_usable(row, health, now));
    Some(ServiceView {
        servers: usable.map(|row| candidate(row, health, now)).collect(),
        scopes: scopes(table, row, load),
        move_budget: row.move_budget,
    })
}

fn is_usable(row: &ServerRow, health: &Health, now: Time) -> bool {
    let wanted = row.state == ServerState::Active && row.weight.0 > 0;
    wanted && !health.is_lost(&row.name, now) && !health.is_leaving(&row.name)
}

fn candidate(row: &ServerRow, health: &Health, now: Time) -> Candidate {
    let back = health.back_since(&row.name);
    Candidate {
        name: row.name.clone(),
        weight: row.weight,
        warmup_percent: back.map_or(WARM, |start| warmup_percent(start, now)),
        rate_cap: row.rate_cap,
    }
}

fn scopes(table: &Table, row: &ServiceRow, load: impl Fn(Scope) -> (Load, u32)) -> Vec<ScopeLoad> {
    let shards = (0..row.shard_bits.shard_count()).map(|shard| Scope::Shard(ShardId(shard)));
    let keys = table.rows().filter_map(|(_, found)| match &found.value {
        Row::Override(key) if key.service == row.name => Some(Scope::Key(key.key)),
        _ => None,
    });
    let scope_load = |scope| {
        let found = assignment(table, &row.name, scope).map(|found| found.value);
        let owner: Option<ServerName> = found.as_ref().map(|found| found.owner.clone());
        let (load, rate) = load(scope);
        ScopeLoad {
            scope,
            owner,
            load,
            rate,
            is_moving: found.is_some_and(|found| !found.is_routable()),
        }
    };
    shards.chain(keys).map(scope_load).collect()
}
