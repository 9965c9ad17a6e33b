//! The first assignment of a service's keys: when it is made, and how it divides them.

use {
    citron_core::{
        id::ServerName,
        ranges::{
            BalanceLimits, Balancer, Capacity, Demand, KeyDemand, KeyRange, RangeKey,
            is_server_set_complete,
        },
        time::Time,
    },
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::time::Duration,
};

fn at(millis: u64) -> Time {
    Time::from_micros(millis * 1_000)
}

/// Milliseconds, after the first registration, until keys are assigned.
fn first_assignment_ms(registered: &[u64], is_requested: bool) -> u64 {
    let is_complete = |now: &u64| {
        let known = registered.iter().filter(|registered| *registered <= now);
        let ages: Vec<Duration> = known.map(|known| at(*now) - at(*known)).collect();
        is_server_set_complete(&ages, is_requested)
    };
    (0..20_000).find(is_complete).unwrap()
}

/// Registrations of `count` servers, spread evenly over `span_ms`.
fn even(count: u64, span_ms: u64) -> Vec<u64> {
    (0..count).map(|number| number * span_ms / count).collect()
}

/// Guards against keys without an owner for three seconds, or ten while nobody requests them,
/// because single servers register late: with one restart a second, the newest of 73 servers
/// is never a second old.
#[test]
fn single_late_servers_do_not_hold_up_the_first_assignment() {
    let mut registered = even(73, 400);
    registered.extend([900, 1_700, 2_500, 3_300, 4_100, 4_900]);
    for is_requested in [true, false] {
        let assigned = first_assignment_ms(&registered, is_requested);
        assert!(assigned < 1_500, "{assigned} ms");
    }
}

/// Guards against a first assignment to a fraction of the servers: 198 servers that take four
/// seconds to register would have most of the keys on the first of them.
#[test]
fn servers_that_still_register_are_waited_for() {
    let assigned = first_assignment_ms(&even(198, 4_000), true);
    assert!(assigned > 2_900, "{assigned} ms");
    let assigned = first_assignment_ms(&even(198, 4_000), false);
    assert!(assigned > 4_000, "{assigned} ms");
    let assigned = first_assignment_ms(&even(73, 400), true);
    assert!((1_000..1_500).contains(&assigned), "{assigned} ms");
}

/// Servers of these rates, in a repeating pattern.
fn servers(count: usize, rates: &[f64]) -> Vec<Capacity> {
    let capacity = |number: usize| Capacity {
        server: format!("s-{number:03}").parse().unwrap(),
        rate: rates[number % rates.len()],
        accepts_keys: true,
    };
    (0..count).map(capacity).collect()
}

/// Requests for keys drawn by `draw` from uniform numbers between 0 and 1, at 1,190 a second.
fn observe(requests: u64, draw: impl Fn(f64) -> f64) -> Demand {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut demand = KeyDemand::new(Duration::from_secs(3));
    let mut now = at(0);
    for _ in 0..requests {
        now = now + Duration::from_micros(840);
        let drawn: f64 = rng.random();
        demand.add(RangeKey((draw(drawn) * 65_535.0) as u16), now);
    }
    demand.snapshot(now)
}

/// The same without random variation.
fn expect(draw: impl Fn(f64) -> f64) -> Demand {
    let mut demand = KeyDemand::new(Duration::from_secs(10_000));
    for number in 0..400_000 {
        let spread = (f64::from(number) * 0.618_033_988_749_895).fract();
        demand.add(RangeKey((draw(spread) * 65_535.0) as u16), at(1_000));
    }
    demand.snapshot(at(2_000))
}

/// Half of the requests go to a twentieth of the keys, which are adjacent.
fn skewed(drawn: f64) -> f64 {
    match drawn < 0.5 {
        true => 0.3 + drawn * 0.1,
        false => (drawn - 0.5) * 2.0,
    }
}

/// Highest utilization of a server, relative to the mean one, after the first assignment by
/// `known` demand, when `real` demand comes.
fn first_utilization(capacities: &[Capacity], known: &Demand, real: &Demand) -> f64 {
    let mut balancer = Balancer::new(BalanceLimits::STANDARD, capacities, known);
    let parts = balancer.assign_stripes(KeyRange::ALL);
    assert_eq!(parts[0].0.first, RangeKey(0));
    assert_eq!(parts[parts.len() - 1].0.last, RangeKey(u16::MAX));
    let is_adjacent =
        |pair: &[(KeyRange, ServerName)]| pair[0].0.next_key() == Some(pair[1].0.first);
    assert!(parts.windows(2).all(is_adjacent), "{parts:?}");
    let load = |server: &ServerName| -> f64 {
        let owned = parts.iter().filter(|(_, owner)| owner == server);
        owned.map(|(range, _)| real.rate(*range)).sum()
    };
    let rate: f64 = capacities.iter().map(|capacity| capacity.rate).sum();
    let mean = real.rate(KeyRange::ALL) / rate;
    let relative = |capacity: &Capacity| load(&capacity.server) / capacity.rate / mean;
    capacities.iter().map(relative).fold(0.0, f64::max)
}

/// Guards against slow servers that get as many keys as fast ones: at equal numbers of keys,
/// those of speed 0.7 have 1.43 times, and those of 0.6 have 1.78 times the mean utilization.
#[test]
fn first_keys_follow_slots_and_speeds() {
    let real = expect(|drawn| drawn);
    let unknown = Demand::default();
    for (count, slots, speeds) in [(73, 4.0, [0.7, 0.7, 1.6]), (198, 6.0, [0.6, 1.0, 1.6])] {
        let rates = speeds.map(|speed| slots * speed);
        let utilization = first_utilization(&servers(count, &rates), &unknown, &real);
        assert!(utilization < 1.05, "{count} servers: {utilization}");
    }
    let mixed_slots = first_utilization(&servers(20, &[4.0, 12.0]), &unknown, &real);
    assert!(mixed_slots < 1.05, "{mixed_slots}");
}

/// Guards against a few servers that own all busy keys although the demand is known: with 73
/// servers, each has one contiguous range of keys.
#[test]
fn first_keys_follow_known_demand() {
    let real = expect(skewed);
    for (count, rates) in [(73, [2.8, 2.8, 6.4]), (198, [3.6, 6.0, 9.6])] {
        let servers = servers(count, &rates);
        let unknown = first_utilization(&servers, &Demand::default(), &real);
        let known = first_utilization(&servers, &observe(5_000, skewed), &real);
        assert!(unknown > 5.0, "{count} servers: {unknown}");
        assert!(known < 1.7, "{count} servers: {known}");
    }
}

/// Guards against a first assignment by random variation: of sixty observed requests, some
/// servers would get several times as many keys as others.
#[test]
fn few_observed_requests_do_not_concentrate_keys() {
    let even = expect(|drawn| drawn);
    let few = observe(60, |drawn| drawn);
    let servers = servers(73, &[2.8, 2.8, 6.4]);
    let utilization = first_utilization(&servers, &few, &even);
    assert!(utilization < 1.8, "{utilization}");
    // With as few requests, known demand is of use already.
    let skewed_real = expect(skewed);
    let unknown = first_utilization(&servers, &Demand::default(), &skewed_real);
    let known = first_utilization(&servers, &observe(60, skewed), &skewed_real);
    assert!(known < unknown * 0.5, "{known}, unknown {unknown}");
}
