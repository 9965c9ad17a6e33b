//! Where a response comes from, and what a refusal proves.

use std::fmt;

/// Request that a response names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NamedRequest {
    /// The request in flight on the connection.
    Current,
    /// Another one, or several.
    Other,
    /// None.
    Missing,
}

/// What is known of the origin of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseOrigin {
    /// Request that the response names.
    pub request: NamedRequest,
    /// Whether the connection has carried no request before the one in flight.
    pub is_first: bool,
    /// Whether the response names a process other than the one that the request is meant for.
    pub is_other_process: bool,
}

/// Why a refusal is that of the request in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalProof {
    /// It names the request.
    Id,
    /// The connection has carried no other request that it could belong to.
    FirstResponse,
    /// The process at the other end is not the one that the request is meant for, so that it
    /// refuses the request, whichever one this refusal belongs to.
    OtherProcess,
}

impl ResponseOrigin {
    /// Why the response is the refusal of the request in flight, if it refuses a request.
    /// `None` if it may be a late or additional response to another one.
    ///
    /// ```
    /// use citron_core::request::{NamedRequest, RefusalProof, ResponseOrigin};
    /// let unnamed = ResponseOrigin {
    ///     request: NamedRequest::Missing,
    ///     is_first: true,
    ///     is_other_process: false,
    /// };
    /// assert_eq!(unnamed.refusal_proof(), Some(RefusalProof::FirstResponse));
    /// let on_used_connection = ResponseOrigin { is_first: false, ..unnamed };
    /// assert_eq!(on_used_connection.refusal_proof(), None);
    /// ```
    pub fn refusal_proof(&self) -> Option<RefusalProof> {
        match self.request {
            NamedRequest::Current => Some(RefusalProof::Id),
            NamedRequest::Other => None,
            NamedRequest::Missing if self.is_first => Some(RefusalProof::FirstResponse),
            NamedRequest::Missing => self.is_other_process.then_some(RefusalProof::OtherProcess),
        }
    }
}

impl fmt::Display for RefusalProof {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Id => "id",
            Self::FirstResponse => "first-response",
            Self::OtherProcess => "other-process",
        })
    }
}
