//! Placement with 20 servers, 1,024 shards and load by a Zipf distribution with exponent
//! 0.99.

use {
    citron_core::{
        id::{KeyHash, ServerName, ShardBits, ShardId, Weight},
        ownership::Scope,
        placement::{
            Candidate, HotKeyChange, HotKeyLimits, HotKeyTracker, Load, MoveReason, Planner,
            PlannerLimits, Proposal, ScopeLoad, ServiceView,
        },
        table::MoveBudget,
        time::Time,
    },
    std::{collections::BTreeMap, time::Duration},
};

const KEYS: u64 = 100_000;
const SERVERS: usize = 20;
const TOTAL_LOAD: f64 = 60_000_000.0;

fn name(number: usize) -> ServerName {
    format!("server-{number:02}").parse().unwrap()
}

fn candidates(count: usize) -> Vec<Candidate> {
    let make = |number| Candidate {
        name: name(number),
        weight: Weight(100),
        warmup_percent: 100,
        rate_cap: None,
    };
    (0..count).map(make).collect()
}

/// Load of the keys by rank, by a Zipf distribution with exponent 0.99.
fn key_loads() -> Vec<(KeyHash, Load)> {
    let weights: Vec<f64> = (1..=KEYS).map(|rank| (rank as f64).powf(-0.99)).collect();
    let sum: f64 = weights.iter().sum();
    let load = |weight: &f64| Load((weight / sum * TOTAL_LOAD) as u64);
    let keys = (0..KEYS).map(|number| KeyHash::from_key(format!("set-{number}").as_bytes()));
    keys.zip(weights.iter().map(load)).collect()
}

/// A service of 1,024 shards.
fn view(servers: usize, extracted: &[KeyHash]) -> ServiceView {
    view_with_bits(10, servers, extracted)
}

/// A service of 2^`bits` shards whose keys in `extracted` are assigned apart from their
/// shards; no scope has an owner yet.
fn view_with_bits(bits: u8, servers: usize, extracted: &[KeyHash]) -> ServiceView {
    let bits = ShardBits::new(bits).unwrap();
    let shards = (0..bits.shard_count()).map(|shard| (Scope::Shard(ShardId(shard)), 0));
    let mut loads: BTreeMap<Scope, u64> = shards.collect();
    for (key, load) in key_loads() {
        let scope = match extracted.contains(&key) {
            true => Scope::Key(key),
            false => Scope::Shard(bits.shard_of(key)),
        };
        *loads.entry(scope).or_default() += load.0;
    }
    let scopes = loads.into_iter().map(|(scope, load)| ScopeLoad {
        scope,
        owner: None,
        load: Load(load),
        rate: 0,
        is_moving: false,
    });
    ServiceView {
        servers: candidates(servers),
        scopes: scopes.collect(),
        move_budget: MoveBudget {
            shards_per_minute: 1_000,
            threshold_percent: 105,
        },
    }
}

fn apply(view: &mut ServiceView, moves: &[Proposal]) {
    for change in moves {
        let found = view
            .scopes
            .iter_mut()
            .find(|scope| scope.scope == change.scope);
        found.expect("a known scope").owner = Some(change.to.clone());
    }
}

/// Load of the fullest server as a percentage of the mean.
fn imbalance(view: &ServiceView) -> u64 {
    let mut loads: BTreeMap<&ServerName, u64> = view
        .servers
        .iter()
        .map(|server| (&server.name, 0))
        .collect();
    for scope in &view.scopes {
        *loads
            .get_mut(scope.owner.as_ref().expect("owned"))
            .expect("known") += scope.load.0;
    }
    let total: u64 = loads.values().sum();
    loads.values().max().unwrap() * 100 * loads.len() as u64 / total
}

fn plan_until_stable(
    view: &mut ServiceView,
    planner: &mut Planner,
    mut now: Time,
) -> Vec<Proposal> {
    let mut all = Vec::new();
    for _ in 0..40 {
        let moves = planner.plan(view, now);
        apply(view, &moves);
        all.extend(moves);
        now = now + Duration::from_secs(15);
    }
    all
}

/// The keys that the tracker extracts after the hold time.
fn hot_keys() -> Vec<KeyHash> {
    let loads = key_loads();
    let mean = Load(TOTAL_LOAD as u64 / SERVERS as u64);
    let tracked: Vec<_> = loads
        .iter()
        .take(400)
        .map(|(key, load)| (*key, *load, false))
        .collect();
    let mut tracker = HotKeyTracker::new(HotKeyLimits::default());
    assert!(tracker.update(&tracked, mean, Time::ZERO).is_empty());
    let changes = tracker.update(&tracked, mean, Time::ZERO + Duration::from_secs(10));
    let extracted = changes.iter().map(|change| match change {
        HotKeyChange::Extract(key) => *key,
        HotKeyChange::Return(_) => panic!("no key has been extracted yet"),
    });
    extracted.collect()
}

