//! Fetches of tables over a slow link, in virtual time.

use {
    citron_core::{
        freshness::{Fetch, FetchTimes, Fetches},
        time::Time,
    },
    std::time::Duration,
};

/// Bytes per millisecond that the link carries in addition to callers' traffic.
const LINK_BYTES_PER_MS: f64 = 1_000.0;
/// Interval between heartbeats that advertise the newer table, in milliseconds.
const HEARTBEAT_INTERVAL_MS: u64 = 25;
/// Longest simulated time, in milliseconds.
const MAX_DURATION_MS: u64 = 30_000;

fn at(millis: u64) -> Time {
    Time::ZERO + Duration::from_millis(millis)
}

/// An instance whose table is older than that of all others.
struct Instance {
    fetches: Fetches<1>,
    /// Fetches in progress, with the bytes still to arrive.
    open: Vec<(Fetch, f64)>,
    begun: usize,
}

impl Instance {
    fn new() -> Self {
        Self {
            fetches: Fetches::new(FetchTimes::STANDARD),
            open: Vec::new(),
            begun: 0,
        }
    }

    fn receive_heartbeat(&mut self, now: Time, bytes: f64) {
        if let Some(fetch) = self.fetches.begin(0, now) {
            self.open.push((fetch, bytes));
            self.begun += 1;
        }
    }

    /// Receives for one millisecond. The fetches whose source is sending share the link
    /// evenly.
    fn receive(&mut self, now: Time, is_sending: impl Fn(usize, f64) -> bool) {
        let check = |(index, (_, remaining)): (usize, &(Fetch, f64))| is_sending(index, *remaining);
        let sending: Vec<bool> = self.open.iter().enumerate().map(check).collect();
        let share =
            LINK_BYTES_PER_MS / sending.iter().filter(|sends| **sends).count().max(1) as f64;
        for ((fetch, remaining), sends) in self.open.iter_mut().zip(sending) {
            if sends {
                *remaining -= share;
                self.fetches.record_progress(*fetch, now);
            }
        }
    }

    fn abort_idle(&mut self, now: Time) {
        let is_idle = |fetch: &Fetch| self.fetches.time_until_idle(*fetch, now).is_zero();
        let idle: Vec<Fetch> = self
            .open
            .iter()
            .map(|open| open.0)
            .filter(is_idle)
            .collect();
        self.open.retain(|(fetch, _)| !idle.contains(fetch));
        for fetch in idle {
            self.fetches.end(fetch);
        }
    }
}

/// The time until a table of `bytes` has arrived; `None` if it does not arrive.
fn arrival(bytes: f64, is_sending: impl Fn(usize, f64) -> bool) -> Option<Duration> {
    let mut instance = Instance::new();
    for millis in 0..MAX_DURATION_MS {
        let now = at(millis);
        if millis % HEARTBEAT_INTERVAL_MS == 0 {
            instance.receive_heartbeat(now, bytes);
        }
        instance.receive(now, &is_sending);
        if instance.open.iter().any(|(_, remaining)| *remaining <= 0.0) {
            return Some(Duration::from_millis(millis));
        }
        instance.abort_idle(now);
    }
    None
}

/// Guards against concurrent fetches that slow each other down on the link until each is
/// aborted and restarted, without end.
#[test]
fn a_table_that_fills_a_narrow_link_for_long_arrives() {
    for millis in [50, 200, 400, 900, 2_000, 5_000] {
        let alone = Duration::from_millis(millis);
        let arrived = arrival(LINK_BYTES_PER_MS * millis as f64, |_, _| true);
        let is_in_time = arrived.is_some_and(|arrived| arrived <= alone * 2);
        assert!(is_in_time, "{alone:?} alone, arrived after {arrived:?}");
    }
}

/// Guards against waiting for an instance that has ended.
#[test]
fn an_instance_that_does_not_answer_holds_no_table_up() {
    let arrived = arrival(LINK_BYTES_PER_MS * 50.0, |number, _| number > 0);
    assert!(arrived.is_some_and(|arrived| arrived < Duration::from_millis(300)));
}

/// Guards against waiting for an instance that stalls in the middle of its response.
#[test]
fn an_instance_that_stops_in_its_answer_holds_no_table_up() {
    let (whole, half) = (LINK_BYTES_PER_MS * 100.0, LINK_BYTES_PER_MS * 50.0);
    let arrived = arrival(whole, |number, remaining| number > 0 || remaining > half);
    assert!(
        arrived.is_some_and(|arrived| arrived < Duration::from_secs(1)),
        "{arrived:?}"
    );
}

/// Guards against a slow source that keeps an instance from asking any other.
#[test]
fn a_source_that_drips_gives_way_to_a_good_one() {
    let mut fetches = Fetches::<1>::new(FetchTimes::STANDARD);
    let first = fetches.begin(0, at(0)).unwrap();
    for millis in (0..1_500).step_by(50) {
        fetches.record_progress(first, at(millis));
        assert!(fetches.begin(0, at(millis)).is_none());
    }
    fetches.record_progress(first, at(1_550));
    assert!(!fetches.is_arriving(0, at(1_551)));
    assert!(fetches.begin(0, at(1_551)).is_some());
    assert!(!fetches.time_until_idle(first, at(1_552)).is_zero());
}

/// Guards against polling the store for a table that is being received already, and
/// against not polling it for one that is not.
#[test]
fn only_a_table_of_which_parts_come_is_arriving() {
    let mut fetches = Fetches::<1>::new(FetchTimes::STANDARD);
    let fetch = fetches.begin(0, at(0)).unwrap();
    assert!(!fetches.is_arriving(0, at(1)));
    fetches.record_progress(fetch, at(2));
    assert!(fetches.is_arriving(0, at(3)));
    assert!(!fetches.is_arriving(0, at(2_000)));
    fetches.end(fetch);
    assert!(!fetches.is_arriving(0, at(3)));
}

/// Guards against a fetch that is delayed by the fetch of another table.
#[test]
fn a_long_table_holds_no_other_one_up() {
    let mut fetches = Fetches::<2>::new(FetchTimes::STANDARD);
    assert!(fetches.begin(0, at(0)).is_some());
    assert!(fetches.begin(1, at(1)).is_some());
    assert!(fetches.begin(1, at(2)).is_none());
}
