//! What an instance learns at its start: JSON with comments, checked whole.

mod error;
mod file;
pub mod parse;

pub use {error::SettingsError, file::Settings};
