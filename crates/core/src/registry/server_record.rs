//! One server, as far as it is known.

use {
    super::{SendBounds, ServerEntry},
    crate::time::Time,
    std::time::Duration,
};

/// A server, and since when it leaves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerRecord {
    /// What it last wrote.
    pub entry: ServerEntry,
    /// Since when it is known to leave, or to be listed no more.
    pub leaving_since: Option<Time>,
    /// When it was first heard of.
    pub first_seen: Time,
    /// Until when it counts as cold.
    pub cold_until: Time,
    /// Since when its failure domain is evacuated.
    pub evacuated_since: Option<Time>,
    /// What other entries say of its address.
    pub address_claim: AddressClaim,
}

/// Whose a server's address is, as far as entries tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AddressClaim {
    /// No other start is known there.
    Exclusive,
    /// An entry names another start there, without proof of which one lives.
    Disputed,
    /// A later start is there: this one has surely ended.
    Superseded,
}

impl ServerRecord {
    /// Whether it may get new requests.
    pub fn is_available(&self) -> bool {
        self.is_listed() && self.evacuated_since.is_none()
    }

    /// Whether it is listed as ready, also in a domain that is evacuated.
    pub fn is_listed(&self) -> bool {
        self.leaving_since.is_none()
    }

    /// When the last requests for keys that it still holds may be sent to it; `None`
    /// as long as it is open.
    pub fn send_deadline(&self, bounds: &SendBounds) -> Option<Time> {
        let left = self.leaving_since.map(|left| left + bounds.drain);
        let evacuated = self.evacuated_since.map(|since| since + bounds.evacuation);
        left.into_iter().chain(evacuated).min()
    }

    /// Whether requests to its address may reach another start.
    pub fn has_address_conflict(&self) -> bool {
        self.address_claim != AddressClaim::Exclusive
    }

    pub(super) fn mark_address_conflict(&mut self, address_claim: AddressClaim, now: Time) {
        if self.address_claim != AddressClaim::Superseded {
            self.address_claim = address_claim;
        }
        self.leaving_since.get_or_insert(now);
    }

    /// How much longer it counts as cold.
    pub fn remaining_warm_up(&self, now: Time) -> Duration {
        self.cold_until - now
    }
}
