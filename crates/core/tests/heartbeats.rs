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
const AWAY: Duration = Duration::from_millis(100);
/// Datagrams lost, in a hundred.
const LOSSES: u32 = 5;

/// How often a sender that is always there counts as lost within ten minutes, by a
/// silence of `lost`.
fn losses(beats: HeartbeatSchedule, sender: Sender, lost: Duration, seed: u64) -> u32 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (mut now, mut heard, mut count) = (Duration::ZERO, Duration::ZERO, 0);
    let mut dropped = 0;
    while now < Duration::from_secs(600) {
        now += beats.interval(sender) + AWAY.mul_f64(rng.random());
        // Two in a row may be lost, a third one is another matter: about one in
        // eight thousand.
        if dropped < 2 && rng.random_ratio(LOSSES, 100) {
            dropped += 1;
            continue;
        }
        dropped = 0;
        count += u32::from(now - heard > lost);
        heard = now;
    }
    count
}

/// Each instance writes hundreds of lines a second that others were heard again, and
/// tells all of them at once, though nobody was away: 39 in a failure domain hear those
/// of other domains every 1.5 s, which is as long as they take to count as lost. With
/// the time going by how often a sender is heard, nobody is lost at any size.
#[test]
fn who_is_there_is_not_lost_at_any_size() {
    let fixed = losses(
        HeartbeatSchedule::for_instances(39),
        Sender::OtherDomain,
        HEARTBEAT_TIMEOUT,
        1,
    );
    assert!(fixed > 200, "the pattern is gone: {fixed}");
    for size in SIZES {
        let beats = HeartbeatSchedule::for_instances(size);
        for (sender, seed) in SENDERS.into_iter().zip(1..) {
            let lost = losses(beats, sender, beats.timeout(sender), seed);
            assert_eq!(lost, 0, "{sender:?} among {size}");
        }
    }
}

/// A planner that is lost is noticed as soon among hundreds of instances as among ten:
/// its silence must not grow with the time between heartbeats of the others.
#[test]
fn a_lost_planner_is_noticed_at_any_size() {
    for size in SIZES {
        let beats = HeartbeatSchedule::for_instances(size);
        assert_eq!(beats.timeout(Sender::Planner), HEARTBEAT_TIMEOUT);
        assert!(
            beats.interval(Sender::Planner) * 3 < HEARTBEAT_TIMEOUT,
            "among {size}"
        );
    }
}
