//! Status that instances send to each other.

use {
    super::RemainingLease,
    crate::id::{DomainName, Incarnation, InstanceId, Revision},
};

/// Status of an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceStatus {
    /// The instance's id.
    pub instance: InstanceId,
    /// The incarnation of the instance.
    pub incarnation: Incarnation,
    /// The instance's failure domain.
    pub domain: DomainName,
    /// The revision that the instance routes by.
    pub revision: Revision,
    /// What remains of the instance's routing lease; `None` if the lease is not based on
    /// a read.
    pub remaining: Option<RemainingLease>,
    /// Whether the instance is leaving.
    pub is_leaving: bool,
}
