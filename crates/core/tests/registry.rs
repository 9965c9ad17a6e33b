//! States of servers in the registry: serving, leaving or ended.

use {
    citron_core::{
        id::{ServerName, Slots},
        ranges::{OwnerState, Owners},
        registry::{PlannedOwners, Registry, RegistryTimes, SendBounds, ServerEntry, ServerState},
        time::Time,
    },
    insta::assert_snapshot,
    std::{fmt::Write, time::Duration},
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
    registry.apply_entry(entry("s-1", 1, ServerState::Ready), at(0));
    (registry, "s-1".parse().unwrap())
}

/// Guards against losing a whole service after an outage of the store, during which
/// entries expire although their servers still run. Servers are listed again within two
/// seconds; only a server that is missing after that has left.
#[test]
fn entries_that_lapse_with_the_store_are_given_time() {
    let (mut registry, name) = registry();
    registry.on_store_recovered(at(1_000));
    registry.replace_all(Vec::new(), at(1_010));
    assert_eq!(registry.state(&name), OwnerState::Serving);
    registry.tick(at(3_100));
    assert_eq!(registry.state(&name), OwnerState::Serving);
    registry.tick(at(3_300));
    assert_eq!(registry.state(&name), OwnerState::Leaving);
    registry.apply_entry(entry("s-1", 1, ServerState::Ready), at(4_000));
    assert_eq!(registry.state(&name), OwnerState::Serving);
}

/// Guards against requests to a server whose entry was removed while the store was
/// available: some servers leave without any other notice.
#[test]
fn an_entry_that_vanishes_otherwise_is_a_server_that_leaves() {
    let (mut registry, name) = registry();
    registry.remove_entry("s-1", at(500));
    assert_eq!(registry.state(&name), OwnerState::Leaving);
    assert_eq!(registry.get(&name).unwrap().leaving_since, Some(at(500)));
}

/// Guards against a drain time that restarts with every update of a leaving server's
/// entry: it counts from the first one that reports that the server leaves.
#[test]
fn leaving_counts_from_the_first_news() {
    let (mut registry, name) = registry();
    registry.apply_entry(entry("s-1", 1, ServerState::Leaving), at(100));
    registry.apply_entry(entry("s-1", 1, ServerState::Leaving), at(900));
    registry.remove_entry("s-1", at(1_500));
    assert_eq!(registry.get(&name).unwrap().leaving_since, Some(at(100)));
}

fn ready_entry(name: &str, port: u16) -> ServerEntry {
    entry(name, port, ServerState::Ready)
}

fn state(registry: &Registry, name: &str) -> OwnerState {
    registry.state(&name.parse().unwrap())
}

/// A server process has ended once another process, of the same or of another service, is
/// listed at its address with a later start time. The removal of its entry alone does not
/// prove that.
#[test]
fn a_later_start_at_the_address_proves_the_end() {
    let mut registry = Registry::new(RegistryTimes::STANDARD);
    registry.apply_entry(ready_entry("s-1@1000", 1), at(0));
    registry.remove_entry("s-1", at(100));
    assert_eq!(state(&registry, "s-1@1000"), OwnerState::Leaving);
    registry.apply_entry(ready_entry("s-2@5000", 1), at(200));
    assert_eq!(state(&registry, "s-1@1000"), OwnerState::Ended);
    assert_eq!(state(&registry, "s-2@5000"), OwnerState::Serving);
}

/// A server crashes during a network partition and restarts at its address. A heartbeat
/// of the old process is delayed and written after the first one of the new process.
/// Taken as proof that the new process has ended, it would free the keys of a server that
/// runs requests on them.
#[test]
fn a_late_heartbeat_of_a_former_start_proves_nothing() {
    let (mut registry, _) = registry();
    registry.remove_entry("s-1", at(4_860));
    registry.apply_entry(entry("s-2", 1, ServerState::Ready), at(8_190));
    registry.apply_entry(entry("s-1", 1, ServerState::Ready), at(9_420));
    assert_eq!(state(&registry, "s-2"), OwnerState::Serving);
    assert_eq!(state(&registry, "s-1"), OwnerState::Leaving);
    assert!(
        registry
            .get(&"s-1".parse().unwrap())
            .unwrap()
            .has_address_conflict()
    );
}

