//! Which kept connections of one server can be trusted.

use {crate::time::Time, std::time::Duration};

/// How long after it last received bytes a connection may still take a request
/// that is not idempotent.
const TRUST: Duration = Duration::from_secs(5);
/// How long after it last received bytes a connection is kept at all.
const KEEP: Duration = Duration::from_secs(60);
/// A wait for an answer is a silence after this, at least.
const SILENCE_LEAST: Duration = Duration::from_secs(1);
/// And after so many times the usual high latency.
const SILENCE_FACTOR: u32 = 5;

/// A kept connection's age.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Kept {
    /// When it was opened.
    pub opened: Time,
    /// When something was last read from it.
    pub alive: Time,
}

/// What a silence tells against.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Blame {
    /// Connections opened before; new ones are likely to work.
    Links,
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
/// let mut links = Links::default();
/// let old = Kept { opened: at(1), alive: at(7) };
/// assert!(links.allows(old, false, at(9)));
/// assert_eq!(links.silent(at(1), at(8), at(9)), Blame::Links);
/// assert!(!links.allows(old, true, at(9)));
/// assert!(links.allows(Kept { opened: at(9), alive: at(9) }, false, at(10)));
/// ```
#[derive(Debug, Default)]
pub struct Links {
    noticed: Option<Time>,
    begun: Time,
}

impl Links {
    /// Nothing was read for too long, on a connection opened at `opened`, of an
    /// exchange begun at `begun`.
    pub fn silent(&mut self, opened: Time, begun: Time, now: Time) -> Blame {
        if opened >= begun {
            return Blame::Server;
        }
        self.noticed = Some(now);
        self.begun = begun;
        Blame::Links
    }

    /// Whether a connection is under suspicion; it is closed then.
    pub fn suspects(&self, kept: Kept) -> bool {
        let older = self.noticed.is_some_and(|noticed| kept.opened < noticed);
        older && kept.alive < self.begun
    }

    /// Whether a request may be written to a kept connection.
    pub fn allows(&self, kept: Kept, idempotent: bool, now: Time) -> bool {
        let longest = if idempotent { KEEP } else { TRUST };
        !self.suspects(kept) && now - kept.alive <= longest
    }
}

/// How long an exchange may show no progress, given the usual high latency.
///
/// ```
/// use {citron_core::health::silence_after, std::time::Duration};
/// assert_eq!(silence_after(None), Duration::from_secs(1));
/// assert_eq!(silence_after(Some(Duration::from_secs(1))), Duration::from_secs(5));
/// ```
pub fn silence_after(usual: Option<Duration>) -> Duration {
    let usual = usual.unwrap_or_default();
    usual.saturating_mul(SILENCE_FACTOR).max(SILENCE_LEAST)
}
