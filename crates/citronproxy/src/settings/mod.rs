//! Settings that an instance reads when it starts: JSON with comments, validated as a
//! whole.

mod error;
mod file;
pub mod parse;

pub use {error::SettingsError, file::Settings};
