//! Rows of failure domains.

use crate::id::{DomainName, Incarnation, InstanceId};

/// State of a failure domain, as declared by operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DomainState {
    /// The domain is in use.
    Live,
    /// An operator has declared that nothing in the domain is running any more, so that
    /// moves need not wait for its instances.
    Lost {
        /// Author of the edit that declared the domain lost.
        declared_by: String,
    },
}

/// An instance whose vote confirms revisions while its failure domain is cut off from the
/// platform.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Confirmer {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Process start that may vote. After a restart the instance no longer knows which
    /// revisions it has acknowledged.
    pub incarnation: Incarnation,
}

/// Row of a failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DomainRow {
    /// Name of the domain.
    pub name: DomainName,
    /// State of the domain.
    pub state: DomainState,
    /// The instances that confirm revisions while the domain is cut off from the
    /// platform.
    pub confirmers: Vec<Confirmer>,
}
