//! Configuration of the control thread.

use {
    citron_core::{
        id::DomainName,
        membership::Member,
        table::{InstanceRow, InstanceState},
    },
    std::net::SocketAddr,
};

/// Identity and addresses of an instance.
#[derive(Debug, Clone)]
pub struct ControlConfig {
    /// Instance id and incarnation; the incarnation is new at each start.
    pub member: Member,
    /// Failure domain of the instance.
    pub domain: DomainName,
    /// Address at which clients send requests.
    pub traffic: SocketAddr,
    /// Listening address for calls from other instances; port 0 picks a free port.
    pub peer: SocketAddr,
    /// Address at which other instances reach this one, if it differs from `peer`.
    pub advertise: Option<SocketAddr>,
    /// Address of the admin API.
    pub admin: SocketAddr,
    /// Peer addresses of some other instances, which are asked for the table while the
    /// platform is unavailable.
    pub seeds: Vec<SocketAddr>,
}

impl ControlConfig {
    /// The row that lists this incarnation in the table.
    pub(super) fn instance_row(&self) -> InstanceRow {
        InstanceRow {
            id: self.member.instance.clone(),
            incarnation: self.member.incarnation,
            domain: self.domain.clone(),
            traffic_address: self.traffic,
            peer_address: self.advertise.unwrap_or(self.peer),
            admin_address: self.admin,
            state: InstanceState::Live,
            revision: Default::default(),
        }
    }
}
