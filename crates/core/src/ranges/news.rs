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
/// How long a new owner is remembered: by then the map has come.
const OWNER_TIME: Duration = Duration::from_secs(3);

/// Where keys are that have left their owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Whereabouts {
    /// Their owner was told to give them up.
    Released,
    /// Another server owns them.
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
    pub place: Whereabouts,
}

/// News of one service's keys. Each server checks what it holds, so that news may be late,
/// lost or wrong at the price of a rejected try.
///
/// ```
/// use citron_core::{id::Epoch, ranges::*, time::Time};
/// let news = MoveNews {
///     range: "0-99".parse().unwrap(),
///     epoch: Epoch(1),
///     place: Whereabouts::Released,
/// };
/// let mut log = MoveLog::default();
/// log.note(news, Time::ZERO);
/// let map = RangeMap::new();
/// let key = RangeKey(7);
/// assert_eq!(log.find(key, map.slice(key), Time::ZERO), Some(&Whereabouts::Released));
/// ```
#[derive(Debug, Default)]
pub struct MoveLog {
    entries: Vec<(MoveNews, Time)>,
}

impl MoveLog {
    /// Takes in a piece of news. A release that is told again ends no later.
    pub fn note(&mut self, news: MoveNews, now: Time) {
        self.entries.retain(|(_, until)| *until > now);
        let told = |old: &MoveNews| old.range == news.range && old.epoch >= news.epoch;
        let known = self.entries.iter().any(|(old, _)| match old.place {
            Whereabouts::Released => told(old) && news.place == Whereabouts::Released,
            Whereabouts::Owned(_) => told(old),
        });
        if known {
            return;
        }
        let span = match news.place {
            Whereabouts::Released => RELEASE_TIME,
            Whereabouts::Owned(_) => OWNER_TIME,
        };
        self.entries.push((news, now + span));
    }

    /// What is newer about a key than its slice of the map tells.
    pub fn find(&self, key: RangeKey, slice: &Slice, now: Time) -> Option<&Whereabouts> {
        let newer = |(news, until): &&(MoveNews, Time)| {
            *until > now && news.epoch > slice.epoch && news.range.contains(key)
        };
        let newer = self.entries.iter().filter(newer);
        // Of a release and the owner that follows, both of one epoch, the later one counts.
        let newest = newer.max_by_key(|(news, _)| {
            let owned = matches!(news.place, Whereabouts::Owned(_));
            (news.epoch, owned)
        });
        newest.map(|(news, _)| &news.place)
    }

    /// Whether there is nothing.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