/// Another writer lists an entry with the address of a running server. Nothing shows
/// which of the two is alive, so neither counts as ended: a new owner of the running
/// server's keys would run requests on them at the same time.
#[test]
fn an_entry_with_a_servers_address_does_not_free_its_keys() {
    let (mut registry, _) = registry();
    registry.apply_entry(entry("s-9", 1, ServerState::Ready), at(500));
    assert_ne!(state(&registry, "s-1"), OwnerState::Ended);
    assert_ne!(state(&registry, "s-9"), OwnerState::Ended);
}

/// A server restarts under its previous id, and heartbeats of the old process arrive
/// late. The new process holds no keys of the old one, which counts as ended. An older
/// entry must neither bring the old process back nor end the new one.
#[test]
fn a_start_under_the_same_id_is_another_server() {
    let mut registry = Registry::new(RegistryTimes::STANDARD);
    registry.apply_entry(ready_entry("s-1@1000", 1), at(0));
    registry.apply_entry(ready_entry("s-1@5000", 2), at(300));
    registry.apply_entry(ready_entry("s-1@1000", 1), at(400));
    assert_eq!(state(&registry, "s-1@1000"), OwnerState::Ended);
    assert_eq!(state(&registry, "s-1@5000"), OwnerState::Serving);
    registry.remove_entry("s-1", at(900));
    assert_eq!(state(&registry, "s-1@5000"), OwnerState::Leaving);
    registry.apply_entry(ready_entry("s-1@5000", 2), at(1_200));
    assert_eq!(state(&registry, "s-1@5000"), OwnerState::Serving);
}

/// A complete list contains a late entry of the old process. The new process, whose id is
/// listed, must not count as removed.
#[test]
fn a_late_entry_in_the_whole_list_does_not_remove_the_new_start() {
    let mut registry = Registry::new(RegistryTimes::STANDARD);
    registry.apply_entry(ready_entry("s-1@5000", 1), at(0));
    registry.replace_all(vec![ready_entry("s-1@1000", 1)], at(100));
    assert_eq!(state(&registry, "s-1@5000"), OwnerState::Serving);
}

/// Another writer overwrites a server's entry with unreadable bytes. A server that writes
/// its next heartbeat in time has not left; one that does not has left, and is kept no
/// longer than after an outage of the store.
#[test]
fn an_entry_that_turned_unreadable_is_given_time() {
    let (mut registry, _) = registry();
    registry.mark_unreadable("s-1", at(500));
    registry.tick(at(2_600));
    assert_eq!(state(&registry, "s-1"), OwnerState::Serving);
    registry.apply_entry(entry("s-1", 1, ServerState::Ready), at(2_650));
    registry.tick(at(9_000));
    assert_eq!(state(&registry, "s-1"), OwnerState::Serving);
    registry.mark_unreadable("s-1", at(9_100));
    registry.mark_unreadable("s-1", at(11_000));
    registry.tick(at(11_400));
    assert_eq!(state(&registry, "s-1"), OwnerState::Leaving);
}

/// The store was unavailable to this instance only. Right after its return a server's
/// entry is removed because the server leaves. The other instances stop sending at once;
/// this one must not send until the time for rejoining ends, as that is longer than the
/// server's drain time.
#[test]
fn a_server_that_leaves_after_an_outage_of_ours_alone_is_not_kept_beyond_its_drain() {
    let drain = Duration::from_secs(2);
    let mut registry = Registry::new(RegistryTimes::for_drain(drain));
    registry.apply_entry(entry("s-1", 1, ServerState::Ready), at(0));
    registry.on_store_recovered(at(1_000));
    registry.remove_entry("s-1", at(1_080));
    registry.tick(at(1_080) + drain);
    assert_eq!(registry.state(&"s-1".parse().unwrap()), OwnerState::Leaving);
}

/// Guards against requests and keys that stay in an evacuated failure domain, also on
/// servers that are listed later.
#[test]
fn servers_of_an_evacuated_domain_are_left() {
    let (mut registry, name) = registry();
    let east = || "east".parse().unwrap();
    registry.evacuate(east(), at(1_000));
    registry.apply_entry(entry("s-2", 2, ServerState::Ready), at(1_500));
    registry.apply_entry(entry("s-1", 1, ServerState::Ready), at(1_500));
    for server in ["s-1", "s-2"].map(|name| name.parse().unwrap()) {
        assert_eq!(registry.state(&server), OwnerState::Leaving);
        let record = registry.get(&server).unwrap();
        assert_eq!(record.evacuated_since, Some(at(1_000)));
        assert!(!record.is_available() && record.is_listed());
    }
    registry.evacuate(east(), at(2_000));
    assert_eq!(
        registry.get(&name).unwrap().evacuated_since,
        Some(at(1_000))
    );
    registry.end_evacuation(&east(), Duration::from_secs(3), at(3_000));
    assert_eq!(registry.state(&name), OwnerState::Serving);
}

