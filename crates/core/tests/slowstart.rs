//! Load on cold servers from all instances together, in virtual time.

use {
    citron_core::{
        admission::Rate,
        id::{DomainName, InstanceId, ServerName},
        slowstart::{
            COLD_WINDOW, ColdBound, GroupMembers, SlowStart, SlowStartGroup, SlowStartLimiter,
        },
        time::Time,
    },
    rand::{Rng, SeedableRng, seq::IndexedRandom},
    rand_chacha::ChaCha8Rng,
    std::{collections::BTreeMap, time::Duration},
};

const DOMAINS: usize = 3;
const SERVERS: usize = 6;
/// Length of any window in which the limit counts requests.
const SECOND: Duration = Duration::from_secs(1);
const TIME_STEP: Duration = Duration::from_millis(20);
const SIMULATED_TIME: Duration = Duration::from_secs(5);

/// An instance whose clients request every cold server all the time.
struct Instance {
    /// The instance's shares, by server.
    shares: Vec<u32>,
    limiter: SlowStartLimiter,
    /// Time from which the instance sends.
    starts_at: Time,
}

fn domain(number: usize) -> DomainName {
    format!("d-{}", number % DOMAINS).parse().unwrap()
}

fn name(number: usize) -> InstanceId {
    format!("n-{number}").parse().unwrap()
}

fn server(number: usize) -> ServerName {
    format!("s-{number}").parse().unwrap()
}

fn members(numbers: impl Iterator<Item = usize>) -> GroupMembers {
    numbers
        .map(|number| (name(number), domain(number)))
        .collect()
}

/// Largest number of requests that a server gets in any second, from instances that use
/// their whole shares. `views` holds the members that each instance knows; some instances
/// restart while they send.
fn max_requests_per_second(
    views: Vec<GroupMembers>,
    max_requests: u32,
    is_keyed: bool,
    seed: u64,
) -> usize {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let views = views.into_iter().enumerate();
    let instance = |(number, view)| {
        let group = SlowStartGroup::new(name(number), view, 1);
        let share = |at: usize| match is_keyed {
            true => group.owner_share(&server(at), max_requests),
            false => group.pool_share(&server(at), &domain(at), max_requests),
        };
        Instance {
            shares: (0..SERVERS).map(share).collect(),
            limiter: SlowStartLimiter::default(),
            starts_at: Time::ZERO,
        }
    };
    let mut instances: Vec<Instance> = views.map(instance).collect();
    let mut sent: BTreeMap<ServerName, Vec<Time>> = BTreeMap::new();
    let mut now = Time::ZERO + COLD_WINDOW;
    while now - Time::ZERO < SIMULATED_TIME {
        if rng.random_bool(0.02) {
            let share = rng.random_range(0.1..1.0);
            for instance in instances.iter_mut().filter(|_| rng.random_bool(share)) {
                instance.limiter = SlowStartLimiter::default();
                instance.starts_at = now + COLD_WINDOW;
            }
        }
        for instance in instances
            .iter_mut()
            .filter(|instance| instance.starts_at <= now)
        {
            let shares = instance.shares.iter().enumerate();
            for (number, share) in shares.filter(|(_, share)| **share > 0) {
                let server = server(number);
                while instance.limiter.admits(&server, *share, now) {
                    instance.limiter.record(&server, now);
                    sent.entry(server.clone()).or_default().push(now);
                }
            }
        }
        now = now + TIME_STEP;
    }
    let in_second = |times: &[Time], at: usize| {
        let later = times[at..].iter();
        later.take_while(|time| **time - times[at] < SECOND).count()
    };
    let busiest = |times: &Vec<Time>| (0..times.len()).map(|at| in_second(times, at)).max();
    sent.values().filter_map(busiest).max().unwrap_or(0)
}

/// Members known to each of `count` instances: all but two that have just joined, which
/// only some instances know.
fn views(count: usize, rng: &mut ChaCha8Rng) -> Vec<GroupMembers> {
    let all: Vec<usize> = (0..count).collect();
    let joining: Vec<usize> = all.choose_multiple(rng, 2).copied().collect();
    let view = |me: usize| {
        let is_known = [rng.random_bool(0.5), rng.random_bool(0.5)];
        let is_listed = |number: &usize| {
            let at = joining.iter().position(|new| new == number);
            at.is_none_or(|at| *number == me || joining.contains(&me) || is_known[at])
        };
        members(all.iter().copied().filter(is_listed))
    };
    (0..count).map(view).collect()
}

fn cold_limit(rate: f64) -> u32 {
    let slow = SlowStart {
        duration: Duration::from_secs(3),
        rate: Rate(rate),
    };
    let cold_limit = ColdBound {
        factor: 1.5,
        extra: 8.0,
    };
    cold_limit.max_requests(&slow)
}

/// Guards against cold servers that crash because hundreds of instances each send a
/// little. All instances send as much as they may, some members are not known to all, and
/// many instances restart at once.
#[test]
fn no_draw_of_members_and_restarts_overloads_a_cold_server() {
    for seed in 0..60 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let count = *[2, 3, 5, 9, 12, 27, 86, 195].choose(&mut rng).unwrap();
        let max_requests = cold_limit(rng.random_range(0.5..12.0));
        for is_keyed in [false, true] {
            let views = views(count, &mut rng);
            let busiest = max_requests_per_second(views, max_requests, is_keyed, seed);
            assert!(
                busiest <= max_requests as usize,
                "seed {seed}, {count} instances, keyed {is_keyed}: {busiest} of {max_requests}"
            );
        }
    }
}

/// Shows why membership includes unreachable instances: if instances took over the shares
/// of those that they cannot reach, isolating a third of them would overload a cold
/// server.
#[test]
fn members_by_who_is_heard_would_overload_a_cold_server() {
    let max_requests = cold_limit(4.0);
    let views = (0..27).map(|me| match me % 3 {
        0 => members([me].into_iter()),
        _ => members((0..27).filter(|other| other % 3 > 0)),
    });
    for is_keyed in [false, true] {
        let busiest = max_requests_per_second(views.clone().collect(), max_requests, is_keyed, 1);
        assert!(
            busiest > max_requests as usize,
            "expected an overload, got {busiest} requests"
        );
    }
}

/// Guards against limits that starve cold servers: those without keys get enough to warm
/// up, and owners of keys get nearly the whole limit.
#[test]
fn cold_servers_get_most_of_what_they_may() {
    let max_requests = cold_limit(4.0);
    for count in [1, 3, 9, 27, 86, 195] {
        let views = || (0..count).map(|_| members(0..count)).collect();
        let pool = max_requests_per_second(views(), max_requests, false, 1);
        assert!(pool >= 4, "{count} instances: {pool}");
        let owner = max_requests_per_second(views(), max_requests, true, 1);
        let several = max_requests as usize - 2;
        assert!(owner >= several.min(count), "{count} instances: {owner}");
    }
}
