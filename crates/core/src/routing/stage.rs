//! Progress of an exchange with a backend server.

use std::fmt;

/// Last stage that an exchange certainly or possibly reached.
///
/// In doubt the later stage is reported: a write that was passed to the socket and failed
/// may have arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ExchangeStage {
    /// No connection was opened.
    Unconnected,
    /// A connection was open, and nothing was written to it.
    Connected,
    /// Part of the head may have been written.
    HeadPart,
    /// The head and part of the body may have been written.
    BodyPart,
    /// The whole request was written, and no part of the response was read.
    Written,
    /// Part of the response was read.
    AnswerPart,
}

impl ExchangeStage {
    /// All stages in the order of an exchange.
    pub const ALL: [Self; 6] = [
        Self::Unconnected,
        Self::Connected,
        Self::HeadPart,
        Self::BodyPart,
        Self::Written,
        Self::AnswerPart,
    ];

    /// Whether it is certain that the server runs no part of the request.
    ///
    /// A failed write does not tell how much of it arrived. A request of which part of
    /// the head was written therefore counts as one that may run.
    ///
    /// ```
    /// use citron_core::routing::ExchangeStage;
    /// assert!(ExchangeStage::Connected.is_unsent());
    /// assert!(!ExchangeStage::HeadPart.is_unsent());
    /// ```
    pub fn is_unsent(self) -> bool {
        self <= Self::Connected
    }
}

impl fmt::Display for ExchangeStage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Unconnected => "before connect",
            Self::Connected => "nothing written",
            Self::HeadPart => "head part written",
            Self::BodyPart => "body part written",
            Self::Written => "all written",
            Self::AnswerPart => "answer part read",
        })
    }
}
