//! Errors of joining the instance list.

use {
    crate::id::{Incarnation, InstanceId},
    thiserror::Error,
};

/// Reason why an instance cannot be listed now. The table is unchanged.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum JoinError {
    /// Another incarnation with the same id is listed. It can be expelled if its process
    /// is known to have ended; otherwise two instances are configured with one id.
    #[error("instance {instance} is listed with incarnation {found}, which has not left")]
    IdInUse {
        /// The instance id.
        instance: InstanceId,
        /// The listed incarnation.
        found: Incarnation,
    },
    /// The previous incarnation is expelled, but its routing lease may still be valid.
    #[error(
        "instance {instance}: incarnation {found} is expelled, but its routing lease has not expired"
    )]
    LeaseNotExpired {
        /// The instance id.
        instance: InstanceId,
        /// The listed incarnation.
        found: Incarnation,
    },
}
