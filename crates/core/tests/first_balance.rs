//! How soon after the first requests keys are moved for balance.

use {
    citron_core::{
        id::ServerName,
        ranges::{
            BalanceLimits, BalanceTimer, Balancer, Capacity, Demand, DemandWindows, KeyRange,
            RangeKey, RangeMap,
        },
        time::Time,
    },
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
};

/// Interval at which instances report keys.
const REPORT_INTERVAL_MS: u64 = 150;
/// Interval at which the planner plans.
const PLAN_INTERVAL_MS: u64 = 200;

fn at(millis: u64) -> Time {
    Time::from_micros((50_000 + millis) * 1_000)
}

/// Servers, requests per second for their keys, and the share of them for a twentieth of the
/// keys, which are adjacent.
struct Load {
    rates: Vec<f64>,
    requests_per_s: u64,
    hot_share: f64,
}

fn capacities(rates: &[f64]) -> Vec<Capacity> {
    let capacity = |(number, rate): (usize, &f64)| Capacity {
        server: format!("s-{number:03}").parse().unwrap(),
        rate: *rate,
        accepts_keys: true,
    };
    rates.iter().enumerate().map(capacity).collect()
}

impl Load {
    /// Milliseconds from the first request until the first moves, and the number of these.
    fn first_moves(&self, seed: u64) -> Option<(u64, usize)> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let capacities = capacities(&self.rates);
        let mut map = RangeMap::new();
        let no_demand = Demand::default();
        let mut balancer = Balancer::new(BalanceLimits::STANDARD, &capacities, &no_demand);
        for (part, to) in balancer.assign_stripes(KeyRange::ALL) {
            map.assign(part, &to, None);
        }
        let mut windows = DemandWindows::default();
        let mut timer = BalanceTimer::new(at(0));
        let mut has_changed = false;
        for millis in 1..10_000_u64 {
            if millis % REPORT_INTERVAL_MS == 0 {
                for _ in 0..self.requests_per_s * REPORT_INTERVAL_MS / 1_000 {
                    let drawn: f64 = rng.random();
                    let key = match rng.random_bool(self.hot_share) {
                        true => 0.3 + drawn * 0.05,
                        false => drawn,
                    };
                    windows.add(RangeKey((key * 65_535.0) as u16), at(millis));
                }
                has_changed |= windows.detect_change(at(millis));
            }
            if millis % PLAN_INTERVAL_MS != 0 && !has_changed {
                continue;
            }
            let may_balance = !windows.is_settling(at(millis));
            if !timer.is_due(std::mem::take(&mut has_changed), may_balance, at(millis)) {
                continue;
            }
            let demand = windows.snapshot(at(millis));
            let mut balancer = Balancer::new(BalanceLimits::STANDARD, &capacities, &demand);
            for slice in map.slices() {
                balancer.add_load(slice.owner.as_ref().unwrap(), slice.range);
            }
            balancer.update_fair_utilization();
            let owned = |server: &ServerName| map.owned_by(server).map(|s| s.range).collect();
            let moves = balancer.reassignments(0, true, owned);
            if !moves.is_empty() {
                return Some((millis, moves.len()));
            }
        }
        None
    }
}

/// 73 servers of 4 slots, and 198 servers of 6 slots, whose speeds were known at the first
/// assignment.
fn loads(hot_share: f64) -> [Load; 2] {
    let rate = |slots: f64, speeds: [f64; 3], run_secs: f64| {
        move |number: usize| slots * speeds[number % 3] / run_secs
    };
    [
        Load {
            rates: (0..73).map(rate(4.0, [0.7, 0.7, 1.6], 0.12)).collect(),
            requests_per_s: 1_190,
            hot_share,
        },
        Load {
            rates: (0..198).map(rate(6.0, [0.6, 1.0, 1.6], 0.3)).collect(),
            requests_per_s: 1_610,
            hot_share,
        },
    ]
}

/// Guards against a longer delay until busy adjacent keys are spread: the first plan after the
/// interval of balancing has 700 to 950 reported requests, which are sufficient for it.
#[test]
fn busy_adjacent_keys_are_spread_by_the_second_plan() {
    for load in [0.2, 0.5].map(loads).as_flattened() {
        for seed in 0..4 {
            let (millis, moves) = load.first_moves(seed).unwrap();
            assert!(millis <= 600, "moves after {millis} ms");
            assert!(moves >= 20, "{moves} moves");
        }
    }
}

/// Guards against moves by chance: with 10 or fewer requests for each server, even demand looks
/// uneven. The interval before the first plan keeps these moves to single ones.
#[test]
fn even_demand_moves_next_to_nothing() {
    for load in loads(0.0) {
        for seed in 0..8 {
            let (millis, moves) = load.first_moves(seed).unwrap_or_default();
            assert!(moves <= 2, "{moves} moves after {millis} ms");
        }
    }
}
