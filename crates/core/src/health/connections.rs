//! Which kept connections of one server can be trusted.

use {crate::time::Time, std::time::Duration};

/// How long after it last received bytes a connection may still take a request
/// that is not idempotent.
const NON_IDEMPOTENT_IDLE_MAX: Duration = Duration::from_secs(5);
/// How long after it last received bytes a connection is kept at all.
const IDLE_MAX: Duration = Duration::from_secs(60);
/// A wait for an answer is a silence after this, at least.
const SILENCE_TIMEOUT_MIN: Duration = Duration::from_secs(1);
/// And after so many times the usual high latency.
const SILENCE_FACTOR: u32 = 5;

/// A kept connection's age.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionAge {
    /// When it was opened.
    pub opened: Time,
    /// When something was last read from it.
    pub last_read: Time,
}

/// What a silence tells against.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilenceCause {
    /// Connections opened before; new ones are likely to work.
    Connections,
    /// The server: even a connection opened for the request is silent.
    Server,
}

/// Suspicion against the connections that one instance keeps to one server.
///
/// Something between the two ends can lose track of open connections: what is
/// written to them vanishes without an error, while new ones work. The first
/// silence casts suspicion on all connections that were opened before it and have
/// shown no life since it began, so that the requests after it are not lost one
/// by one. The server itself is not blamed.
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
    /// Nothing was read for too long, on a connection opened at `opened`, of an
    /// exchange begun at `begun`.
    pub fn record_silence(&mut self, opened: Time, begun: Time, now: Time) -> SilenceCause {
        if opened >= begun {
            return SilenceCause::Server;
        }
        self.detected = Some(now);
        self.begun = begun;
        SilenceCause::Connections
    }

    /// Whether a connection is under suspicion; it is closed then.
    pub fn is_suspect(&self, connection: ConnectionAge) -> bool {
        let is_older = self
            .detected
            .is_some_and(|detected| connection.opened < detected);
        is_older && connection.last_read < self.begun
    }

    /// Whether a request may be written to a kept connection.
    pub fn allows(&self, connection: ConnectionAge, idempotent: bool, now: Time) -> bool {
        let idle_max = if idempotent {
            IDLE_MAX
        } else {
            NON_IDEMPOTENT_IDLE_MAX
        };
        !self.is_suspect(connection) && now - connection.last_read <= idle_max
    }
}

/// How long an exchange may show no progress, given the usual high latency.
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
