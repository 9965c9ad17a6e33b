//! Events and steps of a request's state machine.

use {
    super::{ExchangeStage, FailureReason, LocalResponse},
    std::time::Duration,
};

/// Number of an attempt within its request, from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptNo(pub u32);

/// An event of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The request has a slot and can be sent for the first time.
    Admitted,
    /// Admission, routing or quarantine rejects the request before its first attempt, or
    /// before the attempt requested last is started. An attempt that is open ends with
    /// [`Self::TimedOut`] instead.
    Denied {
        /// Reason for the rejection.
        reason: FailureReason,
        /// Expected wait, after which the client may retry.
        wait: Duration,
    },
    /// The first part of a streamed body was read from the client.
    BodyStarted,
    /// The connection failed, or none could be opened.
    Lost(AttemptNo, ExchangeStage),
    /// An attempt timed out or made no progress; its connection is closed.
    TimedOut(AttemptNo, ExchangeStage),
    /// The server guarantees that it did not run the request and never will.
    Refused {
        /// The refused attempt.
        no: AttemptNo,
        /// The server's `Retry-After`, if any.
        wait: Option<Duration>,
    },
    /// The server refused the epoch, with the same guarantee.
    Fenced(AttemptNo),
    /// The routing lease had expired right before the write; nothing was written.
    Unconfirmed(AttemptNo),
    /// The head of a well-formed response was read.
    Answered(AttemptNo),
    /// The response ended early, after its head.
    Truncated(AttemptNo),
    /// The whole response was read.
    Completed(AttemptNo),
    /// The hedge timer fired.
    HedgeDue,
    /// The client closed its connection.
    ClientDisconnected,
}

/// Connections that an attempt may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionPolicy {
    /// An idle connection or a new one.
    Any,
    /// An idle connection only if it is not suspect and was used recently; otherwise a
    /// new one.
    Trusted,
    /// A new connection, as an idle one has just failed.
    New,
}

/// An attempt to start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendAttempt {
    /// Number of the attempt, which later events refer to.
    pub no: AttemptNo,
    /// Delay before the attempt. The route is looked up after it, in the snapshot in
    /// force then.
    pub delay: Duration,
    /// Time limit of the attempt, from its start.
    pub timeout: Duration,
    /// Connections that the attempt may use.
    pub connection: ConnectionPolicy,
    /// Whether the route of the last attempt was refused. If the route is still the same,
    /// wait up to `timeout` for a newer snapshot.
    pub reroute: bool,
}

/// Action to take next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Start an attempt; other open attempts continue.
    Send(SendAttempt),
    /// Do nothing: another attempt is open, or the event came too late.
    Wait,
    /// Forward this response with outcome `ran`, and close the connections of all other
    /// attempts.
    Forward(AttemptNo),
    /// Send this response to the client at once, and close the connections of all open
    /// attempts.
    Answer(LocalResponse),
    /// Break the client's connection. The response's head has been forwarded, and a
    /// normal end would make the response look complete.
    Abort,
    /// The request has ended; the connection of the response can be reused.
    Done,
    /// Close the connections of all open attempts and free the slot, as no client waits.
    Drop,
}
