//! Until when an instance may route under the revision it knows.

use {crate::time::Time, std::time::Duration};

/// Ends of an instance's leave to route, on its own monotonic clock.
///
/// It always travels together with the map it confirms: a newer confirmation
/// with an older map would let a request follow an owner that has been replaced.
///
/// ```
/// use {citron_core::{membership::Confirmation, time::Time}, std::time::Duration};
/// let read = Time::from_micros(1_000_000);
/// let second = Duration::from_secs(1);
/// let confirmation = Confirmation { anywhere: read + second, platform: read, domain: read + 9 * second };
/// let grace = 5 * second;
/// assert!(confirmation.allows(read, false, grace));
/// assert!(!confirmation.allows(read + 2 * second, false, grace));
/// assert!(confirmation.allows(read + 2 * second, true, grace));
/// assert!(!confirmation.allows(read + 6 * second, true, grace));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Confirmation {
    /// Until then it may route to servers in any failure domain.
    pub anywhere: Time,
    /// When the last read of the platform that it rests on was begun.
    pub platform: Time,
    /// Until then its own domain's confirmers stand by the revision.
    pub domain: Time,
}

impl Confirmation {
    /// Whether a request may be written now; `own` says that the owner is in the
    /// instance's own failure domain, `grace` is the service's.
    pub fn allows(&self, now: Time, own: bool, grace: Duration) -> bool {
        if now < self.anywhere {
            return true;
        }
        own && now < self.domain.min(self.platform + grace)
    }
}
