//! Where a response comes from, and what a refusal proves.

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
    /// Whether the response belongs to the request in flight, if one that names no request does
    /// so or not.
    ///
    /// ```
    /// use citron_core::request::{NamedRequest, ResponseOrigin};
    /// let late = ResponseOrigin {
    ///     request: NamedRequest::Other,
    ///     is_first: true,
    ///     is_other_process: false,
    /// };
    /// assert!(!late.belongs(true));
    /// ```
    pub fn belongs(&self, unnamed_belongs: bool) -> bool {
        match self.request {
            NamedRequest::Current => true,
            NamedRequest::Other => false,
            NamedRequest::Missing => unnamed_belongs,
        }
    }

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

impl RefusalProof {
    /// Name of the proof of a refusal in logs and metrics, also if there is none.
    ///
    /// ```
    /// use citron_core::request::RefusalProof;
    /// assert_eq!(RefusalProof::name(Some(RefusalProof::Id)), "id");
    /// assert_eq!(RefusalProof::name(None), "none");
    /// ```
    pub fn name(proof: Option<Self>) -> &'static str {
        match proof {
            Some(Self::Id) => "id",
            Some(Self::FirstResponse) => "first-response",
            Some(Self::OtherProcess) => "other-process",
            None => "none",
        }
    }
}
