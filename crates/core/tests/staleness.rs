//! When a table copy may justify a final denial of a request, in virtual time.

use {
    citron_core::{
        freshness::{Freshness, FreshnessTimes, Lag, StaleReason, Staleness, VersionTracker},
        id::StoreVersion,
        time::Time,
    },
    std::time::Duration,
};

const TIMES: FreshnessTimes = FreshnessTimes::STANDARD;

/// An instance's table copy, with its age and known versions.
struct Table {
    freshness: Freshness<1>,
    versions: VersionTracker,
}

impl Table {
    fn new() -> Self {
        let freshness = Freshness::new(TIMES);
        let versions = VersionTracker::new(TIMES);
        Self {
            freshness,
            versions,
        }
    }

    /// Records the store's answer to a call that began at `begun`, with all changes up to
    /// a version.
    fn record_answer(&mut self, version: u64, begun: Time) {
        self.freshness.record_read(0, begun);
        self.versions.record_applied(StoreVersion(version));
    }

    fn stale_reason(&self, now: Time) -> Option<StaleReason> {
        let age = self.freshness.age(0, now);
        let lag = self.versions.lag(self.freshness.as_of(0));
        Staleness { age, lag }.stale_reason(&TIMES)
    }
}

fn at(millis: u64) -> Time {
    Time::ZERO + Duration::from_millis(millis)
}

/// Guards against a denial based on a table that was never read.
#[test]
fn a_table_of_unknown_age_denies_nothing() {
    let mut table = Table::new();
    assert_eq!(table.stale_reason(at(5)), Some(StaleReason::UnknownAge));
    table.versions.record_applied(StoreVersion(7));
    assert_eq!(table.stale_reason(at(5)), Some(StaleReason::UnknownAge));
}

/// Guards against a denial based on a table whose changes no longer arrive.
#[test]
fn a_table_denies_only_as_long_as_the_store_is_heard_of() {
    let mut table = Table::new();
    table.record_answer(7, at(100));
    assert_eq!(table.stale_reason(at(1_600)), None);
    let expired = Some(StaleReason::Expired(Duration::from_millis(1_501)));
    assert_eq!(table.stale_reason(at(1_601)), expired);
    table.record_answer(7, at(1_700));
    assert_eq!(table.stale_reason(at(1_701)), None);
}

/// Guards against a denial based on a table of which other instances have a newer
/// version, until all changes up to that version have arrived.
#[test]
fn a_table_that_is_behind_denies_nothing() {
    let mut table = Table::new();
    table.record_answer(7, at(0));
    table.versions.record_advertised(StoreVersion(7), at(5));
    assert_eq!(table.stale_reason(at(10)), None);
    table.versions.record_advertised(StoreVersion(12), at(12));
    table.versions.record_advertised(StoreVersion(9), at(14));
    table.record_answer(9, at(20));
    assert_eq!(table.stale_reason(at(30)), Some(StaleReason::Lagging));
    table.record_answer(15, at(40));
    assert_eq!(table.stale_reason(at(50)), None);
    // An older version that another instance advertises does not make this copy stale.
    table.versions.record_advertised(StoreVersion(12), at(55));
    assert_eq!(table.stale_reason(at(60)), None);
}

/// Guards against a denial based on the last readable version while a newer version
/// cannot be decoded.
#[test]
fn a_newer_row_that_cannot_be_read_denies_nothing() {
    let mut table = Table::new();
    table.record_answer(7, at(0));
    table.versions.record_unreadable(StoreVersion(8));
    table.record_answer(8, at(10));
    assert_eq!(table.stale_reason(at(20)), Some(StaleReason::Unreadable));
    table.versions.record_advertised(StoreVersion(9), at(25));
    assert_eq!(table.stale_reason(at(30)), Some(StaleReason::Unreadable));
    table.versions.record_readable(StoreVersion(7));
    assert_eq!(table.stale_reason(at(40)), Some(StaleReason::Unreadable));
    table.versions.record_readable(StoreVersion(9));
    table.record_answer(9, at(50));
    assert_eq!(table.stale_reason(at(60)), None);
    assert_eq!(table.versions.lag(Some(at(50))), Lag::None);
}

/// Guards against a table that stays stale because an instance has advertised a newer
/// version and then ended, and against a table that counts as current while another
/// instance still advertises a newer version.
#[test]
fn a_newer_version_that_nobody_tells_of_any_more_is_forgotten() {
    let mut table = Table::new();
    table.record_answer(7, at(0));
    table.versions.record_advertised(StoreVersion(12), at(100));
    table.versions.record_advertised(StoreVersion(10), at(900));
    table.freshness.record_read(0, at(2_400));
    assert_eq!(table.stale_reason(at(2_400)), Some(StaleReason::Lagging));
    table.freshness.record_read(0, at(2_401));
    assert_eq!(table.stale_reason(at(2_401)), None);
    table
        .versions
        .record_advertised(StoreVersion(10), at(2_500));
    assert_eq!(table.stale_reason(at(2_501)), Some(StaleReason::Lagging));
}
