//! The platform's list of machines.

use {crate::PlatformError, std::future::Future};

/// State of a machine in the platform's list. The list lags behind the actual state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineState {
    /// In use.
    Live,
    /// About to be shut down by the platform.
    Leaving,
}

/// A machine in the platform's list, which runs an instance or a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Machine {
    /// Name of the instance or backend server.
    pub name: String,
    /// State of the machine.
    pub state: MachineState,
}

/// Client of the platform's list of machines.
pub trait MachineList {
    /// Reads the whole list.
    fn list(&self) -> impl Future<Output = Result<Vec<Machine>, PlatformError>>;
}
