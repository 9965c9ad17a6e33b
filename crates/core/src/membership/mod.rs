//! Which instances there are, and until when each may route.

mod confirmation;

pub use confirmation::Confirmation;
