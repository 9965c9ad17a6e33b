//! The caller's side of a connection: nothing reaches the HTTP library whose
//! begin and end two parsers could see differently.
//!
//! The library settles some ambiguous messages by a rule of its own, for example
//! a `Content-Length` beside `Transfer-Encoding`. A balancer in front that uses
//! another rule would take the rest of one caller's message for the next one's,
//! and a caller would get an answer to a request that it never sent. Refusing
//! such messages leaves nothing to disagree on.

mod chunked;
mod head;
mod head_limit;
mod lookahead;
mod refusal;
mod stream;

pub use {head_limit::HeadLimit, refusal::Refusal, stream::GuardStream};
