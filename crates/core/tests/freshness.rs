//! How late news of the store may come, in virtual time: instances of several failure
//! domains that ask and hear as the product does, while the store answers some of them.

use {
    citron_core::{
        freshness::{Age, Freshness, FreshnessTimes, LagTimer, PropagationTimes, Role},
        time::Time,
    },
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::time::Duration,
};

const TIMES: FreshnessTimes = FreshnessTimes::STANDARD;
const HEAR: PropagationTimes = PropagationTimes::STANDARD;
/// What the operators set: a server that leaves may get requests for so long, and a
/// change of configuration must be in force.
const BOUND: Duration = Duration::from_secs(2);
const INSTANCES: usize = 10;
const DOMAINS: usize = 4;
/// After so long a call without an answer is given up.
const GIVEN_UP: Duration = Duration::from_millis(600);
/// One way between two instances, or to the store.
const WAY: Duration = Duration::from_millis(2);

fn at(millis: u64) -> Time {
    Time::ZERO + Duration::from_secs(100) + Duration::from_millis(millis)
}

struct Instance {
    fresh: Freshness<1>,
    behind: LagTimer<1>,
    version: u64,
    /// Whether the store's answers reach it.
    hears: bool,
    look: Time,
    beat: Time,
    rounds: u64,
    hurry: bool,
}

enum Event {
    /// The store answers a call that began then.
    Answer {
        to: usize,
        begun: Time,
        version: u64,
    },
    Heartbeat {
        to: usize,
        from: usize,
        version: u64,
        age: Age,
    },
    /// Another instance hands its table over; the call began then.
    Table {
        to: usize,
        begun: Time,
        version: u64,
        age: Age,
    },
}

struct World {
    now: Time,
    version: u64,
    instances: Vec<Instance>,
    events: Vec<(Time, Event)>,
    rng: ChaCha8Rng,
    calls: u32,
    /// Datagrams that are lost, in a hundred.
    loss: u32,
    longest: Duration,
}

