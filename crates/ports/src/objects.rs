//! The platform's object store.

use {crate::PlatformError, std::future::Future};

/// Client of the platform's object store. An object is a named byte string; the last write
/// wins.
pub trait ObjectStore {
    /// Writes an object.
    fn put(&self, name: &str, bytes: Vec<u8>) -> impl Future<Output = Result<(), PlatformError>>;

    /// Reads an object; `None` if it does not exist.
    fn get(&self, name: &str) -> impl Future<Output = Result<Option<Vec<u8>>, PlatformError>>;

    /// Lists the names that begin with `prefix`, sorted.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Vec<String>, PlatformError>>;
}
