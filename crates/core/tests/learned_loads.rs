//! What a planner learns of the load of a service, and when it writes it.

use {
    citron_core::{
        id::ServerName,
        ranges::{
            BalanceLimits, Balancer, Capacity, Demand, DemandShares, KeyDemand, KeyRange,
            LearnedLoads, LoadLearner, RangeKey, Speed,
        },
        time::Time,
    },
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::{collections::BTreeMap, time::Duration},
};

/// Servers of the service, with speeds 0.7, 0.7 and 1.6 of the mean.
const SERVERS: usize = 73;
const SPEEDS: [f64; 3] = [0.7, 0.7, 1.6];

fn names() -> Vec<ServerName> {
    let name = |number| format!("s-{number:02}").parse().unwrap();
    (0..SERVERS).map(name).collect()
}

fn seconds(seconds: f64) -> Time {
    Time::from_micros((seconds * 1e6) as u64)
}

/// Demand as of `at`, of 1,190 requests a second for ten seconds, half of them for a twentieth
/// of the keys, from `first` of the key space on.
fn skewed_demand(first: f64, seed: u64, at: Time) -> Demand {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut demand = KeyDemand::new(Duration::from_secs(3));
    for number in 0..11_900_u64 {
        let age = Duration::from_micros((11_900 - number) * 840);
        let sent = Time::from_micros(at.as_micros() - age.as_micros() as u64);
        let drawn: f64 = rng.random();
        let key = match rng.random_bool(0.5) {
            true => first + drawn * 0.05,
            false => drawn,
        };
        demand.add(RangeKey((key * 65_535.0) as u16), sent);
    }
    demand.snapshot(at)
}

/// Plays ten minutes of a service in which one server in five is three times as slow for
/// 0.4 s each, and returns the times of the writes and the last loads.
fn learn(first_key: impl Fn(f64) -> f64) -> (Vec<f64>, LearnedLoads) {
    let names = names();
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut learner = LoadLearner::new(seconds(100.0), LearnedLoads::default());
    let mut stored = LearnedLoads::default();
    let mut writes = Vec::new();
    let mut demand = Demand::default();
    for step in 1..1_500_u32 {
        let now_secs = 100.0 + f64::from(step) * 0.4;
        if step % 25 == 1 {
            demand = skewed_demand(first_key(now_secs), u64::from(step), seconds(now_secs));
        }
        let speed = |number: usize| {
            let slowdown = if rng.random_bool(0.2) { 3.0 } else { 1.0 };
            Some(Speed::new(SPEEDS[number % 3] * 1.13 / slowdown))
        };
        let measured: Vec<Option<Speed>> = (0..SERVERS).map(speed).collect();
        learner.record(names.iter().zip(measured), &demand, seconds(now_secs));
        if let Some(loads) = learner.take_due(&stored, false, seconds(now_secs)) {
            writes.push(now_secs);
            stored = loads;
        }
    }
    (writes, stored)
}

/// Guards against a row that is written every ten seconds, and read by all instances, although
/// nothing changes: servers are slow for fractions of a second, and demand varies by chance.
#[test]
fn passing_slowness_is_seldom_written() {
    let (writes, loads) = learn(|_| 0.3);
    assert!(writes.len() <= 15, "{} writes: {writes:?}", writes.len());
    let speed = |server: usize| loads.speeds[&names()[server]].get();
    assert!(speed(2) > 1.8 * speed(0), "{} and {}", speed(2), speed(0));
}

/// Guards against rows that are written more often than every ten seconds while the demand
/// moves to other keys all the time.
#[test]
fn writes_keep_their_distance() {
    let (writes, _) = learn(|now_secs| now_secs / 40.0 % 0.9);
    assert!(writes.len() > 40, "{}", writes.len());
    let is_apart = |pair: &[f64]| pair[1] - pair[0] > 9.99;
    assert!(
        writes[0] > 109.99 && writes.windows(2).all(is_apart),
        "{writes:?}"
    );
}

/// Guards against a new planner that spreads keys evenly although its predecessor knew the
/// demand and the speeds.
#[test]
fn keys_are_assigned_by_what_was_learned() {
    let real = skewed_demand(0.3, 9, seconds(200.0));
    let learned = DemandShares::of(&skewed_demand(0.3, 1, seconds(100.0)));
    let learned = learned.unwrap().to_demand();
    let number = |name: &ServerName| names().iter().position(|known| known == name).unwrap();
    let rate = |name: &ServerName| 4.0 * SPEEDS[number(name) % 3];
    let capacity = |server: ServerName| Capacity {
        rate: rate(&server),
        accepts_keys: true,
        server,
    };
    let capacities: Vec<Capacity> = names().into_iter().map(capacity).collect();
    let mut balancer = Balancer::new(BalanceLimits::STANDARD, &capacities, &learned);
    let mut loads: BTreeMap<ServerName, f64> = BTreeMap::new();
    for (range, server) in balancer.assign_stripes(KeyRange::ALL) {
        *loads.entry(server).or_default() += real.rate(range);
    }
    let mean = real.rate(KeyRange::ALL) / (4.0 * 73.0);
    let utilization = loads
        .iter()
        .map(|(server, load)| load / rate(server) / mean);
    let highest = utilization.fold(0.0, f64::max);
    assert!(highest < 1.8, "{highest}");
}

/// Guards against moves for balance by demand of long ago: learned shares tell where keys go
/// that need an owner, and move no others.
#[test]
fn learned_shares_move_no_keys() {
    let learned = DemandShares::of(&skewed_demand(0.3, 1, seconds(100.0)));
    let learned = learned.unwrap().to_demand();
    let [one, two] = ["s-1", "s-2"].map(|name| name.parse::<ServerName>().unwrap());
    let capacity = |server: &ServerName| Capacity {
        server: server.clone(),
        rate: 20.0,
        accepts_keys: true,
    };
    let capacities = [capacity(&one), capacity(&two)];
    let mut balancer = Balancer::new(BalanceLimits::STANDARD, &capacities, &learned);
    balancer.add_load(&one, KeyRange::ALL);
    balancer.update_fair_utilization();
    let moves = balancer.reassignments(0, true, |server| match *server == one {
        true => vec![KeyRange::ALL],
        false => Vec::new(),
    });
    assert!(moves.is_empty(), "{moves:?}");
    assert!(!learned.is_reliable());
}

/// Guards against loads of another start of the servers, and against a demand of falling keys,
/// which would overflow the key space.
#[test]
fn loads_of_other_servers_and_falling_keys_are_refused() {
    let loads = LearnedLoads {
        speeds: BTreeMap::from([("s-1@5".parse().unwrap(), Speed::MEAN)]),
        demand: DemandShares::default(),
    };
    let names = names();
    assert!(!loads.concerns(names.iter()));
    let error = DemandShares::new(vec![RangeKey(9), RangeKey(3)]).unwrap_err();
    insta::assert_snapshot!(error, @"key 9 is followed by the lower key 3");
    let all_in_one = DemandShares::new(vec![RangeKey(u16::MAX); 127]).unwrap();
    let total = all_in_one.to_demand().rate(KeyRange::ALL);
    assert!((total - 100.0).abs() < 0.1, "{total}");
}
