//! Time as the decisions see it.

mod instant;

pub use instant::Time;
