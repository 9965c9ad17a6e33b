//! Ways to keep one owner a key, compared in virtual time: three domains, each
//! with three instances and two backend servers that check epochs; 32 shards.
//!
//! Assumed alike for all ways: a lost server is noticed after half a second,
//! callers find another instance of their domain at once, a change is announced
//! to all instances in reach within one step of 50 ms.

mod cluster;
mod report;
mod rows;
mod scenario;
mod way;

use {insta::assert_snapshot, report::table};

/// Also asserts that no way with leases ever has two owners for a key.
#[test]
fn ways_compared() {
    let report = table();
    println!("{report}");
    assert_snapshot!(report);
}