/// Guards against a server that leaves and is evacuated, and gets requests until the
/// later of the two limits.
#[test]
fn the_earlier_of_drain_and_evacuation_ends_requests_to_an_owner() {
    let (mut registry, name) = registry();
    let bounds = SendBounds::from_limits(Duration::from_secs(2), Duration::from_secs(5));
    assert_eq!(registry.get(&name).unwrap().send_deadline(&bounds), None);
    registry.evacuate("east".parse().unwrap(), at(0));
    let evacuated = registry.get(&name).unwrap().send_deadline(&bounds);
    assert!(evacuated.is_some_and(|last| last < at(5_000)));
    registry.apply_entry(entry("s-1", 1, ServerState::Leaving), at(100));
    let earliest = registry.get(&name).unwrap().send_deadline(&bounds);
    assert!(earliest < evacuated);
}

/// Guards against counting servers as warm after an evacuation, when they have become
/// cold and have not reported it yet.
#[test]
fn servers_count_as_cold_after_an_evacuation() {
    let (mut registry, name) = registry();
    let warm = entry("s-1", 1, ServerState::Ready);
    let warm = ServerEntry {
        warm_up: Duration::ZERO,
        ..warm
    };
    registry.apply_entry(warm.clone(), at(4_000));
    assert!(
        registry
            .get(&name)
            .unwrap()
            .remaining_warm_up(at(4_000))
            .is_zero()
    );
    registry.evacuate("east".parse().unwrap(), at(5_000));
    registry.end_evacuation(&"east".parse().unwrap(), Duration::from_secs(3), at(9_000));
    registry.apply_entry(warm, at(9_500));
    let cold = registry.get(&name).unwrap().remaining_warm_up(at(9_500));
    assert!(cold > Duration::from_secs(3), "{cold:?}");
}

/// Guards against counting a server as warm because it was first listed long ago,
/// although it has become cold again.
#[test]
fn a_server_becomes_cold_again() {
    let (mut registry, name) = registry();
    assert!(
        registry
            .get(&name)
            .unwrap()
            .remaining_warm_up(at(3_100))
            .is_zero()
    );
    registry.apply_entry(entry("s-1", 1, ServerState::Ready), at(60_000));
    let cold = registry.get(&name).unwrap().remaining_warm_up(at(61_000));
    assert_eq!(cold, Duration::from_secs(2));
}

/// Guards against a leaving server that gets requests again: its statement in a response is
/// newer than the entry that the store still holds, and a heartbeat of before comes late.
#[test]
fn a_ready_entry_does_not_revoke_what_the_server_stated_itself() {
    let (mut registry, name) = registry();
    assert!(registry.mark_leaving(&name, at(100)));
    assert!(!registry.mark_leaving(&name, at(300)));
    registry.apply_entry(entry("s-1", 1, ServerState::Ready), at(500));
    assert_eq!(registry.state(&name), OwnerState::Leaving);
    assert_eq!(registry.get(&name).unwrap().leaving_since, Some(at(100)));
    registry.apply_entry(entry("s-1", 1, ServerState::Leaving), at(900));
    assert_eq!(registry.get(&name).unwrap().leaving_since, Some(at(100)));
}

/// Guards against requests to a server whose statement is known before its entry: another
/// instance has reported it.
#[test]
fn a_statement_counts_for_an_entry_that_comes_later() {
    let mut registry = Registry::new(RegistryTimes::STANDARD);
    let name: ServerName = "s-1".parse().unwrap();
    assert!(!registry.mark_leaving(&name, at(0)));
    registry.apply_entry(entry("s-1", 1, ServerState::Ready), at(100));
    assert_eq!(registry.state(&name), OwnerState::Leaving);
}

