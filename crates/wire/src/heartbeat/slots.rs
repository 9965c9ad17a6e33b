//! Requests for slots of servers, sent to the broker of the server, and its answers.

use {
    citron_core::{
        dispatch::ReportedLoad,
        id::{ParseIdError, Slots},
        slots::{DenyReason, SlotAnswer, SlotMessage, SlotOutcome, SlotRequest},
    },
    serde::{Deserialize, Serialize},
    std::time::Duration,
    thiserror::Error,
};

/// Largest slowdown that is sent, in percent of the normal run time.
const SLOWDOWN_PERCENT_MAX: f64 = u32::MAX as f64;

/// Error for a slot message with a value that is out of range.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SlotWireError {
    /// The name of the server is malformed.
    #[error(transparent)]
    Server(#[from] ParseIdError),
    /// A server cannot have this number of slots.
    #[error("invalid number of slots: {0}")]
    Slots(u32),
    /// A run time cannot be zero.
    #[error("invalid run time of 0 percent")]
    Slowdown,
}

/// Request of an instance for a slot of a server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SlotRequestWire {
    number: u64,
    server: String,
    slots: u32,
    priority: u32,
    objective_ms: u32,
    deadline_ms: u32,
}

/// Answer to the request with the same number.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SlotAnswerWire {
    number: u64,
    answer: AnswerWire,
}

/// Spans are in milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
enum AnswerWire {
    Granted,
    Queued(u32),
    Full(u32),
    Shed(u32),
    Leaving(u32),
}

/// End of the request with the same number.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SlotReleaseWire {
    number: u64,
    outcome: OutcomeWire,
}

/// Spans are in milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
enum OutcomeWire {
    Ran(u32, Option<SlotLoadWire>),
    Refused(Option<SlotLoadWire>),
    Failed,
    Unused,
}

/// Load that a server reported.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct SlotLoadWire {
    running: u32,
    waiting: u32,
    slots: u32,
    slowdown_percent: u32,
}

fn to_millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

fn from_millis(millis: u32) -> Duration {
    Duration::from_millis(millis.into())
}

fn parse_slots(slots: u32) -> Result<Slots, SlotWireError> {
    let parsed = slots.to_string().parse();
    parsed.map_err(|_| SlotWireError::Slots(slots))
}

impl SlotRequestWire {
    /// Request with a number of its sender.
    pub fn new(number: u64, request: &SlotRequest) -> Self {
        Self {
            number,
            server: request.server.to_string(),
            slots: request.slots.0,
            priority: request.priority,
            objective_ms: to_millis(request.objective),
            deadline_ms: to_millis(request.deadline),
        }
    }
}

impl TryFrom<SlotRequestWire> for SlotMessage {
    type Error = SlotWireError;

    fn try_from(wire: SlotRequestWire) -> Result<Self, SlotWireError> {
        let request = SlotRequest {
            server: wire.server.parse()?,
            slots: parse_slots(wire.slots)?,
            priority: wire.priority,
            objective: from_millis(wire.objective_ms),
            deadline: from_millis(wire.deadline_ms),
        };
        let number = wire.number;
        Ok(Self::Request { number, request })
    }
}

impl SlotAnswerWire {
    /// Answer to the request with this number.
    pub fn new(number: u64, answer: SlotAnswer) -> Self {
        let answer = match answer {
            SlotAnswer::Granted => AnswerWire::Granted,
            SlotAnswer::Queued(wait) => AnswerWire::Queued(to_millis(wait)),
            SlotAnswer::Denied {
                retry_after,
                reason,
            } => {
                let millis = to_millis(retry_after);
                match reason {
                    DenyReason::Full => AnswerWire::Full(millis),
                    DenyReason::Shed => AnswerWire::Shed(millis),
                    DenyReason::Leaving => AnswerWire::Leaving(millis),
                }
            }
        };
        Self { number, answer }
    }
}

impl From<SlotAnswerWire> for SlotMessage {
    fn from(wire: SlotAnswerWire) -> Self {
        let denied = |millis, reason| SlotAnswer::Denied {
            retry_after: from_millis(millis),
            reason,
        };
        let answer = match wire.answer {
            AnswerWire::Granted => SlotAnswer::Granted,
            AnswerWire::Queued(millis) => SlotAnswer::Queued(from_millis(millis)),
            AnswerWire::Full(millis) => denied(millis, DenyReason::Full),
            AnswerWire::Shed(millis) => denied(millis, DenyReason::Shed),
            AnswerWire::Leaving(millis) => denied(millis, DenyReason::Leaving),
        };
        let number = wire.number;
        Self::Answer { number, answer }
    }
}

impl SlotReleaseWire {
    /// End of the request with this number.
    pub fn new(number: u64, outcome: &SlotOutcome) -> Self {
        let to_load = |load: &Option<ReportedLoad>| load.as_ref().map(SlotLoadWire::from);
        let outcome = match outcome {
            SlotOutcome::Ran { span, load } => OutcomeWire::Ran(to_millis(*span), to_load(load)),
            SlotOutcome::Refused { load } => OutcomeWire::Refused(to_load(load)),
            SlotOutcome::Failed => OutcomeWire::Failed,
            SlotOutcome::Unused => OutcomeWire::Unused,
        };
        Self { number, outcome }
    }
}

impl TryFrom<SlotReleaseWire> for SlotMessage {
    type Error = SlotWireError;

    fn try_from(wire: SlotReleaseWire) -> Result<Self, SlotWireError> {
        let to_load = |load: Option<SlotLoadWire>| load.map(ReportedLoad::try_from).transpose();
        let outcome = match wire.outcome {
            OutcomeWire::Ran(millis, load) => SlotOutcome::Ran {
                span: from_millis(millis),
                load: to_load(load)?,
            },
            OutcomeWire::Refused(load) => SlotOutcome::Refused {
                load: to_load(load)?,
            },
            OutcomeWire::Failed => SlotOutcome::Failed,
            OutcomeWire::Unused => SlotOutcome::Unused,
        };
        let number = wire.number;
        Ok(Self::Release { number, outcome })
    }
}

impl From<&ReportedLoad> for SlotLoadWire {
    fn from(load: &ReportedLoad) -> Self {
        let percent = (load.slowdown * 100.0).round();
        Self {
            running: load.running,
            waiting: load.waiting,
            slots: load.slots.0,
            slowdown_percent: percent.clamp(1.0, SLOWDOWN_PERCENT_MAX) as u32,
        }
    }
}

impl TryFrom<SlotLoadWire> for ReportedLoad {
    type Error = SlotWireError;

    fn try_from(wire: SlotLoadWire) -> Result<Self, SlotWireError> {
        if wire.slowdown_percent == 0 {
            return Err(SlotWireError::Slowdown);
        }
        Ok(Self {
            running: wire.running,
            waiting: wire.waiting,
            slots: parse_slots(wire.slots)?,
            slowdown: f64::from(wire.slowdown_percent) / 100.0,
        })
    }
}
