//! Which servers count as serving, leaving or ended.

use {
    citron_core::{
        id::{ServerName, Slots},
        ranges::{OwnerState, Owners},
        registry::{Registry, RegistryTimes, ServerEntry, ServerState},
        time::Time,
    },
    std::time::Duration,
};

fn at(millis: u64) -> Time {
    Time::ZERO + Duration::from_secs(100) + Duration::from_millis(millis)
}

fn entry(name: &str, port: u16, state: ServerState) -> ServerEntry {
    ServerEntry {
        name: name.parse().unwrap(),
        service: "balances".parse().unwrap(),
        address: ([127, 0, 0, 1], port).into(),
        domain: "east".parse().unwrap(),
        slots: Slots(4),
        state,
        warm_up: Duration::from_secs(3),
    }
}

fn registry() -> (Registry, ServerName) {
    let mut registry = Registry::new(RegistryTimes::STANDARD);
    registry.listed(entry("s-1", 1, ServerState::Ready), at(0));
    (registry, "s-1".parse().unwrap())
}

/// The store was away, and entries lapsed although their servers serve. Taken at
/// their word, the whole service would be gone; servers are back in the list
/// within two seconds, and only who is missing after that has left.
#[test]
fn entries_that_lapse_with_the_store_are_given_time() {
    let (mut registry, name) = registry();
    registry.store_back(at(1_000));
    registry.replaced(Vec::new(), at(1_010));
    assert_eq!(registry.state(&name), OwnerState::Serving);
    registry.tick(at(3_100));
    assert_eq!(registry.state(&name), OwnerState::Serving);
    registry.tick(at(3_300));
    assert_eq!(registry.state(&name), OwnerState::Leaving);
    registry.listed(entry("s-1", 1, ServerState::Ready), at(4_000));
    assert_eq!(registry.state(&name), OwnerState::Serving);
}

/// While the store answers, an entry that vanishes means what it says: some
/// servers leave without another word, and must get no new requests.
#[test]
fn an_entry_that_vanishes_otherwise_is_a_server_that_leaves() {
    let (mut registry, name) = registry();
    registry.removed(&name, at(500));
    assert_eq!(registry.state(&name), OwnerState::Leaving);
    assert_eq!(registry.get(&name).unwrap().left, Some(at(500)));
}

/// The time to drain counts from the first news. A server that writes its leaving
/// again and again, as its entry changes, does not get more time each time.
#[test]
fn leaving_counts_from_the_first_news() {
    let (mut registry, name) = registry();
    registry.listed(entry("s-1", 1, ServerState::Leaving), at(100));
    registry.listed(entry("s-1", 1, ServerState::Leaving), at(900));
    registry.removed(&name, at(1_500));
    assert_eq!(registry.get(&name).unwrap().left, Some(at(100)));
}

/// A server crashes and starts again at its address, or another service's server
/// gets the address: the former start has surely ended and holds nothing. That
/// its entry vanished would not prove it.
#[test]
fn another_start_at_the_address_proves_the_end() {
    let (mut registry, name) = registry();
    registry.removed(&name, at(100));
    assert_eq!(registry.state(&name), OwnerState::Leaving);
    registry.listed(entry("s-2", 1, ServerState::Ready), at(200));
    assert_eq!(registry.state(&name), OwnerState::Ended);
    assert_eq!(registry.state(&"s-2".parse().unwrap()), OwnerState::Serving);
}

/// The store turned this instance alone away. Right after its return a server's
/// entry is removed, as some servers leave without another word: the other
/// instances stop at once, and this one must not send to it until the time for
/// rejoining is over, which is longer than the server's time to drain.
#[test]
fn a_server_that_leaves_after_an_outage_of_ours_alone_is_not_kept_beyond_its_drain() {
    let drain = Duration::from_secs(2);
    let mut registry = Registry::new(RegistryTimes::for_drain(drain));
    registry.listed(entry("s-1", 1, ServerState::Ready), at(0));
    registry.store_back(at(1_000));
    registry.removed(&"s-1".parse().unwrap(), at(1_080));
    registry.tick(at(1_080) + drain);
    assert_eq!(registry.state(&"s-1".parse().unwrap()), OwnerState::Leaving);
}
