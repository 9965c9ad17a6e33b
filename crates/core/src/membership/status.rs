//! What instances tell each other of themselves.

use {
    super::RemainingLease,
    crate::id::{DomainName, Incarnation, InstanceId, Revision},
};

/// Where an instance stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceStatus {
    /// Its name.
    pub instance: InstanceId,
    /// Which start of it.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: DomainName,
    /// The revision that its traffic is routed by.
    pub revision: Revision,
    /// What it passes on of its confirmation; `None` if it rests on no read.
    pub remaining: Option<RemainingLease>,
    /// Whether it is leaving.
    pub is_leaving: bool,
}
