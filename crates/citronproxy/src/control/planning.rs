//! Plans and begins moves: away from servers that are lost or leaving, and for balance.

use {
    super::{ACTIVE_RANKS, CommitBatch, Health, Loads, Node},
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

/// Pause between two plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// Duration of one load measurement.
const LOAD_SPAN: Duration = Duration::from_secs(1);
/// Delay per rank before an instance begins moves. Lower ranks act first.
const RANK_DELAY: Duration = Duration::from_millis(400);
/// Warm-up percentage of a server that gets its full share.
const FULL_SHARE_PERCENT: u64 = 100;

/// Planner of one service.
#[derive(Debug, Default)]
struct ServicePlanner {
    planner: Planner,
    /// Time since which moves have been proposed that no instance of a lower rank has
    /// begun.
    waiting_since: Option<Time>,
}

/// Plans moves periodically. Runs until its task is aborted.
pub async fn plan_moves<S: TableStore + 'static>(node: Node<S>, health: Health) {
    let mut planners: BTreeMap<ServiceName, ServicePlanner> = BTreeMap::new();
    let mut loads = Loads::default();
    let mut measured = node.now();
    loop {
        sleep(PLAN_INTERVAL).await;
        let span = node.now() - measured;
        if span >= LOAD_SPAN {
            let sample = timeout(LOAD_SPAN, node.handle().take_loads()).await;
            loads.record(sample.unwrap_or_default(), span);
            measured = node.now();
        }
        node.metrics()
            .unreachable_servers
            .set(health.lost_count(node.now()) as i64);
        if !node.with_replica(|replica| replica.is_listed()) {
            continue;
        }
        let services = node.with_table(service_names);
        planners.retain(|name, _| services.contains(name));
        for name in services {
            let rank = node.rank(&name);
            if rank < ACTIVE_RANKS {
                let planner = planners.entry(name.clone()).or_default();
                plan_service(&node, (&health, &loads), planner, &name, rank).await;
            }
        }
    }
}

fn service_names(table: &Table) -> Vec<ServiceName> {
    table.services().map(|row| row.name.clone()).collect()
}

async fn plan_service<S: TableStore + 'static>(
    node: &Node<S>,
    (health, loads): (&Health, &Loads),
    planner: &mut ServicePlanner,
    name: &ServiceName,
    rank: u32,
) {
    let now = node.now();
    let instances = node.other_instances().len() as u32 + 1;
    let load = |scope| loads.scope_load(name, scope, instances);
    let view = node.with_table(|table| service_view(table, name, health, load, now));
    let Some(view) = view else {
        return;
    };
    let mut proposals = planner.planner.plan(&view, now);
    // Only the first instance moves for balance. Each instance counts the move budget on
    // its own, so several together would exceed it.
    proposals.retain(|proposal| rank == 0 || proposal.reason == MoveReason::Unassigned);
    if proposals.is_empty() {
        planner.waiting_since = None;
        return;
    }
    let since = *planner.waiting_since.get_or_insert(now);
    if now - since < RANK_DELAY * rank {
        return;
    }
    planner.waiting_since = None;
    begin_moves(node, name, &proposals).await;
}

/// Begins all proposed moves in one commit.
async fn begin_moves<S: TableStore + 'static>(
    node: &Node<S>,
    name: &ServiceName,
    proposals: &[Proposal],
) {
    let batch = node.with_table(|table| {
        let mut batch = CommitBatch::new(table);
        for proposal in proposals {
            let begun = begin_move(batch.draft(), name, proposal.scope, &proposal.to);
            match begun {
                Ok(commit) => batch.add(commit).ok()?,
                Err(error) => log::warn!("{} {error}", events::MOVE_REFUSED),
            }
        }
        Some(batch)
    });
    let Some(commit) = batch.and_then(CommitBatch::into_commit) else {
        return;
    };
    if node.commit(commit).await.is_committed {
        log::info!("{} {name}: {} scopes", events::MOVES_BEGUN, proposals.len());
        node.announce_revision();
    }
}

/// The planner's view of a service; `None` if there is no such service.
fn service_view(
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
        scopes: scope_loads(table, row, load),
        move_budget: row.move_budget,
    })
}

fn is_usable(row: &ServerRow, health: &Health, now: Time) -> bool {
    let wanted = row.state == ServerState::Active && row.weight.0 > 0;
    wanted && !health.is_lost(&row.name, now) && !health.is_leaving(&row.name)
}

fn candidate(row: &ServerRow, health: &Health, now: Time) -> Candidate {
    let recovered_at = health.recovered_at(&row.name);
    Candidate {
        name: row.name.clone(),
        weight: row.weight,
        warmup_percent: recovered_at.map_or(FULL_SHARE_PERCENT, |start| warmup_percent(start, now)),
        rate_cap: row.rate_cap,
    }
}

fn scope_loads(
    table: &Table,
    row: &ServiceRow,
    load: impl Fn(Scope) -> (Load, u32),
) -> Vec<ScopeLoad> {
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
