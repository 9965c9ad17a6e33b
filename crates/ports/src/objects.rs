//! The object store.

use {crate::PlatformError, std::future::Future};

/// The platform's object store: named byte strings, the last write wins.
pub trait ObjectStore {
    /// Writes an object.
    fn put(&self, name: &str, bytes: Vec<u8>) -> impl Future<Output = Result<(), PlatformError>>;

    /// Reads an object; `None` if it is not there.
    fn get(&self, name: &str) -> impl Future<Output = Result<Option<Vec<u8>>, PlatformError>>;

    /// Names that begin with `prefix`, in order.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Vec<String>, PlatformError>>;
}
