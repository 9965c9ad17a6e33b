//! Requests for slots, their answers and their outcomes.

use {
    crate::{
        dispatch::ReportedLoad,
        id::{ServerName, Slots},
    },
    std::{fmt, time::Duration},
};

/// Request of an instance for a slot of a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotRequest {
    /// Name of the server.
    pub server: ServerName,
    /// Slots of the server, as the instance knows them.
    pub slots: Slots,
    /// Priority of the route; 0 is the highest.
    pub priority: u32,
    /// Time left to the objective; zero if it has passed.
    pub objective: Duration,
    /// Time left to the deadline; zero if it has passed.
    pub deadline: Duration,
}

/// Why a request gets no slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DenyReason {
    /// The server's slots and queue leave the request no time.
    Full,
    /// The request was queued and had to give way to one of a higher priority.
    Shed,
    /// The broker's instance is leaving. Only the instance itself answers with this.
    Leaving,
}

/// ```
/// use citron_core::slots::DenyReason;
/// assert_eq!(DenyReason::Full.to_string(), "all slots are taken");
/// ```
impl fmt::Display for DenyReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Full => "all slots are taken",
            Self::Shed => "shed for a request of a higher priority",
            Self::Leaving => "the broker is leaving",
        })
    }
}

/// Answer to a [`SlotRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotAnswer {
    /// The request may be sent to the server now.
    Granted,
    /// The request is queued and probably granted after this time.
    Queued(Duration),
    /// The request must not be sent.
    Denied {
        /// Time after which the caller should retry.
        retry_after: Duration,
        /// Why the request is denied.
        reason: DenyReason,
    },
}

/// How a granted request ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SlotOutcome {
    /// The server ran the request.
    Ran {
        /// Time between sending the request and the server's response.
        span: Duration,
        /// Load that the server reported with the response.
        load: Option<ReportedLoad>,
    },
    /// The server refused the request as full.
    Refused {
        /// Load that the server reported with the refusal.
        load: Option<ReportedLoad>,
    },
    /// The request was not sent, or its connection broke.
    Failed,
    /// The grant came too late or the caller disconnected.
    Unused,
}
