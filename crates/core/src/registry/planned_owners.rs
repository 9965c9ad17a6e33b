//! Owners of keys as the planner sees them.

use {
    super::{Registry, ServerState},
    crate::{
        id::ServerName,
        ranges::{OwnerState, Owners},
    },
};

/// States of owners for planning moves.
///
/// While the store does not answer, no move can be committed, and keys that are released
/// have no owner. A server that has only stated that it leaves keeps its keys meanwhile,
/// and may serve them until its drain time ends.
#[derive(Debug)]
pub struct PlannedOwners<'a> {
    /// The registered servers.
    pub registry: &'a Registry,
    /// Whether the store answers.
    pub is_store_up: bool,
}

impl Owners for PlannedOwners<'_> {
    fn state(&self, server: &ServerName) -> OwnerState {
        let state = self.registry.state(server);
        if state != OwnerState::Leaving || self.is_store_up {
            return state;
        }
        let known = self.registry.get(server);
        let is_ready = known.is_some_and(|known| known.entry.state == ServerState::Ready);
        let has_stated = self.registry.stated_leaving().get(server).copied();
        let only_stated = is_ready && known.is_some_and(|known| known.leaving_since == has_stated);
        if only_stated {
            OwnerState::Serving
        } else {
            OwnerState::Leaving
        }
    }

    fn is_registered(&self, server: &ServerName) -> bool {
        self.registry.is_registered(server)
    }
}
