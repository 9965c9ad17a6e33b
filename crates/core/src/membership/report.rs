//! Reports of load and crashes between instances.

use {
    super::Member,
    crate::{admission::Demand, crash::CrashReport, id::ServerName},
    std::collections::BTreeMap,
};

/// Report that an incarnation sends to the other instances at intervals. A later report
/// replaces an earlier one.
#[derive(Debug, Clone, PartialEq)]
pub struct InstanceReport {
    /// The incarnation that sent the report.
    pub sender: Member,
    /// Its requests, by backend server.
    pub demands: BTreeMap<ServerName, Demand>,
    /// The crashes that it has counted.
    pub crashes: CrashReport,
}
