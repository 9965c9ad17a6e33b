//! Requests for permits, sent to the planner, and its answers.

use {
    super::statements::parse_rate,
    citron_core::{
        dispatch::{Denial, PermitAnswer, PermitRequest},
        id::ParseIdError,
    },
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Request of an instance to send one request to a server with a rate limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PermitRequestWire {
    /// Number that the answer repeats.
    pub number: u64,
    server: String,
    limit: f64,
    arrivals: u32,
}

impl PermitRequestWire {
    /// Request with a number of its sender.
    pub fn new(number: u64, request: &PermitRequest) -> Self {
        Self {
            number,
            server: request.server.to_string(),
            limit: request.limit.0,
            arrivals: request.arrivals,
        }
    }
}

impl TryFrom<PermitRequestWire> for PermitRequest {
    type Error = ParseIdError;

    fn try_from(wire: PermitRequestWire) -> Result<Self, ParseIdError> {
        Ok(Self {
            server: wire.server.parse()?,
            limit: parse_rate(wire.limit)?,
            arrivals: wire.arrivals,
        })
    }
}

/// Answer to the request with the same number.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PermitAnswerWire {
    /// Number of the request.
    pub number: u64,
    /// Milliseconds until the client should return, and until the next request for a
    /// permit; `None` if the permit is granted.
    denial: Option<(u32, u32)>,
}

impl PermitAnswerWire {
    /// Answer to the request with this number.
    pub fn new(number: u64, answer: PermitAnswer) -> Self {
        let millis = |span: Duration| span.as_millis() as u32;
        let denial = match answer {
            PermitAnswer::Granted => None,
            PermitAnswer::Denied(denial) => {
                Some((millis(denial.retry_after), millis(denial.pause)))
            }
        };
        Self { number, denial }
    }
}

impl From<PermitAnswerWire> for PermitAnswer {
    fn from(wire: PermitAnswerWire) -> Self {
        let span = |millis: u32| Duration::from_millis(millis.into());
        wire.denial.map_or(Self::Granted, |(retry_after, pause)| {
            Self::Denied(Denial {
                retry_after: span(retry_after),
                pause: span(pause),
            })
        })
    }
}
