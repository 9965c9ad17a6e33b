//! When a table may decide that a request is denied for good, in virtual time.

use {
    citron_core::{
        freshness::{Freshness, FreshnessTimes, Lag, StaleReason, Staleness, VersionTracker},
        time::Time,
    },
    std::time::Duration,
};

const TIMES: FreshnessTimes = FreshnessTimes::STANDARD;

/// A table of an instance, by what it was told.
struct Table {
    fresh: Freshness<1>,
    newest: VersionTracker,
}

impl Table {
    fn new() -> Self {
        let fresh = Freshness::new(TIMES);
        let newest = VersionTracker::new(TIMES);
        Self { fresh, newest }
    }

    /// The store tells all up to a version, in a call that began then.
    fn store(&mut self, version: u64, begun: Time) {
        self.fresh.record_read(0, begun);
        self.newest.record_applied(version);
    }

    fn doubt(&self, now: Time) -> Option<StaleReason> {
        let age = self.fresh.age(0, now);
        let lag = self.newest.lag(self.fresh.as_of(0));
        Staleness { age, lag }.stale_reason(&TIMES)
    }
}

fn at(millis: u64) -> Time {
    Time::ZERO + Duration::from_millis(millis)
}

/// Guards against a denial by a table that was never read.
#[test]
fn a_table_of_unknown_age_denies_nothing() {
    let mut table = Table::new();
    assert_eq!(table.doubt(at(5)), Some(StaleReason::UnknownAge));
    table.newest.record_applied(7);
    assert_eq!(table.doubt(at(5)), Some(StaleReason::UnknownAge));
}

/// Guards against a denial by a table whose changes no longer arrive.
#[test]
fn a_table_denies_only_as_long_as_the_store_is_heard_of() {
    let mut table = Table::new();
    table.store(7, at(100));
    assert_eq!(table.doubt(at(1_600)), None);
    let old = Some(StaleReason::Expired(Duration::from_millis(1_501)));
    assert_eq!(table.doubt(at(1_601)), old);
    table.store(7, at(1_700));
    assert_eq!(table.doubt(at(1_701)), None);
}

/// Guards against a denial by a table that others have a newer version of, until it has
/// come whole.
#[test]
fn a_table_that_is_behind_denies_nothing() {
    let mut table = Table::new();
    table.store(7, at(0));
    table.newest.record_advertised(7, at(5));
    assert_eq!(table.doubt(at(10)), None);
    table.newest.record_advertised(12, at(12));
    table.newest.record_advertised(9, at(14));
    table.store(9, at(20));
    assert_eq!(table.doubt(at(30)), Some(StaleReason::Lagging));
    table.store(15, at(40));
    assert_eq!(table.doubt(at(50)), None);
    // Others that are behind in their turn say nothing about this one.
    table.newest.record_advertised(12, at(55));
    assert_eq!(table.doubt(at(60)), None);
}

/// Guards against a denial by the last good version while a newer one cannot be read.
#[test]
fn a_newer_row_that_cannot_be_read_denies_nothing() {
    let mut table = Table::new();
    table.store(7, at(0));
    table.newest.record_unreadable(8);
    table.store(8, at(10));
    assert_eq!(table.doubt(at(20)), Some(StaleReason::Unreadable));
    table.newest.record_advertised(9, at(25));
    assert_eq!(table.doubt(at(30)), Some(StaleReason::Unreadable));
    table.newest.record_readable(7);
    assert_eq!(table.doubt(at(40)), Some(StaleReason::Unreadable));
    table.newest.record_readable(9);
    table.store(9, at(50));
    assert_eq!(table.doubt(at(60)), None);
    assert_eq!(table.newest.lag(Some(at(50))), Lag::None);
}

/// Guards against a table that is doubted for good since an instance told of a newer one
/// and ended; and against trust in it while another one still tells.
#[test]
fn a_newer_version_that_nobody_tells_of_any_more_is_forgotten() {
    let mut table = Table::new();
    table.store(7, at(0));
    table.newest.record_advertised(12, at(100));
    table.newest.record_advertised(10, at(900));
    table.fresh.record_read(0, at(2_400));
    assert_eq!(table.doubt(at(2_400)), Some(StaleReason::Lagging));
    table.fresh.record_read(0, at(2_401));
    assert_eq!(table.doubt(at(2_401)), None);
    table.newest.record_advertised(10, at(2_500));
    assert_eq!(table.doubt(at(2_501)), Some(StaleReason::Lagging));
}
