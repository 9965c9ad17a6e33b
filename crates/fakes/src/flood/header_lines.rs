//! Header lines of the protocol that a fake speaks.

/// Header lines that a protocol asks for, each with its line break.
#[derive(Debug, Clone, Copy, Default)]
pub struct HeaderLines {
    /// Lines of all responses.
    pub response: &'static str,
    /// Line by which a rejection guarantees that the request has not run.
    pub rejection: &'static str,
}