/// Imbalance by number of shards, with hot keys left in their shards and with hot keys
/// extracted. With 20 servers the hottest key alone exceeds a server's share, which is
/// the lower bound. With 8 servers the imbalance stays within the objective of 1.10 for
/// each number of shards, and extracting hot keys makes little difference.
#[test]
fn imbalance_at_zipf_load() {
    let extracted = hot_keys();
    let hottest = key_loads()[0].1.0 * 100 * SERVERS as u64 / TOTAL_LOAD as u64;
    let settled_imbalance = |bits, servers, extracted: &[KeyHash]| {
        let mut view = view_with_bits(bits, servers, extracted);
        plan_until_stable(&mut view, &mut Planner::default(), Time::ZERO);
        imbalance(&view)
    };
    let mut lines = vec![format!(
        "extracted keys: {}; lower bound with 20 servers: {hottest}%",
        extracted.len()
    )];
    for (bits, servers) in [(6, 8), (8, 8), (10, 8), (12, 8), (6, 20), (8, 20), (10, 20)] {
        let in_shards = settled_imbalance(bits, servers, &[]);
        let in_overrides = settled_imbalance(bits, servers, &extracted);
        let shards = 1 << bits;
        lines.push(format!(
            "{servers} servers, {shards} shards: {in_shards}%, hot keys extracted {in_overrides}%"
        ));
        if servers == 8 {
            assert!(in_overrides <= 110 && in_shards <= 110);
        }
    }
    insta::assert_snapshot!(lines.join("\n"));
    assert!(settled_imbalance(10, SERVERS, &extracted) <= hottest);
}

/// Guards against needless moves after a server is lost: its shards get new owners at
/// once, regardless of the move budget, and no shard of another server moves.
#[test]
fn a_lost_server_moves_only_its_own_shards() {
    let mut view = view(SERVERS, &[]);
    let mut planner = Planner::default();
    plan_until_stable(&mut view, &mut planner, Time::ZERO);
    view.move_budget.shards_per_minute = 0;
    let lost = view.servers.remove(3).name;
    let before: Vec<ScopeLoad> = view.scopes.clone();
    let moves = Planner::default().plan(&view, Time::ZERO + Duration::from_secs(3_600));
    let owned = before
        .iter()
        .filter(|scope| scope.owner.as_ref() == Some(&lost));
    let owned: Vec<Scope> = owned.map(|scope| scope.scope).collect();
    assert!(!owned.is_empty());
    let mut moved: Vec<Scope> = moves.iter().map(|change| change.scope).collect();
    moved.sort();
    assert_eq!(moved, owned);
    assert!(
        moves
            .iter()
            .all(|change| change.reason == MoveReason::Unassigned)
    );
}

/// Guards against shards that move back and forth. If a weight is halved and restored
/// within the hold time, nothing moves. If it is restored later, no shard moves more than
/// once on the way back.
#[test]
fn a_weight_set_back_moves_nothing_twice() {
    let extracted = hot_keys();
    let mut view = view(8, &extracted);
    let mut planner = Planner::new(PlannerLimits::default());
    plan_until_stable(&mut view, &mut planner, Time::ZERO);
    let start = Time::ZERO + Duration::from_secs(3_600);

    view.servers[5].weight = Weight(50);
    let during_dip = planner.plan(&view, start);
    view.servers[5].weight = Weight(100);
    let after_return = planner.plan(&view, start + Duration::from_secs(9));
    assert_eq!((during_dip.len(), after_return.len()), (0, 0));

    view.servers[5].weight = Weight(50);
    let moved_away = plan_until_stable(&mut view, &mut planner, start + Duration::from_secs(60));
    assert!(!moved_away.is_empty());
    view.servers[5].weight = Weight(100);
    let returned = plan_until_stable(&mut view, &mut planner, start + Duration::from_secs(3_600));
    let mut scopes: Vec<Scope> = returned.iter().map(|change| change.scope).collect();
    scopes.sort();
    scopes.dedup();
    assert_eq!(scopes.len(), returned.len());
    assert!(imbalance(&view) <= 110);
}

/// Guards against balancing faster than the move budget. After a server joins, nothing
/// moves for the hold time; then the moves of one minute begin at once, and one more
/// every 15 seconds.
#[test]
fn balance_keeps_to_its_budget() {
    let extracted = hot_keys();
    let mut view = view(8, &extracted);
    plan_until_stable(&mut view, &mut Planner::default(), Time::ZERO);
    view.move_budget.shards_per_minute = 4;
    view.servers.extend(candidates(9).pop());
    let mut planner = Planner::default();
    let mut counts = Vec::new();
    for seconds in [0, 9, 10, 25, 40, 70] {
        let moves = planner.plan(&view, Time::ZERO + Duration::from_secs(seconds));
        apply(&mut view, &moves);
        counts.push(moves.len());
    }
    assert_eq!(counts, [0, 0, 4, 1, 1, 2]);
}

/// A server may be over its rate cap although its load is small; its scopes must move.
#[test]
fn a_cap_moves_load_away() {
    let mut view = view(4, &[]);
    for scope in &mut view.scopes {
        scope.rate = 1;
    }
    plan_until_stable(&mut view, &mut Planner::default(), Time::ZERO);
    view.servers[0].rate_cap = Some(100);
    plan_until_stable(&mut view, &mut Planner::default(), Time::ZERO);
    let owned = view
        .scopes
        .iter()
        .filter(|scope| scope.owner == Some(name(0)));
    let rate: u32 = owned.map(|scope| scope.rate).sum();
    assert!(rate <= 105, "{rate}");
}
