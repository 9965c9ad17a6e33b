//! Requests that crash servers, as one traffic thread knows of them.

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

/// Header by which a caller tells that two requests are the same one.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// News of crashes. Every thread gets all of them, in the same order but for
/// those that happen at the same time, and so keeps the same log.
#[derive(Debug, Clone)]
pub enum CrashEvent {
    /// A connection died with the request in flight.
    Crashed {
        /// Which request.
        fingerprint: Fingerprint,
        /// Method and path, for operators.
        label: String,
        /// Whose connection died.
        server: ServerName,
    },
    /// Such a request was answered whole.
    Answered(Fingerprint),
    /// An operator lets such requests through again.
    Lift(Fingerprint),
    /// What another instance counted.
    Reported {
        /// Who.
        from: (InstanceId, Incarnation),
        /// What.
        report: CrashReport,
    },
}

/// The log of one thread.
#[derive(Debug)]
pub struct CrashLog {
    tracker: RefCell<CrashTracker>,
    /// Whether anything was ever noted: else no request needs a fingerprint.
    has_entries: Cell<bool>,
    clock: Clock,
}

impl CrashLog {
    /// Nothing noted.
    pub fn new(clock: Clock) -> Self {
        Self {
            tracker: RefCell::new(CrashTracker::new(CrashConfig::STANDARD)),
            has_entries: Cell::new(false),
            clock,
        }
    }

    /// Whether requests have to be looked at.
    pub fn has_entries(&self) -> bool {
        self.has_entries.get()
    }

    /// Whether such requests crashed a server.
    pub fn has_crash(&self, fingerprint: Fingerprint) -> bool {
        self.has_entries()
            && self
                .tracker
                .borrow()
                .has_crash(fingerprint, self.clock.now())
    }

    /// Takes in news.
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

    /// How much longer such requests are refused.
    pub fn refused_for(&self, fingerprint: Fingerprint) -> Option<Duration> {
        self.tracker
            .borrow()
            .refused_for(fingerprint, self.clock.now())
    }

    /// What this instance knows, for the others.
    pub fn report(&self) -> CrashReport {
        self.tracker.borrow_mut().report(self.clock.now())
    }

    /// What operators see.
    pub fn entries(&self) -> Vec<CrashEntry> {
        self.tracker.borrow().entries(self.clock.now())
    }
}

/// What tells a request from others: head, length and the body as far as it is
/// kept, which is all of a small one.
pub fn fingerprint(head: &Parts, body: &ClientBody) -> Fingerprint {
    let path = head.uri.path_and_query().map_or("", |path| path.as_str());
    let key = head.headers.get(IDEMPOTENCY_KEY);
    let key = key.map_or(&b""[..], |key| key.as_bytes());
    let length = body.declared_length().to_le_bytes();
    let prefix = body.buffered();
    Fingerprint::from_parts(&[
        head.method.as_str().as_bytes(),
        path.as_bytes(),
        key,
        &length,
        &prefix,
    ])
}
