//! Next step of a request.

use {
    super::{DetourPeer, Overload},
    crate::{
        dispatch::PermitRequest, id::ServerName, registry::ServerRecord, slots::DenyReason,
        time::Time,
    },
    std::{fmt, sync::Arc, time::Duration},
};

/// What to do next with a request. `R` is a response that can be forwarded.
#[derive(Debug)]
pub enum Step<R> {
    /// Read the current view.
    ReadView,
    /// Select a server by the view that was read.
    Select,
    /// Ask the broker of the server for a slot.
    AcquireSlot(Arc<ServerRecord>),
    /// Ask for a permit for the server.
    AcquirePermit(Arc<ServerRecord>, PermitRequest),
    /// Wait until the time has come or the event occurs, then read the view.
    Wait {
        /// Latest end of the wait.
        until: Time,
        /// Event that ends the wait earlier.
        wake: Wake,
    },
    /// Send the request to the server.
    Send(Arc<ServerRecord>),
    /// Send the request through another instance, to the server, or to any if there is none.
    Detour(DetourPeer, Option<ServerName>),
    /// Respond to the client.
    Respond(FinalResponse<R>),
}

/// Response to the client. `R` is a response that can be forwarded.
#[derive(Debug)]
pub enum FinalResponse<R> {
    /// Forward this response.
    Forward(R),
    /// The request has not run and will not run.
    Reject {
        /// Time after which the client may send the request again.
        retry_after: Duration,
        /// Reason of the rejection.
        reason: Reason,
        /// Whether to mark the response for the instance that sent the request, so that it
        /// tries another one.
        is_unreached: bool,
    },
    /// The request may have run, and there is no response to forward.
    Unknown {
        /// Reason for which there is none.
        reason: Reason,
        /// Whether the deadline has passed.
        is_late: bool,
    },
}

impl<R> From<FinalResponse<R>> for Step<R> {
    fn from(response: FinalResponse<R>) -> Self {
        Self::Respond(response)
    }
}

/// Event that ends a wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wake {
    /// A request of this instance has ended.
    CapacityFreed,
    /// There is a new view.
    ViewChanged,
}

/// Reason for which an instance generates the response. The text is sent in its body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The instance has no view.
    NoConfiguration,
    /// The servers do not respond to this instance.
    Unreached,
    /// The server for the request of another instance does not respond to this one either.
    OwnerUnreached,
    /// The selection found no capacity.
    Overload(Overload),
    /// The broker of the server denied a slot.
    NoSlot(DenyReason),
    /// The key moves for longer than the request may wait.
    KeyMoving,
    /// No server is available for longer than the request may wait.
    NoServer,
    /// The owner of the key wants no requests from this instance.
    OwnerResting,
    /// Requests like it have crashed servers.
    Quarantined,
    /// No further attempt is allowed.
    NoTryLeft,
    /// Part of the body was sent and is not known any more.
    BodyConsumed,
    /// Another instance rejected the request after an attempt that may have run.
    RejectedElsewhere,
    /// The server responded with a status that clients take for a guarantee.
    ServerFailed,
    /// A refusal came that may belong to another request.
    UnprovenRefusal,
    /// The instance shuts down before the request would have ended.
    ShuttingDown,
    /// The client stops waiting.
    DeadlinePassed,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Overload(overload) => return overload.fmt(f),
            Self::NoSlot(reason) => return write!(f, "no slot of the owner ({reason})"),
            Self::NoConfiguration => "no configuration is known",
            Self::Unreached => "no server responds to this instance",
            Self::OwnerUnreached => "the server does not respond to this instance either",
            Self::KeyMoving => "the key is changing hands",
            Self::NoServer => "no server is there",
            Self::OwnerResting => "the owner of the key has asked for rest",
            Self::Quarantined => "requests like it crash servers",
            Self::NoTryLeft => "no try is left",
            Self::BodyConsumed => "part of its body was sent and cannot be sent again",
            Self::RejectedElsewhere => "another instance rejected it after an attempt",
            Self::ServerFailed => "the server failed",
            Self::UnprovenRefusal => "a refusal may belong to another request",
            Self::ShuttingDown => "this instance shuts down",
            Self::DeadlinePassed => "the deadline passed",
        })
    }
}