impl World {
    fn new(seed: u64, loss: u32) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut phase = |most: Duration| at(rng.random_range(0..most.as_millis() as u64));
        let instances = (0..INSTANCES).map(|_| Instance {
            fresh: Freshness::new(TIMES),
            behind: LagTimer::new(HEAR.lag_grace),
            version: 1,
            hears: true,
            look: phase(HEAR.poll_interval),
            beat: phase(HEAR.heartbeat_interval),
            rounds: 0,
            hurry: false,
        });
        Self {
            now: at(0),
            version: 1,
            instances: instances.collect(),
            events: Vec::new(),
            rng,
            calls: 0,
            loss,
            longest: Duration::ZERO,
        }
    }

    /// One that ran for a while, until the store answers only some of the instances.
    fn deafened(seed: u64, loss: u32) -> Self {
        let mut world = Self::new(seed, loss);
        let deaf = deaf(seed, &mut world.rng);
        world.run(Duration::from_secs(3), |_| false);
        for (instance, deaf) in world.instances.iter_mut().zip(deaf) {
            instance.hears = !deaf;
        }
        world
    }

    fn role(&self, me: usize) -> Role {
        match me {
            0 => Role::Planner,
            _ if me < DOMAINS => Role::Reader,
            _ => Role::Follower,
        }
    }

    fn after(&mut self, span: Duration, event: Event) {
        self.events.push((self.now + span, event));
    }

    fn run(&mut self, span: Duration, done: impl Fn(&Self) -> bool) -> Duration {
        let begun = self.now;
        while self.now - begun < span && !done(self) {
            self.now = self.now + Duration::from_millis(1);
            self.step();
        }
        self.now - begun
    }

    fn step(&mut self) {
        let now = self.now;
        let (due, later) = self.events.drain(..).partition(|(when, _)| *when <= now);
        self.events = later;
        let due: Vec<(Time, Event)> = due;
        for (_, event) in due {
            self.take(event);
        }
        for me in 0..INSTANCES {
            if self.instances[me].look <= now {
                self.look(me);
            }
            if self.instances[me].beat <= now || self.instances[me].hurry {
                self.beat(me);
            }
            let age = self.instances[me].fresh.age(0, now).unwrap_or_default();
            self.longest = self.longest.max(age);
        }
    }

    fn look(&mut self, me: usize) {
        let (now, role) = (self.now, self.role(me));
        let instance = &mut self.instances[me];
        instance.look = now + HEAR.poll_interval;
        if !instance.fresh.is_due(role, now) {
            return;
        }
        self.calls += 1;
        let call = if instance.hears {
            HEAR.call_duration
        } else {
            GIVEN_UP
        };
        instance.look = now + call;
        if !instance.hears {
            return instance.fresh.record_failure(role, 1.0, now + call);
        }
        let slow = Duration::from_millis(
            self.rng
                .random_range(4..HEAR.call_duration.as_millis() as u64),
        );
        let (begun, version) = (now, self.version);
        self.after(
            slow,
            Event::Answer {
                to: me,
                begun,
                version,
            },
        );
    }

    fn beat(&mut self, me: usize) {
        let instance = &mut self.instances[me];
        let all = std::mem::take(&mut instance.hurry);
        instance.beat = self.now + HEAR.heartbeat_interval;
        instance.rounds += 1;
        let far = all
            || instance
                .rounds
                .is_multiple_of(HEAR.cross_domain_factor.into());
        let (version, age) = (instance.version, instance.fresh.age(0, self.now));
        for to in (0..INSTANCES).filter(|to| *to != me) {
            let near = to % DOMAINS == me % DOMAINS;
            if (near || far) && self.rng.random_range(0..100) >= self.loss {
                self.after(
                    WAY,
                    Event::Heartbeat {
                        to,
                        from: me,
                        version,
                        age,
                    },
                );
            }
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Answer { to, begun, version } => {
                let instance = &mut self.instances[to];
                instance.fresh.record_read(0, begun);
                instance.version = version;
                instance.hurry = true;
            }
            Event::Heartbeat {
                to,
                from,
                version,
                age,
            } => self.hear(to, from, version, age),
            Event::Table {
                to,
                begun,
                version,
                age,
            } => {
                let instance = &mut self.instances[to];
                instance.fresh.record_peer_age(0, age, begun);
                instance.version = instance.version.max(version);
                instance.behind.caught_up(0);
            }
        }
    }

    fn hear(&mut self, to: usize, from: usize, version: u64, age: Age) {
        let near = to % DOMAINS == from % DOMAINS;
        let waits = !near || self.role(to) != Role::Follower;
        let now = self.now;
        let instance = &mut self.instances[to];
        if version == instance.version {
            instance.fresh.record_peer_age(0, age, now);
        }
        if version <= instance.version || !instance.behind.should_fetch(0, waits, now) {
            return;
        }
        let sender = &self.instances[from];
        let (version, age) = (sender.version, sender.fresh.age(0, now));
        self.after(
            2 * WAY,
            Event::Table {
                to,
                begun: now,
                version,
                age,
            },
        );
    }

    /// The store takes a change; how long until all instances know it.
    fn change(&mut self) -> Duration {
        self.version += 1;
        let version = self.version;
        let all = |world: &Self| world.instances.iter().all(|one| one.version == version);
        self.run(2 * BOUND, all)
    }
}

/// Nobody's open question tells of a change: all were swallowed. Whoever of the
/// instances does not hear the store either, in whatever phase the others are, each
/// one knows a change within the sum of the named spans, and that is under the bound.
#[test]
fn a_change_is_known_everywhere_in_time_as_long_as_one_instance_hears_the_store() {
    let worst = HEAR.max_delay(&TIMES);
    assert!(worst < BOUND);
    let mut longest = Duration::ZERO;
    for seed in 0..400 {
        let mut world = World::deafened(seed, 0);
        let phase = world.rng.random_range(0..3_000);
        world.run(Duration::from_millis(phase), |_| false);
        let late = world.change();
        assert!(late <= worst, "seed {seed}: {late:?}");
        longest = longest.max(late);
    }
    // Else the sum would hold for want of a hard case.
    assert!(longest > TIMES.follower_interval, "{longest:?}");
}

