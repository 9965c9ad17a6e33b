//! Recent moves of keys, known before the updated map arrives.

use {
    super::{KeyRange, RangeKey, Slice},
    crate::{
        id::{Epoch, ServerName},
        time::Time,
    },
    std::time::Duration,
};

/// How long requests wait for the next owner of keys that are being released. A release
/// that takes longer may never complete.
const RELEASED_TTL: Duration = Duration::from_millis(1_000);
/// How long the announcement of a new owner is used; the updated map has arrived by then.
const OWNED_TTL: Duration = Duration::from_secs(3);
/// How long notices are kept, so that a release repeated until the lease ends is
/// recognized as a duplicate.
const RETENTION: Duration = Duration::from_secs(15);

/// State of keys that have left, or are leaving, the owner in the map.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OwnerHint {
    /// The owner was ordered to release the keys.
    Released,
    /// The server that now holds the keys.
    Owned(ServerName),
}

/// Announcement of a move by the planner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MoveNotice {
    /// The keys.
    pub range: KeyRange,
    /// Epoch of the next owner.
    pub epoch: Epoch,
    /// State of the keys.
    pub hint: OwnerHint,
}

/// Move notices of one service. Servers verify ownership themselves, so a late, lost or
/// wrong notice costs at most a rejected attempt.
///
/// ```
/// use citron_core::{id::Epoch, ranges::*, time::Time};
/// let notice = MoveNotice {
///     range: "0-99".parse().unwrap(),
///     epoch: Epoch(1),
///     hint: OwnerHint::Released,
/// };
/// let mut log = MoveLog::default();
/// log.insert(notice, Time::ZERO);
/// let map = RangeMap::new();
/// let key = RangeKey(7);
/// assert_eq!(log.find(key, map.slice(key), Time::ZERO), Some(&OwnerHint::Released));
/// ```
#[derive(Debug, Default)]
pub struct MoveLog {
    entries: Vec<Entry>,
}

/// Notice with the time of its arrival.
#[derive(Debug)]
struct Entry {
    notice: MoveNotice,
    /// Arrival of the first notice of this content.
    received: Time,
}

impl Entry {
    /// Whether the notice is recent enough to be used.
    fn is_current(&self, now: Time) -> bool {
        let ttl = match self.notice.hint {
            OwnerHint::Released => RELEASED_TTL,
            OwnerHint::Owned(_) => OWNED_TTL,
        };
        now - self.received < ttl
    }

    /// Whether `notice` adds nothing to this entry.
    fn supersedes(&self, notice: &MoveNotice) -> bool {
        let known = self.notice.range == notice.range && self.notice.epoch >= notice.epoch;
        let owned = matches!(self.notice.hint, OwnerHint::Owned(_));
        known && (owned || notice.hint == OwnerHint::Released)
    }
}

impl MoveLog {
    /// Records a notice. A repeated release does not extend the time of the first one.
    pub fn insert(&mut self, notice: MoveNotice, now: Time) {
        self.entries
            .retain(|entry| now - entry.received < RETENTION);
        if !self.entries.iter().any(|entry| entry.supersedes(&notice)) {
            self.entries.push(Entry {
                notice,
                received: now,
            });
        }
    }

    /// Notices still retained, oldest first.
    pub fn recent(&self, now: Time) -> impl Iterator<Item = &MoveNotice> {
        let recent = self
            .entries
            .iter()
            .filter(move |entry| now - entry.received < RETENTION);
        recent.map(|entry| &entry.notice)
    }

    /// State of `key` if a notice is newer than `slice`, its entry in the map. An equal
    /// epoch counts as newer, because the map can arrive before the owner that it names
    /// holds its grant.
    pub fn find(&self, key: RangeKey, slice: &Slice, now: Time) -> Option<&OwnerHint> {
        let newer = |entry: &&Entry| {
            let notice = &entry.notice;
            notice.epoch >= slice.epoch && notice.range.contains(key) && entry.is_current(now)
        };
        // A release and the grant that follows it share an epoch; the grant is the later
        // one.
        let rank = |entry: &&Entry| {
            let owned = matches!(entry.notice.hint, OwnerHint::Owned(_));
            (entry.notice.epoch, owned)
        };
        let newest = self.entries.iter().filter(newer).max_by_key(rank);
        newest.map(|entry| &entry.notice.hint)
    }
}
