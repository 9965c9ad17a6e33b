//! Heartbeats among 5 to 400 instances, in virtual time.

use {
    citron_core::freshness::{HEARTBEAT_TIMEOUT, HeartbeatSchedule, Sender},
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::time::Duration,
};

/// Instances that hear each other, in deployments of up to 400 in five domains.
const SIZES: [usize; 9] = [2, 5, 7, 12, 16, 28, 39, 60, 80];
const SENDERS: [Sender; 3] = [Sender::SameDomain, Sender::OtherDomain, Sender::Planner];
/// A small processor is taken away for so long at most.
const MAX_SUSPENSION: Duration = Duration::from_millis(100);
/// Datagrams lost, in a hundred.
const LOSS_PERCENT: u32 = 5;

/// How often a sender that is always there counts as lost within ten minutes, by a
/// silence of `lost`.
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
        // Two in a row may be lost, a third one is another matter: about one in
        // eight thousand.
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

/// Each instance writes hundreds of lines a second that others were heard again, and
/// tells all of them at once, though nobody was away: 39 in a failure domain hear those
/// of other domains every 1.5 s, which is as long as they take to count as lost. With
/// the time going by how often a sender is heard, nobody is lost at any size.
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

/// A planner that is lost is noticed as soon among hundreds of instances as among ten:
/// its silence must not grow with the time between heartbeats of the others.
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
