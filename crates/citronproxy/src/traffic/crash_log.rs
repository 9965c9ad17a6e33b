//! Requests that crash servers, as one traffic thread knows of them.

use {
    super::request_body::Source,
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
pub enum CrashNote {
    /// A connection died with the request in flight.
    Crashed {
        /// Which request.
        print: Fingerprint,
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
    Heard {
        /// Who.
        from: (InstanceId, Incarnation),
        /// What.
        report: CrashReport,
    },
}

/// The log of one thread.
#[derive(Debug)]
pub struct Crashes {
    log: RefCell<CrashTracker>,
    /// Whether anything was ever noted: else no request needs a fingerprint.
    noted: Cell<bool>,
    clock: Clock,
}

impl Crashes {
    /// Nothing noted.
    pub fn new(clock: Clock) -> Self {
        Self {
            log: RefCell::new(CrashTracker::new(CrashConfig::STANDARD)),
            noted: Cell::new(false),
            clock,
        }
    }

    /// Whether requests have to be looked at.
    pub fn noted(&self) -> bool {
        self.noted.get()
    }

    /// Whether such requests crashed a server.
    pub fn knows(&self, print: Fingerprint) -> bool {
        self.noted() && self.log.borrow().has_crash(print, self.clock.now())
    }

    /// Takes in news.
    pub fn note(&self, note: CrashNote) {
        let now = self.clock.now();
        let mut log = self.log.borrow_mut();
        match note {
            CrashNote::Crashed {
                print,
                label,
                server,
            } => log.record_crash(print, &label, &server, now),
            CrashNote::Answered(print) => log.record_answer(print, now),
            CrashNote::Lift(print) => log.lift(print, now),
            CrashNote::Heard { from, report } => log.merge(from, report, now),
        }
        self.noted.set(!log.entries(now).is_empty());
    }

    /// How much longer such requests are refused.
    pub fn refused(&self, print: Fingerprint) -> Option<Duration> {
        self.log.borrow().refused_for(print, self.clock.now())
    }

    /// What this instance knows, for the others.
    pub fn report(&self) -> CrashReport {
        self.log.borrow_mut().report(self.clock.now())
    }

    /// What operators see.
    pub fn entries(&self) -> Vec<CrashEntry> {
        self.log.borrow().entries(self.clock.now())
    }
}

/// What tells a request from others: head, length and the body as far as it is
/// kept, which is all of a small one.
pub fn fingerprint(head: &Parts, source: &Source) -> Fingerprint {
    let path = head.uri.path_and_query().map_or("", |path| path.as_str());
    let key = head.headers.get(IDEMPOTENCY_KEY);
    let key = key.map_or(&b""[..], |key| key.as_bytes());
    let length = source.length().to_le_bytes();
    let body = source.kept();
    Fingerprint::from_parts(&[
        head.method.as_str().as_bytes(),
        path.as_bytes(),
        key,
        &length,
        &body,
    ])
}
