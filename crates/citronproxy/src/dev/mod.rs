//! `citronproxy dev`: one process with an embedded platform and a sample
//! backend server, for a first look.

mod sample;

pub use sample::{run, sample_rows};
