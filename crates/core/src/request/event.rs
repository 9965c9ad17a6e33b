//! Events of a request.

use {
    super::{RefusalProof, Target},
    crate::{
        id::{InstanceId, ServerName},
        registry::ServerRecord,
        slots::DenyReason,
    },
    std::{sync::Arc, time::Duration},
};

/// What has happened to a request. `R` is a response that can be forwarded.
#[derive(Debug)]
pub enum Event<R> {
    /// The instance has no view by which the request could be routed.
    NoView,
    /// The current view was read.
    ViewRead,
    /// The selection by that view has ended.
    Selected(Target),
    /// The broker of the server granted a slot.
    SlotGranted(Arc<ServerRecord>),
    /// The broker of the server has no slot for the request.
    SlotDenied {
        /// Time after which the client may send the request again.
        retry_after: Duration,
        /// Reason of the broker.
        reason: DenyReason,
    },
    /// No broker answers.
    SlotUnavailable,
    /// There is a permit for a request to the server.
    PermitGranted(Arc<ServerRecord>),
    /// There is no permit for the server that was selected.
    PermitDenied,
    /// The attempt at the server has ended.
    AttemptEnded(ServerName, AttemptEnd<R>),
    /// The attempt through another instance has ended.
    DetourEnded(InstanceId, DetourEnd<R>),
    /// An attempt at a server and one beside it through another instance have ended.
    BothEnded {
        /// The server.
        server: ServerName,
        /// End of the attempt at the server; `None` if it was given up, because the other
        /// attempt has a response.
        direct: Option<AttemptEnd<R>>,
        /// The other instance.
        peer: InstanceId,
        /// End of the attempt through the other instance.
        detour: DetourEnd<R>,
    },
}

/// End of an attempt at a server.
#[derive(Debug)]
pub enum AttemptEnd<R> {
    /// The server sent a response with this status.
    Responded(u16, R),
    /// The server guaranteed that a request has not run. Without a proof it may be another one.
    Refused(Option<RefusalProof>),
    /// The same, as the server does not hold the key or is not the one that was meant.
    Misdirected(Option<RefusalProof>),
    /// No byte of the request was sent.
    NotSent,
    /// It is unknown whether the request has run.
    Lost,
}

/// End of an attempt through another instance.
#[derive(Debug)]
pub enum DetourEnd<R> {
    /// The other instance responded with this status.
    Responded(u16, R),
    /// The servers do not respond to the other instance either. The request has not run.
    Unreached(R),
    /// No byte of the request was sent.
    NotSent,
    /// It is unknown whether the request has run.
    Lost,
}

/// Whether clients take the status to mean that the request has not run and will not run:
/// Request Timeout, Misdirected Request, Too Many Requests and Service Unavailable.
///
/// ```
/// use citron_core::request::means_not_run;
/// assert!(means_not_run(503));
/// assert!(!means_not_run(500));
/// ```
pub fn means_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}
