//! Detection of dead idle connections to one server.

use {crate::time::Time, std::time::Duration};

/// Longest time since the last read at which a connection may be reused for a request
/// that is not idempotent.
const NON_IDEMPOTENT_IDLE_MAX: Duration = Duration::from_secs(5);
/// Longest time since the last read at which a connection may be reused at all.
const IDLE_MAX: Duration = Duration::from_secs(60);
/// Lower bound of the silence timeout.
const SILENCE_TIMEOUT_MIN: Duration = Duration::from_secs(1);
/// Silence timeout as a multiple of the usual high latency.
const SILENCE_FACTOR: u32 = 5;

/// Times of an idle connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionAge {
    /// Time at which the connection was opened.
    pub opened: Time,
    /// Time at which data was last read from the connection.
    pub last_read: Time,
}

/// Cause of a silent exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilenceCause {
    /// Connections opened before the exchange; new ones are likely to work.
    Connections,
    /// The server, as even a connection opened for the request is silent.
    Server,
}

/// Detects idle connections of one instance to one server that are dead.
///
/// A middlebox can drop the state of open connections: writes to them are lost without an
/// error, while new connections work. The first silence makes all connections suspect
/// that were opened before it was detected and from which nothing was read since the
/// silent exchange began. Later requests then avoid them instead of being lost one by
/// one. The silence does not count against the server.
///
/// ```
/// use {citron_core::{health::*, time::Time}, std::time::Duration};
/// let at = |seconds| Time::ZERO + Duration::from_secs(seconds);
/// let mut connections = ConnectionHealth::default();
/// let old = ConnectionAge { opened: at(1), last_read: at(7) };
/// assert!(connections.allows(old, false, at(9)));
/// assert_eq!(connections.record_silence(at(1), at(8), at(9)), SilenceCause::Connections);
/// assert!(!connections.allows(old, true, at(9)));
/// assert!(connections.allows(ConnectionAge { opened: at(9), last_read: at(9) }, false, at(10)));
/// ```
#[derive(Debug, Default)]
pub struct ConnectionHealth {
    detected: Option<Time>,
    begun: Time,
}

impl ConnectionHealth {
    /// Records that nothing was read before the silence timeout, in an exchange begun at
    /// `begun` on a connection opened at `opened`.
    pub fn record_silence(&mut self, opened: Time, begun: Time, now: Time) -> SilenceCause {
        if opened >= begun {
            return SilenceCause::Server;
        }
        self.detected = Some(now);
        self.begun = begun;
        SilenceCause::Connections
    }

    /// Whether a connection is suspect and has to be closed.
    pub fn is_suspect(&self, connection: ConnectionAge) -> bool {
        let is_older = self
            .detected
            .is_some_and(|detected| connection.opened < detected);
        is_older && connection.last_read < self.begun
    }

    /// Whether a request may be written to an idle connection.
    pub fn allows(&self, connection: ConnectionAge, idempotent: bool, now: Time) -> bool {
        let idle_max = if idempotent {
            IDLE_MAX
        } else {
            NON_IDEMPOTENT_IDLE_MAX
        };
        !self.is_suspect(connection) && now - connection.last_read <= idle_max
    }
}

/// Longest time without progress in an exchange, from the usual high latency.
///
/// ```
/// use {citron_core::health::silence_timeout, std::time::Duration};
/// assert_eq!(silence_timeout(None), Duration::from_secs(1));
/// assert_eq!(silence_timeout(Some(Duration::from_secs(1))), Duration::from_secs(5));
/// ```
pub fn silence_timeout(high_latency: Option<Duration>) -> Duration {
    let high_latency = high_latency.unwrap_or_default();
    high_latency
        .saturating_mul(SILENCE_FACTOR)
        .max(SILENCE_TIMEOUT_MIN)
}