/// Guards against keys without an owner for the length of an outage: the planner releases
/// them at a server that has stated that it leaves, and cannot commit their next owner.
#[test]
fn keys_stay_with_a_server_that_states_its_leaving_while_the_store_is_down() {
    let (mut registry, name) = registry();
    registry.mark_leaving(&name, at(100));
    let planned = |registry: &Registry, is_store_up| {
        PlannedOwners {
            registry,
            is_store_up,
        }
        .state(&name)
    };
    assert_eq!(planned(&registry, false), OwnerState::Serving);
    assert_eq!(planned(&registry, true), OwnerState::Leaving);
    registry.apply_entry(entry("s-1", 1, ServerState::Leaving), at(200));
    assert_eq!(planned(&registry, false), OwnerState::Leaving);
}

/// Guards against new requests to a server that had reported its leaving to a store that then
/// came back from an older copy, which lists the server as ready.
#[test]
fn a_restored_entry_does_not_revoke_that_a_server_leaves() {
    let (mut registry, name) = registry();
    registry.apply_entry(entry("s-1", 1, ServerState::Leaving), at(100));
    registry.on_store_restored(at(2_000));
    registry.apply_entry(entry("s-1", 1, ServerState::Ready), at(2_000));
    registry.tick(at(8_000));
    registry.apply_entry(entry("s-1", 1, ServerState::Ready), at(9_000));
    assert_eq!(registry.state(&name), OwnerState::Leaving);
    assert_eq!(registry.get(&name).unwrap().leaving_since, Some(at(100)));
}

/// Guards against new requests to a server whose entry was removed from a store that then came
/// back from an older copy: it lists the entry until the entry expires.
#[test]
fn a_restored_entry_of_a_server_that_is_gone_is_not_believed() {
    let (mut registry, name) = registry();
    registry.remove_entry("s-1", at(100));
    registry.on_store_restored(at(2_000));
    registry.apply_entry(entry("s-1", 1, ServerState::Ready), at(2_000));
    assert_eq!(registry.state(&name), OwnerState::Leaving);
    registry.remove_entry("s-1", at(4_600));
    registry.tick(at(8_000));
    assert_eq!(registry.state(&name), OwnerState::Leaving);
}

/// Guards against a live server that stays unused: it was not listed for a moment, and the
/// restored store lists it again. Its entry outlasts the time after which it would expire.
#[test]
fn a_restored_entry_that_does_not_expire_is_believed() {
    let (mut registry, name) = registry();
    registry.remove_entry("s-1", at(100));
    registry.on_store_restored(at(2_000));
    registry.apply_entry(entry("s-1", 1, ServerState::Ready), at(2_000));
    registry.tick(at(5_900));
    assert_eq!(registry.state(&name), OwnerState::Leaving);
    registry.tick(at(6_100));
    assert_eq!(registry.state(&name), OwnerState::Serving);
}

/// Guards against losing a server that registered after the copy was taken from which the
/// store came back, although no outage was noticed: servers write their entries again.
#[test]
fn entries_that_a_restored_store_lacks_are_given_time() {
    let (mut registry, name) = registry();
    registry.on_store_restored(at(1_000));
    registry.remove_entry("s-1", at(1_000));
    registry.tick(at(3_100));
    assert_eq!(registry.state(&name), OwnerState::Serving);
    registry.tick(at(3_300));
    assert_eq!(registry.state(&name), OwnerState::Leaving);
}

/// Guards against requests to an evacuated failure domain: the store came back from a copy that
/// lacks the evacuation, and the operators write it again only later.
#[test]
fn an_evacuation_outlasts_a_copy_that_lacks_it() {
    let (mut registry, name) = registry();
    registry.evacuate("east".parse().unwrap(), at(100));
    let warm_up = Duration::ZERO;
    registry.end_restored_evacuation("east".parse().unwrap(), warm_up, at(2_000));
    registry.tick(at(4_000));
    assert_eq!(registry.state(&name), OwnerState::Leaving);
    registry.evacuate("east".parse().unwrap(), at(4_500));
    registry.tick(at(9_000));
    assert_eq!(registry.state(&name), OwnerState::Leaving);
}

/// Guards against an evacuation that never ends: nobody writes it again after the store came
/// back from a copy that lacks it.
#[test]
fn an_evacuation_that_nobody_writes_again_ends() {
    let (mut registry, name) = registry();
    registry.evacuate("east".parse().unwrap(), at(100));
    let warm_up = Duration::ZERO;
    registry.end_restored_evacuation("east".parse().unwrap(), warm_up, at(2_000));
    registry.tick(at(7_100));
    assert_eq!(registry.state(&name), OwnerState::Serving);
}

