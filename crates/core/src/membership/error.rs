//! Errors of joining.

use {
    crate::id::{Incarnation, InstanceId},
    thiserror::Error,
};

/// Why an instance cannot be listed now; nothing is changed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum JoinError {
    /// Another start holds the id. If its process is known to be gone, it can
    /// be expelled; if not, two instances were given one id.
    #[error("instance {instance} is listed with incarnation {found}, which has not left")]
    IdInUse {
        /// The id.
        instance: InstanceId,
        /// The start that is listed.
        found: Incarnation,
    },
    /// The former start is expelled, but may still act on its last leave.
    #[error("instance {instance}: incarnation {found} is expelled, but its leave has not run out")]
    LeaseNotExpired {
        /// The id.
        instance: InstanceId,
        /// The start that is listed.
        found: Incarnation,
    },
}
