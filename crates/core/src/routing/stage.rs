//! How far an exchange with a backend server got.

use std::fmt;

/// The last point of an exchange that was surely reached, or may have been.
///
/// Whoever reports a point takes the later one when in doubt: a write that was
/// handed to the socket and failed may have arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ExchangeStage {
    /// No connection was made.
    Unconnected,
    /// There was a connection, and nothing was handed to it.
    Connected,
    /// A part of the head may have been written.
    HeadPart,
    /// The head and a part of the body may have been written.
    BodyPart,
    /// All was written, and no answer was read.
    Written,
    /// A part of the answer was read.
    AnswerPart,
}

impl ExchangeStage {
    /// All points in the order of an exchange.
    pub const ALL: [Self; 6] = [
        Self::Unconnected,
        Self::Connected,
        Self::HeadPart,
        Self::BodyPart,
        Self::Written,
        Self::AnswerPart,
    ];

    /// Whether the server surely runs nothing of the request.
    ///
    /// A failed write does not tell how much of it arrived, so that a head of
    /// which a part was written counts as one that may run.
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