/// Guards against callers who are refused because the store came back from a copy with an
/// evacuation that has ended since: the operators end it again.
#[test]
fn an_evacuation_that_ended_is_not_begun_by_a_copy() {
    let (mut registry, name) = registry();
    registry.begin_restored_evacuation("east".parse().unwrap(), at(2_000));
    registry.tick(at(4_000));
    assert_eq!(registry.state(&name), OwnerState::Serving);
    registry.end_evacuation(&"east".parse().unwrap(), Duration::ZERO, at(4_500));
    registry.tick(at(9_000));
    assert_eq!(registry.state(&name), OwnerState::Serving);
    registry.begin_restored_evacuation("east".parse().unwrap(), at(10_000));
    registry.tick(at(15_100));
    assert_eq!(registry.state(&name), OwnerState::Leaving);
}

/// Guards against a server that gets no requests any more: the store came back from a copy with
/// the entry of a server that had crashed before at the same address, and the entry is
/// removed again.
#[test]
fn an_address_conflict_ends_with_the_removal_of_the_other_entry() {
    let (mut registry, name) = registry();
    registry.on_store_restored(at(1_000));
    registry.apply_entry(entry("s-0", 1, ServerState::Ready), at(1_000));
    assert_eq!(registry.state(&name), OwnerState::Leaving);
    registry.apply_entry(entry("s-1", 1, ServerState::Ready), at(1_100));
    registry.remove_entry("s-0", at(1_500));
    registry.tick(at(1_600));
    assert_eq!(registry.state(&name), OwnerState::Leaving);
    registry.tick(at(3_300));
    assert_eq!(registry.state(&name), OwnerState::Serving);
    assert_eq!(state(&registry, "s-0"), OwnerState::Leaving);
}

/// Guards against requests to a server whose own entry was removed while another one claimed its
/// address: the end of the conflict does not list it again.
#[test]
fn a_server_that_was_removed_in_an_address_conflict_stays_removed() {
    let (mut registry, name) = registry();
    registry.apply_entry(entry("s-2", 1, ServerState::Ready), at(100));
    registry.remove_entry("s-1", at(200));
    registry.remove_entry("s-2", at(300));
    registry.tick(at(400));
    assert_eq!(registry.state(&name), OwnerState::Leaving);
    assert_eq!(state(&registry, "s-2"), OwnerState::Leaving);
}

/// Guards against a server that gets no requests any more after two restores in a row: the second
/// one comes while its address is still disputed, and the dispute ends before the doubt.
#[test]
fn an_address_conflict_outlasts_a_second_restore_and_ends() {
    let (mut registry, name) = registry();
    registry.on_store_restored(at(1_000));
    registry.apply_entry(entry("s-0", 1, ServerState::Ready), at(1_000));
    registry.on_store_restored(at(2_000));
    registry.apply_entry(entry("s-1", 1, ServerState::Ready), at(2_000));
    registry.remove_entry("s-0", at(2_100));
    registry.tick(at(4_500));
    registry.tick(at(6_100));
    assert_eq!(registry.state(&name), OwnerState::Serving);
}

/// Guards against an entry that takes the keys and requests of all other servers by stating more
/// slots than all of them.
#[test]
fn slots_far_above_those_of_others_do_not_count() {
    let mut registry = Registry::new(RegistryTimes::STANDARD);
    let mut table = String::new();
    for (number, slots) in [4, u32::MAX, 3, 5, 20].into_iter().enumerate() {
        let name = format!("s-{number}");
        let entry = ServerEntry {
            slots: Slots(slots),
            ..entry(&name, number as u16 + 1, ServerState::Ready)
        };
        registry.apply_entry(entry, at(0));
        let lists = registry.server_lists();
        let listed = lists.values().flat_map(|list| list.iter());
        let slots: Vec<String> = listed.map(|known| known.entry.slots.to_string()).collect();
        writeln!(table, "{}", slots.join(" ")).unwrap();
    }
    assert_snapshot!(table, @"
    4
    4 16
    4 16 3
    4 16 3 5
    4 20 3 5 20
    ");
}
