//! The first assignment of a service's keys: when it is made, and how it divides them.

use {
    citron_core::{ranges::is_server_set_complete, time::Time},
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
