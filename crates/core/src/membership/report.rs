//! What instances tell each other of their load and of crashes.

use {
    super::Member,
    crate::{admission::Demand, crash::CrashReport, id::ServerName},
    std::collections::BTreeMap,
};

/// All that one start of an instance tells the others, again and again; a later
/// report replaces an earlier one.
#[derive(Debug, Clone, PartialEq)]
pub struct InstanceReport {
    /// Whose report it is.
    pub sender: Member,
    /// Its requests, by backend server.
    pub demands: BTreeMap<ServerName, Demand>,
    /// The crashes that it counted.
    pub crashes: CrashReport,
}
