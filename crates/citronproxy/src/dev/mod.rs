//! `citronproxy dev`: an instance with an embedded platform and a sample backend server
//! in one process, to try citronproxy out.

mod sample;

pub use sample::{run, sample_rows};
