//! The platform's list of live and leaving machines.

use {crate::PlatformError, std::future::Future};

/// What the list says of a machine; it lags.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListedState {
    /// In use.
    Live,
    /// About to be taken away.
    Leaving,
}

/// One machine of the list: an instance or a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listed {
    /// Its name, that of an instance or a backend server.
    pub name: String,
    /// Its state.
    pub state: ListedState,
}

/// The list.
pub trait InstanceList {
    /// All machines the platform lists now.
    fn list(&self) -> impl Future<Output = Result<Vec<Listed>, PlatformError>>;
}
