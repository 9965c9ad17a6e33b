//! Numbered log events. `docs/EVENTS.md` documents them.

mod event;

pub use event::*;
