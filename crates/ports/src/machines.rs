//! The platform's list of live and leaving machines.

use {crate::PlatformError, std::future::Future};

/// What the list says of a machine; it lags.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineState {
    /// In use.
    Live,
    /// About to be taken away.
    Leaving,
}

/// One machine of the list: an instance or a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Machine {
    /// Its name, that of an instance or a backend server.
    pub name: String,
    /// Its state.
    pub state: MachineState,
}

/// The list.
pub trait MachineList {
    /// All machines the platform lists now.
    fn list(&self) -> impl Future<Output = Result<Vec<Machine>, PlatformError>>;
}
