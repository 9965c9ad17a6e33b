//! Validates requests of a client connection before the HTTP library parses them, and
//! refuses messages whose boundaries two parsers could see differently.
//!
//! The library resolves some ambiguous messages by a rule of its own, for example a
//! `Content-Length` beside `Transfer-Encoding`. A load balancer in front that uses
//! another rule would take the rest of one client's message for the start of the next
//! client's (request smuggling), and a client would get a response to a request that it
//! never sent. Refusing such messages leaves no room for different interpretations.

mod chunked;
mod head;
mod head_limit;
mod lookahead;
mod refusal;
mod stream;

pub use {head_limit::HeadLimit, refusal::Refusal, stream::GuardStream};
