//! What this instance knows of one server.

use {
    super::{SendBounds, ServerEntry},
    crate::time::Time,
    std::time::Duration,
};

/// A server's latest entry and what this instance has derived about it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerRecord {
    /// The entry that the server wrote last.
    pub entry: ServerEntry,
    /// When this instance learned that the server leaves or is no longer listed.
    pub leaving_since: Option<Time>,
    /// When the server was first listed.
    pub first_seen: Time,
    /// When the server stops counting as cold.
    pub cold_until: Time,
    /// When this instance learned that the server's failure domain is evacuated.
    pub evacuated_since: Option<Time>,
    /// Whether other entries claim the server's address.
    pub address_claim: AddressClaim,
}

/// Claim of a server process to its address, according to all entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AddressClaim {
    /// No other server process is known at the address.
    Exclusive,
    /// Another server process is listed at the address, and nothing proves which of them
    /// is alive.
    Disputed,
    /// A server process that started later is at the address, so this one has ended.
    Superseded,
}

impl ServerRecord {
    /// Returns whether the server may get new requests.
    pub fn is_available(&self) -> bool {
        self.is_listed() && self.evacuated_since.is_none()
    }

    /// Returns whether the server is listed as ready, even if its domain is evacuated.
    pub fn is_listed(&self) -> bool {
        self.leaving_since.is_none()
    }

    /// Returns until when requests for keys that the server still owns may be sent to it;
    /// `None` while the server is available.
    pub fn send_deadline(&self, bounds: &SendBounds) -> Option<Time> {
        let leaving = self.leaving_since.map(|since| since + bounds.drain);
        let evacuated = self.evacuated_since.map(|since| since + bounds.evacuation);
        leaving.into_iter().chain(evacuated).min()
    }

    /// Returns whether requests to the server's address may reach another server process.
    pub fn has_address_conflict(&self) -> bool {
        self.address_claim != AddressClaim::Exclusive
    }

    /// Records a conflict about the address, after which the server counts as leaving. A
    /// server that is superseded stays so.
    pub(super) fn mark_address_conflict(&mut self, address_claim: AddressClaim, now: Time) {
        if self.address_claim != AddressClaim::Superseded {
            self.address_claim = address_claim;
        }
        self.leaving_since.get_or_insert(now);
    }

    /// Returns how much longer the server counts as cold.
    pub fn remaining_warm_up(&self, now: Time) -> Duration {
        self.cold_until - now
    }
}