/// Who does not hear: all but one, the ones that ask first, the planner, or anyone.
fn deaf(seed: u64, rng: &mut ChaCha8Rng) -> Vec<bool> {
    let one = rng.random_range(0..INSTANCES);
    let draw = |rng: &mut ChaCha8Rng| rng.random_bool(0.5);
    let deaf = (0..INSTANCES).map(|at| match seed % 4 {
        0 => at != one,
        1 => at < DOMAINS,
        2 => at == 0,
        _ => at != one && draw(rng),
    });
    deaf.collect()
}

/// One datagram in twenty is lost, as the one that tells of a change may be. The sum
/// allows for one that is lost; no draw of these needs more.
#[test]
fn lost_datagrams_are_made_up_for_in_time() {
    for seed in 0..200 {
        let mut world = World::deafened(seed, 5);
        let late = world.change();
        assert!(late <= HEAR.max_delay(&TIMES), "seed {seed}: {late:?}");
    }
}

/// While the store answers, the planner's calls do for the whole fleet: some two a
/// second, however many instances there are.
#[test]
fn one_instance_asks_for_all() {
    let mut world = World::new(7, 0);
    world.run(Duration::from_secs(3), |_| false);
    world.calls = 0;
    world.run(Duration::from_secs(20), |_| false);
    assert!((30..=42).contains(&world.calls), "{}", world.calls);
}

/// An instance that did not ask the store for long, as others did, has missed nothing.
/// A removal that it then hears of is a server that leaves, and not an entry that
/// lapsed in an outage; kept for the time in which servers write themselves anew, it
/// would get requests beyond its time.
#[test]
fn what_others_heard_is_no_outage() {
    let mut fresh = Freshness::<1>::new(TIMES);
    assert_eq!(fresh.record_read(0, at(0)), None);
    for tick in 1..50 {
        let age = Some(Duration::from_millis(600));
        assert_eq!(fresh.record_peer_age(0, age, at(tick * 500)), None);
    }
    assert_eq!(fresh.record_read(0, at(25_000)), None);
    let gap = fresh.record_read(0, at(27_000)).unwrap();
    assert_eq!(gap.duration, Duration::from_secs(2));
    assert_eq!(gap.end, at(27_000));
}

/// Whoever hears the store, no instance's age reaches that of an outage.
#[test]
fn a_store_that_answers_one_instance_is_not_away() {
    for one in 0..INSTANCES {
        let mut world = World::new(one as u64, 0);
        world.run(Duration::from_secs(3), |_| false);
        for at in (0..INSTANCES).filter(|at| *at != one) {
            world.instances[at].hears = false;
        }
        world.longest = Duration::ZERO;
        world.run(Duration::from_secs(10), |_| false);
        assert!(
            world.longest < TIMES.outage_age,
            "{one}: {:?}",
            world.longest
        );
    }
}

/// Guards against a store that is asked hundreds of times a second while it is away: each
/// call is paid for, and its return is noticed by the first one that asks.
#[test]
fn a_store_that_is_away_is_asked_ever_less() {
    let away = |span: Duration| {
        let mut world = World::new(3, 0);
        world.run(Duration::from_secs(3), |_| false);
        world.instances.iter_mut().for_each(|one| one.hears = false);
        world.calls = 0;
        world.run(span, |_| false);
        world.calls
    };
    let first = away(Duration::from_secs(3));
    let later = away(Duration::from_secs(9)) - away(Duration::from_secs(6));
    // The planner and the readers ask on, once in 350 ms and the time of a call.
    let steady = DOMAINS as u32 * 4;
    let others = INSTANCES as u32 - DOMAINS as u32;
    assert!(later <= steady + others * 2, "{first}, then {later}");
}

/// Guards against a store that is asked without end while all tables are arriving.
#[test]
fn the_store_is_not_due_for_tables_that_are_arriving() {
    let mut fresh = Freshness::<2>::new(TIMES);
    fresh.record_read(0, at(0));
    fresh.record_read(1, at(1_000));
    let left = |arriving| fresh.time_until_due_except(arriving, Role::Follower, at(1_100));
    assert!(left([false, false]).is_zero());
    assert!(!left([true, false]).is_zero());
    assert!(!left([true, true]).is_zero());
}
