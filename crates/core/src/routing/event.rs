//! What an attempt is told, and what it asks for.

use {
    super::{ExchangeStage, FailureReason, LocalResponse},
    std::time::Duration,
};

/// One of the exchanges that a request caused; 1 is the first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptNo(pub u32);

/// What happened to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The request has a slot and can be sent for the first time.
    Admitted,
    /// Admission, routing or quarantine turns it away before its first try, or
    /// before the try that was asked for last is begun. An exchange that is open
    /// ends by [`Self::TimedOut`] instead.
    Denied {
        /// Why.
        reason: FailureReason,
        /// The expected wait: when it may come back.
        wait: Duration,
    },
    /// The first piece of a streamed body was taken from the caller.
    BodyStarted,
    /// The connection failed, or none could be made.
    Lost(AttemptNo, ExchangeStage),
    /// A try used up its time or made no progress; its connection is closed.
    TimedOut(AttemptNo, ExchangeStage),
    /// The server promised that it did not run the request and never will.
    Refused {
        /// Which exchange.
        no: AttemptNo,
        /// Its `Retry-After`, if it gave one.
        wait: Option<Duration>,
    },
    /// The server refused the epoch, with the same promise.
    Fenced(AttemptNo),
    /// The leave to route had run out right before the write; nothing was written.
    Unconfirmed(AttemptNo),
    /// The head of a whole-looking answer was read.
    Answered(AttemptNo),
    /// The answer broke off after its head.
    Truncated(AttemptNo),
    /// The answer was read whole.
    Completed(AttemptNo),
    /// The time of the hedge has come.
    HedgeDue,
    /// The caller's connection is gone.
    CallerLeft,
}

/// Which connections a try may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionPolicy {
    /// A kept one or a new one.
    Any,
    /// A kept one only if it is neither suspect nor long idle; else a new one.
    Trusted,
    /// A new one: a kept one has just failed.
    New,
}

/// An exchange to begin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SendAttempt {
    /// Its number; later events name it.
    pub no: AttemptNo,
    /// How long to wait before. The route is looked up after the wait, under
    /// the snapshot of then.
    pub delay: Duration,
    /// Time for the exchange, from its begin.
    pub timeout: Duration,
    /// Which connections it may use.
    pub connection: ConnectionPolicy,
    /// Whether the route of the last try was refused: wait for a newer snapshot
    /// for up to `timeout` if the route is still the same.
    pub reroute: bool,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Begin an exchange; others that are open stay so.
    Send(SendAttempt),
    /// Nothing: another exchange is open, or the event came too late.
    Wait,
    /// Pass this answer on with outcome `ran`; close the connection of every
    /// other exchange.
    Forward(AttemptNo),
    /// Answer the caller at once; close the connections of all open exchanges.
    Answer(LocalResponse),
    /// The answer's head is out: break the caller's connection, so that the
    /// answer is never taken for whole.
    Abort,
    /// All is done; the connection of the answer can be kept.
    Done,
    /// Nobody waits: close the connections of all open exchanges, free the slot.
    Drop,
}
