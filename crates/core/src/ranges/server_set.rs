//! When the servers of a service are known well enough for the first assignment of its keys.

use std::time::Duration;

/// Age up to which a registration counts as recent: servers that start together register
/// within this time of one another.
const RECENT_AGE: Duration = Duration::from_millis(1_000);
/// Largest number of recent servers, as a fraction of the earlier ones, with which the set
/// counts as complete. A server that restarts, or starts late, does not hold up the others,
/// and balancing gives it its tenth of their keys.
const RECENT_FRACTION_MAX: f64 = 0.1;
/// Longest wait for more servers while callers request keys of the service.
const OLDEST_AGE_MAX_REQUESTED: Duration = Duration::from_secs(3);
/// Longest wait while nobody requests keys. Thousands of servers take some seconds to
/// register, and those that miss the first distribution would receive keys only one by
/// one.
const OLDEST_AGE_MAX_IDLE: Duration = Duration::from_secs(10);

/// Whether the set of a service's servers seems complete, given the time since each of them
/// was registered and whether callers request keys of the service.
///
/// ```
/// use {citron_core::ranges::is_server_set_complete, std::time::Duration};
/// let ages = |millis: &[u64]| millis.iter().copied().map(Duration::from_millis).collect::<Vec<_>>();
/// assert!(!is_server_set_complete(&ages(&[400, 900]), true));
/// assert!(is_server_set_complete(&ages(&[1_200, 1_700]), true));
/// assert!(is_server_set_complete(&ages(&[400, 3_100]), true));
/// ```
pub fn is_server_set_complete(ages: &[Duration], is_requested: bool) -> bool {
    let oldest_max = if is_requested {
        OLDEST_AGE_MAX_REQUESTED
    } else {
        OLDEST_AGE_MAX_IDLE
    };
    let recent = ages.iter().filter(|age| **age <= RECENT_AGE).count();
    let earlier = ages.len() - recent;
    let is_tail = earlier > 0 && recent as f64 <= earlier as f64 * RECENT_FRACTION_MAX;
    is_tail || ages.iter().any(|age| *age > oldest_max)
}
