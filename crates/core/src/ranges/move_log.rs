//! What is known of keys on their way, ahead of the map.

use {
    super::{KeyRange, RangeKey, Slice},
    crate::{
        id::{Epoch, ServerName},
        time::Time,
    },
    std::time::Duration,
};

/// How long callers of keys that are being released wait for their next owner: a release
/// that takes longer may never end.
const RELEASED_TTL: Duration = Duration::from_millis(1_000);
/// How long a new owner counts: by then the map has come.
const OWNED_TTL: Duration = Duration::from_secs(3);
/// How long news is remembered, so that a release that is told again for as long as a
/// lease lasts is known.
const RETENTION: Duration = Duration::from_secs(15);

/// Where keys are that have left their owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OwnerHint {
    /// Their owner was told to give them up.
    Released,
    /// Another server holds them.
    Owned(ServerName),
}

/// One piece of news from the planner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MoveNotice {
    /// The keys.
    pub range: KeyRange,
    /// The epoch of their next owner.
    pub epoch: Epoch,
    /// Where they are.
    pub hint: OwnerHint,
}

/// News of one service's keys. Each server checks what it holds, so that news may be late,
/// lost or wrong at the price of a rejected try.
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

#[derive(Debug)]
struct Entry {
    notice: MoveNotice,
    /// When it was first heard.
    received: Time,
}

impl Entry {
    fn is_current(&self, now: Time) -> bool {
        let ttl = match self.notice.hint {
            OwnerHint::Released => RELEASED_TTL,
            OwnerHint::Owned(_) => OWNED_TTL,
        };
        now - self.received < ttl
    }

    /// Whether news says nothing more than this.
    fn supersedes(&self, notice: &MoveNotice) -> bool {
        let known = self.notice.range == notice.range && self.notice.epoch >= notice.epoch;
        let owned = matches!(self.notice.hint, OwnerHint::Owned(_));
        known && (owned || notice.hint == OwnerHint::Released)
    }
}

impl MoveLog {
    /// Takes in a piece of news. A release that is told again ends no later.
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

    /// All news that is remembered, the oldest first.
    pub fn recent(&self, now: Time) -> impl Iterator<Item = &MoveNotice> {
        let recent = self
            .entries
            .iter()
            .filter(move |entry| now - entry.received < RETENTION);
        recent.map(|entry| &entry.notice)
    }

    /// What is newer about a key than its slice of the map tells. A map may come before
    /// the owner that it names has been granted the keys.
    pub fn find(&self, key: RangeKey, slice: &Slice, now: Time) -> Option<&OwnerHint> {
        let newer = |entry: &&Entry| {
            let notice = &entry.notice;
            notice.epoch >= slice.epoch && notice.range.contains(key) && entry.is_current(now)
        };
        // Of a release and the owner that follows, both of one epoch, the later one counts.
        let rank = |entry: &&Entry| {
            let owned = matches!(entry.notice.hint, OwnerHint::Owned(_));
            (entry.notice.epoch, owned)
        };
        let newest = self.entries.iter().filter(newer).max_by_key(rank);
        newest.map(|entry| &entry.notice.hint)
    }
}
