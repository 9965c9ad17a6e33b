//! One server, as far as it is known.

use {
    super::{SendBounds, ServerEntry},
    crate::time::Time,
    std::time::Duration,
};

/// A server, and since when it leaves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Known {
    /// What it last wrote.
    pub entry: ServerEntry,
    /// Since when it is known to leave, or to be listed no more.
    pub left: Option<Time>,
    /// When it was first heard of.
    pub seen: Time,
    /// Until when it counts as cold.
    pub cold: Time,
    /// Since when its failure domain is evacuated.
    pub evacuated: Option<Time>,
    /// What other entries say of its address.
    pub place: Place,
}

/// Whose a server's address is, as far as entries tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    /// No other start is known there.
    Own,
    /// An entry names another start there, without proof of which one lives.
    Disputed,
    /// A later start is there: this one has surely ended.
    Passed,
}

impl Known {
    /// Whether it may get new requests.
    pub fn is_open(&self) -> bool {
        self.is_listed() && self.evacuated.is_none()
    }

    /// Whether it is listed as ready, also in a domain that is evacuated.
    pub fn is_listed(&self) -> bool {
        self.left.is_none()
    }

    /// When the last requests for keys that it still holds may be sent to it; `None`
    /// as long as it is open.
    pub fn last_send(&self, bounds: &SendBounds) -> Option<Time> {
        let left = self.left.map(|left| left + bounds.drain);
        let evacuated = self.evacuated.map(|since| since + bounds.evacuation);
        left.into_iter().chain(evacuated).min()
    }

    /// Whether requests to its address may reach another start.
    pub fn is_displaced(&self) -> bool {
        self.place != Place::Own
    }

    pub(super) fn displaced(&mut self, place: Place, now: Time) {
        if self.place != Place::Passed {
            self.place = place;
        }
        self.left.get_or_insert(now);
    }

    /// How much longer it counts as cold.
    pub fn warm_up(&self, now: Time) -> Duration {
        self.cold - now
    }
}
