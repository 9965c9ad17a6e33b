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
const RELEASE_TIME: Duration = Duration::from_millis(1_000);
/// How long a new owner counts: by then the map has come.
const OWNER_TIME: Duration = Duration::from_secs(3);
/// How long news is remembered, so that a release that is told again for as long as a
/// lease lasts is known.
const MEMORY: Duration = Duration::from_secs(15);

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
pub struct MoveNews {
    /// The keys.
    pub range: KeyRange,
    /// The epoch of their next owner.
    pub epoch: Epoch,
    /// Where they are.
    pub place: OwnerHint,
}

/// News of one service's keys. Each server checks what it holds, so that news may be late,
/// lost or wrong at the price of a rejected try.
///
/// ```
/// use citron_core::{id::Epoch, ranges::*, time::Time};
/// let news = MoveNews {
///     range: "0-99".parse().unwrap(),
///     epoch: Epoch(1),
///     place: OwnerHint::Released,
/// };
/// let mut log = MoveLog::default();
/// log.note(news, Time::ZERO);
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
    news: MoveNews,
    /// When it was first heard.
    heard: Time,
}

impl Entry {
    fn counts(&self, now: Time) -> bool {
        let span = match self.news.place {
            OwnerHint::Released => RELEASE_TIME,
            OwnerHint::Owned(_) => OWNER_TIME,
        };
        now - self.heard < span
    }

    /// Whether news says nothing more than this.
    fn includes(&self, news: &MoveNews) -> bool {
        let known = self.news.range == news.range && self.news.epoch >= news.epoch;
        let owned = matches!(self.news.place, OwnerHint::Owned(_));
        known && (owned || news.place == OwnerHint::Released)
    }
}

impl MoveLog {
    /// Takes in a piece of news. A release that is told again ends no later.
    pub fn note(&mut self, news: MoveNews, now: Time) {
        self.entries.retain(|entry| now - entry.heard < MEMORY);
        if !self.entries.iter().any(|entry| entry.includes(&news)) {
            self.entries.push(Entry { news, heard: now });
        }
    }

    /// All news that is remembered, the oldest first.
    pub fn recent(&self, now: Time) -> impl Iterator<Item = &MoveNews> {
        let recent = self
            .entries
            .iter()
            .filter(move |entry| now - entry.heard < MEMORY);
        recent.map(|entry| &entry.news)
    }

    /// What is newer about a key than its slice of the map tells. A map may come before
    /// the owner that it names has been granted the keys.
    pub fn find(&self, key: RangeKey, slice: &Slice, now: Time) -> Option<&OwnerHint> {
        let newer = |entry: &&Entry| {
            let news = &entry.news;
            news.epoch >= slice.epoch && news.range.contains(key) && entry.counts(now)
        };
        // Of a release and the owner that follows, both of one epoch, the later one counts.
        let rank = |entry: &&Entry| {
            let owned = matches!(entry.news.place, OwnerHint::Owned(_));
            (entry.news.epoch, owned)
        };
        let newest = self.entries.iter().filter(newer).max_by_key(rank);
        newest.map(|entry| &entry.news.place)
    }
}
