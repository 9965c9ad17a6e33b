//! What control needs to know at its start.

use {
    citron_core::{
        id::DomainName,
        membership::Member,
        table::{InstanceRow, InstanceState},
    },
    std::net::SocketAddr,
};

/// Who this instance is and where it is reached.
#[derive(Debug, Clone)]
pub struct ControlConfig {
    /// This start of this instance; the incarnation is fresh at each start.
    pub member: Member,
    /// Its failure domain.
    pub domain: DomainName,
    /// Where it takes callers' requests.
    pub traffic: SocketAddr,
    /// Where it takes other instances' calls; port 0 for any.
    pub peer: SocketAddr,
    /// Where other instances reach it, if not there.
    pub advertise: Option<SocketAddr>,
    /// Where it takes operators' requests.
    pub admin: SocketAddr,
    /// Some other instances, asked for the table while the platform is down.
    pub seeds: Vec<SocketAddr>,
}

impl ControlConfig {
    /// The row that lists this start.
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
