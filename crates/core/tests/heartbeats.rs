//! Heartbeat timeouts among 5 to 400 instances, in virtual time.

use {
    citron_core::freshness::{HEARTBEAT_TIMEOUT, HeartbeatSchedule, Sender},
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::time::Duration,
};

/// Numbers of instances that exchange heartbeats, in deployments of up to 400 instances
/// in five failure domains.
const SIZES: [usize; 9] = [2, 5, 7, 12, 16, 28, 39, 60, 80];
const SENDERS: [Sender; 3] = [Sender::SameDomain, Sender::OtherDomain, Sender::Planner];
/// Longest time for which a small processor's quota suspends a process.
const MAX_SUSPENSION: Duration = Duration::from_millis(100);
/// Percentage of datagrams that are lost.
const LOSS_PERCENT: u32 = 5;

/// How often a live sender counts as lost within ten minutes, with a given `timeout`.
fn count_timeouts(
    schedule: HeartbeatSchedule,
    sender: Sender,
    timeout: Duration,
    seed: u64,
) -> u32 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (mut now, mut last_heartbeat, mut count) = (Duration::ZERO, Duration::ZERO, 0);
    let mut consecutive_losses = 0;
    while now < Duration::from_secs(600) {
        now += schedule.interval(sender) + MAX_SUSPENSION.mul_f64(rng.random());
        // Up to two datagrams in a row are lost. Three in a row have a probability of one
        // in eight thousand and are left out.
        if consecutive_losses < 2 && rng.random_ratio(LOSS_PERCENT, 100) {
            consecutive_losses += 1;
            continue;
        }
        consecutive_losses = 0;
        count += u32::from(now - last_heartbeat > timeout);
        last_heartbeat = now;
    }
    count
}

/// Guards against live instances that count as lost. With 39 instances in a failure
/// domain, heartbeats from other domains arrive every 1.5 s, which was the fixed timeout
/// as well. Each instance then logged hundreds of lines per second about peers that were
/// back, and sent an immediate heartbeat to all of them. With a timeout that follows the
/// heartbeat interval, no live instance counts as lost at any size.
#[test]
fn who_is_there_is_not_lost_at_any_size() {
    let with_fixed_timeout = count_timeouts(
        HeartbeatSchedule::for_instances(39),
        Sender::OtherDomain,
        HEARTBEAT_TIMEOUT,
        1,
    );
    assert!(
        with_fixed_timeout > 200,
        "the fault does not occur: {with_fixed_timeout}"
    );
    for size in SIZES {
        let schedule = HeartbeatSchedule::for_instances(size);
        for (sender, seed) in SENDERS.into_iter().zip(1..) {
            let timeouts = count_timeouts(schedule, sender, schedule.timeout(sender), seed);
            assert_eq!(timeouts, 0, "{sender:?} among {size}");
        }
    }
}

/// Guards against a lost planner that is detected later in larger deployments: the
/// planner's timeout must not grow with the heartbeat interval of other instances.
#[test]
fn a_lost_planner_is_noticed_at_any_size() {
    for size in SIZES {
        let schedule = HeartbeatSchedule::for_instances(size);
        assert_eq!(schedule.timeout(Sender::Planner), HEARTBEAT_TIMEOUT);
        assert!(
            schedule.interval(Sender::Planner) * 3 < HEARTBEAT_TIMEOUT,
            "among {size}"
        );
    }
}
