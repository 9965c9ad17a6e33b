//! Requests that are denied: their callers are told not to try again.

use {
    super::{
        response::{AnswerBody, START_RETRY_AFTER, own, reject_with_retry},
        thread::Front,
    },
    crate::{
        events::{self, Event},
        traffic::{guard::Refusal, request::host},
    },
    citron_core::{freshness::StaleReason, routes::ConfigVersion},
    http::{Response, StatusCode, request::Parts},
    thiserror::Error,
};

/// Why a request is denied.
#[derive(Debug, Clone, Copy, Error)]
pub enum Denial {
    /// Its message breaks a rule of the protocol.
    #[error("{0}")]
    Message(Refusal),
    /// The configuration has no route for it.
    #[error("no route")]
    Route,
    /// Its body is larger than the configuration allows.
    #[error("the body is too large")]
    Large,
    /// The same, found when a part of the body had been sent to a server.
    #[error("the body is too large, and a part of it was sent")]
    Outgrown,
    /// Its body ended before its end.
    #[error("the body is malformed or cut short")]
    Cut,
    /// It goes to a service with keys and has none.
    #[error("the request has no key")]
    Key,
}

impl Denial {
    fn status(self) -> StatusCode {
        match self {
            Self::Message(refusal) => refusal.status(),
            Self::Route => StatusCode::NOT_FOUND,
            Self::Large | Self::Outgrown => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Cut | Self::Key => StatusCode::BAD_REQUEST,
        }
    }

    /// Whether another configuration could allow the request.
    fn is_by_config(self) -> bool {
        matches!(
            self,
            Self::Route
                | Self::Large
                | Self::Outgrown
                | Self::Key
                | Self::Message(Refusal::HeadTooLarge)
        )
    }

    /// The answer to a request that is denied by a configuration, or without one. While
    /// the configuration may be out of date its caller is told to come back: a newer
    /// one may allow what this one denies.
    pub fn answer(
        self,
        front: &Front,
        head: &Parts,
        version: Option<ConfigVersion>,
    ) -> Response<AnswerBody> {
        let doubt = self.is_by_config().then(|| front.doubt(version)).flatten();
        match (doubt, self) {
            (None, _) => self.deny(front, head, version),
            (Some(doubt), Self::Outgrown) => lose(front, head, version, &self.doubted(doubt)),
            (Some(doubt), _) => refuse(front, head, version, &self.doubted(doubt)),
        }
    }

    fn doubted(self, doubt: StaleReason) -> String {
        format!("the configuration may be out of date ({doubt}): {self}")
    }

    fn deny(
        self,
        front: &Front,
        head: &Parts,
        version: Option<ConfigVersion>,
    ) -> Response<AnswerBody> {
        let status = self.status();
        let what = format!("status={}: {self}", status.as_u16());
        log_own(events::REQUEST_DENIED, front, head, version, &what);
        front.counts.borrow_mut().count_denied(status);
        own(status, &self.to_string())
    }
}

/// The answer to a request that has not run, and may be allowed soon.
pub fn refuse(
    front: &Front,
    head: &Parts,
    version: Option<ConfigVersion>,
    reason: &str,
) -> Response<AnswerBody> {
    let what = format!("again={START_RETRY_AFTER:?}: {reason}");
    log_own(events::REQUEST_REFUSED, front, head, version, &what);
    reject_with_retry(START_RETRY_AFTER, reason)
}

/// The answer to a request of which a server may have run what it got.
fn lose(
    front: &Front,
    head: &Parts,
    version: Option<ConfigVersion>,
    reason: &str,
) -> Response<AnswerBody> {
    let what = format!("tried=1: {reason}");
    log_own(events::REQUEST_UNKNOWN, front, head, version, &what);
    own(StatusCode::BAD_GATEWAY, reason)
}

fn log_own(event: Event, front: &Front, head: &Parts, version: Option<ConfigVersion>, what: &str) {
    let version = version.map_or("-".to_string(), |version| version.to_string());
    log::info!(
        "{event} id={} host={:?} path={:?} version={version} {} {what}",
        front.id(head),
        host(head),
        head.uri.path(),
        front.ages()
    );
}
