//! Spans of time that bound how late news may come.

use std::time::Duration;

/// What an instance does towards the store: the fewer have a role, the earlier they
/// ask, so that most of the time one call serves all.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// It plans; there is one.
    Planner,
    /// It reads the store for its failure domain.
    Reader,
    /// It hears of changes from others.
    Other,
}

/// At which age of a table an instance asks the store itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FreshnessTimes {
    /// The planner: two calls a second while nothing changes. All calls of ten
    /// instances to the store became more by a fifth to two thirds, counted over five
    /// runs of 46 seconds.
    pub planner: Duration,
    /// A reader: by then the planner's answer would have been heard of, a lost
    /// datagram and a busy processor allowed for.
    pub reader: Duration,
    /// Any other: by then a reader's would.
    pub other: Duration,
    /// After a call that failed, on average.
    pub again: Duration,
    /// The same after several that failed in a row, for instances that hear of changes
    /// from others: where hundreds ask, one of them finds the store's return soon.
    pub again_most: Duration,
    /// An age that no instance reaches while one of them hears the store, and less
    /// than the silence in which entries of servers lapse: three of their heartbeats.
    pub outage: Duration,
}

impl FreshnessTimes {
    /// The defaults; see the fields.
    pub const STANDARD: Self = Self {
        planner: Duration::from_millis(500),
        reader: Duration::from_millis(700),
        other: Duration::from_millis(900),
        again: Duration::from_millis(350),
        again_most: Duration::from_millis(1_400),
        outage: Duration::from_millis(1_500),
    };

    /// The pause after a call that failed, `failures` others having failed before.
    ///
    /// ```
    /// use citron_core::freshness::{FreshnessTimes, Role};
    /// let times = FreshnessTimes::STANDARD;
    /// assert_eq!(times.retry(Role::Planner, 9), times.again);
    /// assert_eq!(times.retry(Role::Other, 1), times.again * 2);
    /// assert_eq!(times.retry(Role::Other, 9), times.again_most);
    /// ```
    pub fn retry(&self, role: Role, failures: u32) -> Duration {
        match role {
            Role::Planner | Role::Reader => self.again,
            Role::Other => (self.again * (1 << failures.min(8))).min(self.again_most),
        }
    }

    /// The age at which an instance asks.
    pub fn of(&self, role: Role) -> Duration {
        match role {
            Role::Planner => self.planner,
            Role::Reader => self.reader,
            Role::Other => self.other,
        }
    }
}

/// How long the steps take by which news goes from one instance to all.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HearTimes {
    /// How often an instance looks whether a table is too old.
    pub look: Duration,
    /// A call to the store or to another instance: it answers within some
    /// milliseconds, and a small processor may be taken away for most of 100 ms.
    pub call: Duration,
    /// Time between two heartbeats to the same failure domain, with few instances.
    pub heartbeat: Duration,
    /// Heartbeats to other failure domains are by so much rarer.
    pub far: u32,
    /// How long an instance that reads the store itself, or hears of a change from
    /// another failure domain, waits for its own news: the store's answer is some
    /// milliseconds away, and bytes between failure domains are paid for.
    pub behind: Duration,
}

impl HearTimes {
    /// The defaults; see the fields.
    pub const STANDARD: Self = Self {
        look: Duration::from_millis(50),
        call: Duration::from_millis(100),
        heartbeat: Duration::from_millis(100),
        far: 3,
        behind: Duration::from_millis(250),
    };

    /// The longest time from the store's acknowledgement of a change until each
    /// instance knows it, as long as the store answers one of them: the last to ask
    /// does so, the datagram that tells of it is lost, and who hears of it then waits
    /// for its own news in vain, until a heartbeat shows that it is still behind.
    ///
    /// ```
    /// use {citron_core::freshness::{FreshnessTimes, HearTimes}, std::time::Duration};
    /// let worst = HearTimes::STANDARD.worst(&FreshnessTimes::STANDARD);
    /// assert_eq!(worst, Duration::from_millis(1_800));
    /// ```
    pub fn worst(&self, times: &FreshnessTimes) -> Duration {
        let asked = times.other + self.look + self.call;
        let heard = self.heartbeat * self.far;
        let fetched = self.behind + self.heartbeat + self.call;
        asked + heard + fetched
    }
}
