//! Time over which one process is known to have listened at an address.

use {
    citron_ports::ProcessLife,
    std::time::{Duration, Instant},
};

/// Guards against a new process that counts as the former one, as the last response of that one
/// is taken up after the first response of the new one.
#[test]
fn a_late_response_of_a_former_process_tells_nothing_of_the_next_one() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let mut life = ProcessLife::default();
    life.record_response(at(3), at(4));
    life.record_response(at(0), at(1));
    assert_eq!(life.known_since(at(3)), at(3));
    assert_eq!(life.known_since(at(4)), at(3));
}
