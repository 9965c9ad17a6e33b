//! Identity of an instance process.

use crate::{
    id::{Incarnation, InstanceId},
    table::InstanceRow,
};

/// One incarnation of an instance. A restarted instance has lost its acknowledgements,
/// and its previous process may still run, so the two are distinct members.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Member {
    /// The instance.
    pub instance: InstanceId,
    /// The incarnation of the instance.
    pub incarnation: Incarnation,
}

impl Member {
    /// Returns the incarnation that a row lists.
    pub fn from_row(row: &InstanceRow) -> Self {
        Self {
            instance: row.id.clone(),
            incarnation: row.incarnation,
        }
    }
}
