//! Index of servers by address.

use {crate::id::ServerName, rustc_hash::FxHashMap, std::net::SocketAddr};

/// Names of the servers that have been listed at each address.
#[derive(Debug, Default)]
pub(super) struct AddressIndex {
    names: FxHashMap<SocketAddr, Vec<ServerName>>,
}

impl AddressIndex {
    /// Adds a server at an address.
    pub(super) fn insert(&mut self, address: SocketAddr, name: &ServerName) {
        let names = self.names.entry(address).or_default();
        if !names.contains(name) {
            names.push(name.clone());
        }
    }

    /// Removes a server from an address.
    pub(super) fn remove(&mut self, address: &SocketAddr, name: &ServerName) {
        let Some(names) = self.names.get_mut(address) else {
            return;
        };
        names.retain(|known| known != name);
        if names.is_empty() {
            self.names.remove(address);
        }
    }

    /// Returns the servers at an address.
    pub(super) fn names_at(&self, address: &SocketAddr) -> &[ServerName] {
        self.names.get(address).map_or(&[], Vec::as_slice)
    }
}
