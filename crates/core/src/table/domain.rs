//! Rows of failure domains.

use crate::id::{DomainName, Incarnation, InstanceId};

/// Whether a failure domain counts as reachable.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DomainState {
    /// The domain is in use.
    Live,
    /// An operator has stated that nothing in the domain runs any more, which
    /// ends the wait for its instances.
    Lost {
        /// Who said so.
        declared_by: String,
    },
}

/// An instance whose vote confirms revisions while its domain is cut off.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Confirmer {
    /// The instance.
    pub instance: InstanceId,
    /// The start of it that may vote; a restarted one has forgotten what it
    /// acknowledged.
    pub incarnation: Incarnation,
}

/// A failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DomainRow {
    /// Its name.
    pub name: DomainName,
    /// Whether it counts as reachable.
    pub state: DomainState,
    /// The instances that confirm revisions while the domain is cut off.
    pub confirmers: Vec<Confirmer>,
}
