//! One start of one instance.

use crate::{
    id::{Incarnation, InstanceId},
    table::InstanceRow,
};

/// Names one start of an instance: a restarted one has forgotten what it
/// acknowledged, and its former start may still be alive.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Member {
    /// The instance.
    pub instance: InstanceId,
    /// The start of it.
    pub incarnation: Incarnation,
}

impl Member {
    /// The start that a row lists.
    pub fn from_row(row: &InstanceRow) -> Self {
        Self {
            instance: row.id.clone(),
            incarnation: row.incarnation,
        }
    }
}
