//! Wire types of citronproxy: JSON of the platform, of the admin API and of
//! backend server grants. They convert to and from the types of `citron-core`,
//! so that no decision depends on how something is written.

pub mod admin;
pub mod grant;
pub mod row;
pub mod table;

mod error;

pub use error::WireError;
