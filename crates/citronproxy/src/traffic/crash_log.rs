//! Log of requests that crashed servers, kept by each traffic thread.

use {
    super::request_body::ClientBody,
    crate::clock::Clock,
    citron_core::{
        crash::{CrashConfig, CrashEntry, CrashReport, CrashTracker, Fingerprint},
        id::{Incarnation, InstanceId, ServerName},
    },
    http::request::Parts,
    std::{
        cell::{Cell, RefCell},
        time::Duration,
    },
};

/// Request header by which a client identifies retries of the same request.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Event of the crash log. Every thread receives all events, in the same order except for
/// simultaneous ones, so that all threads have the same log.
#[derive(Debug, Clone)]
pub enum CrashEvent {
    /// A connection was lost with a request in flight.
    Crashed {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// Method and path, for operators.
        label: String,
        /// Server of the connection.
        server: ServerName,
    },
    /// A request with this fingerprint was answered.
    Answered(Fingerprint),
    /// An operator lifted the quarantine of this fingerprint.
    Lift(Fingerprint),
    /// Another instance reported its crashes.
    Reported {
        /// Identity of the other instance.
        from: (InstanceId, Incarnation),
        /// The report.
        report: CrashReport,
    },
}

/// Crash log of one thread.
#[derive(Debug)]
pub struct CrashLog {
    tracker: RefCell<CrashTracker>,
    /// Whether the log has entries; otherwise no request needs a fingerprint.
    has_entries: Cell<bool>,
    clock: Clock,
}

impl CrashLog {
    /// Creates an empty log.
    pub fn new(clock: Clock) -> Self {
        Self {
            tracker: RefCell::new(CrashTracker::new(CrashConfig::STANDARD)),
            has_entries: Cell::new(false),
            clock,
        }
    }

    /// Whether the log has entries, so that requests have to be checked against it.
    pub fn has_entries(&self) -> bool {
        self.has_entries.get()
    }

    /// Whether requests with this fingerprint crashed a server.
    pub fn has_crash(&self, fingerprint: Fingerprint) -> bool {
        self.has_entries()
            && self
                .tracker
                .borrow()
                .has_crash(fingerprint, self.clock.now())
    }

    /// Applies an event.
    pub fn apply(&self, event: CrashEvent) {
        let now = self.clock.now();
        let mut tracker = self.tracker.borrow_mut();
        match event {
            CrashEvent::Crashed {
                fingerprint,
                label,
                server,
            } => tracker.record_crash(fingerprint, &label, &server, now),
            CrashEvent::Answered(fingerprint) => tracker.record_answer(fingerprint, now),
            CrashEvent::Lift(fingerprint) => tracker.lift(fingerprint, now),
            CrashEvent::Reported { from, report } => tracker.merge(from, report, now),
        }
        self.has_entries.set(!tracker.entries(now).is_empty());
    }

    /// Remaining time for which requests with this fingerprint are refused; `None` if
    /// they are not refused.
    pub fn refused_for(&self, fingerprint: Fingerprint) -> Option<Duration> {
        self.tracker
            .borrow()
            .refused_for(fingerprint, self.clock.now())
    }

    /// Report of the crashes known to this instance, for other instances.
    pub fn report(&self) -> CrashReport {
        self.tracker.borrow_mut().report(self.clock.now())
    }

    /// Entries, for operators.
    pub fn entries(&self) -> Vec<CrashEntry> {
        self.tracker.borrow().entries(self.clock.now())
    }
}

/// Fingerprint of a request: method, path, idempotency key, length, and the identity of the
/// body, which is all of a small one.
pub fn fingerprint(head: &Parts, body: &ClientBody) -> Fingerprint {
    let path = head.uri.path_and_query().map_or("", |path| path.as_str());
    let key = head.headers.get(IDEMPOTENCY_KEY);
    let key = key.map_or(&b""[..], |key| key.as_bytes());
    let length = body.declared_length().to_le_bytes();
    let body = body.identity();
    Fingerprint::from_parts(&[
        head.method.as_str().as_bytes(),
        path.as_bytes(),
        key,
        &length,
        &body,
    ])
}
