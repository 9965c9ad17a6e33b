//! Statements that servers made to an instance, sent along with its heartbeats.

use {
    super::{Datagram, MAX_DATAGRAM_BYTES, byte_budget::ByteBudget},
    citron_core::{
        admission::Rate,
        dispatch::{LimitReport, LimitStatement},
        id::{ParseIdError, ServerName},
    },
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Largest number of extra bytes that the encoded length of a list takes, compared with
/// that of an empty list.
const MAX_COUNT_BYTES: usize = 4;

/// Statements of servers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StatementsWire {
    /// Name of the sender.
    pub instance: String,
    /// Servers that stated that they leave.
    pub leaving: Vec<LeavingWire>,
    /// Rate limits.
    pub limits: Vec<LimitWire>,
}

impl StatementsWire {
    /// Encodes the statements as one datagram. Those that do not fit are dropped from the
    /// end of their lists, limits first.
    pub fn encode_truncated(mut self) -> Option<Vec<u8>> {
        let leaving = std::mem::take(&mut self.leaving);
        let limits = std::mem::take(&mut self.limits);
        let bare = Datagram::Statements(self.clone()).encode()?;
        let mut budget =
            ByteBudget::new(MAX_DATAGRAM_BYTES.saturating_sub(bare.len() + 2 * MAX_COUNT_BYTES));
        self.leaving = budget.take_fitting(leaving);
        self.limits = budget.take_fitting(limits);
        Datagram::Statements(self).encode()
    }
}

/// A server that stated that it leaves, and milliseconds since then.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeavingWire(String, u32);

impl LeavingWire {
    /// Statement of a server that is `age` old.
    pub fn new(server: &ServerName, age: Duration) -> Self {
        Self(server.to_string(), age.as_millis() as u32)
    }

    /// Name of the server.
    ///
    /// # Errors
    /// If the name is malformed.
    pub fn server(&self) -> Result<ServerName, ParseIdError> {
        self.0.parse()
    }

    /// Time since the statement.
    pub fn age(&self) -> Duration {
        Duration::from_millis(self.1.into())
    }
}

/// Rate limit of a server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitWire {
    server: String,
    /// Requests per second that the server stated to the sender; `None` for no limit.
    rate: Option<f64>,
    /// Milliseconds since then.
    age: u32,
}

impl From<LimitReport> for LimitWire {
    fn from(report: LimitReport) -> Self {
        Self {
            server: report.server.to_string(),
            rate: match report.statement {
                LimitStatement::Limited(rate) => Some(rate.0),
                LimitStatement::Unlimited => None,
            },
            age: report.age.as_millis() as u32,
        }
    }
}

impl TryFrom<LimitWire> for LimitReport {
    type Error = ParseIdError;

    fn try_from(wire: LimitWire) -> Result<Self, ParseIdError> {
        let rate = wire.rate.map(parse_rate).transpose()?;
        Ok(Self {
            server: wire.server.parse()?,
            statement: rate.map_or(LimitStatement::Unlimited, LimitStatement::Limited),
            age: Duration::from_millis(wire.age.into()),
        })
    }
}

/// Checks a rate with the same rules as its text form.
pub(super) fn parse_rate(rate: f64) -> Result<Rate, ParseIdError> {
    rate.to_string().parse()
}
