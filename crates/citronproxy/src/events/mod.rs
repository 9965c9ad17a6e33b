//! Numbered log events; `docs/EVENTS.md` is their catalogue.

mod event;

pub use event::*;
