//! Requests that are denied: their callers are told not to try again.

use {
    super::{
        answer::{AnswerBody, START_AGAIN, come_back, own},
        front::Front,
    },
    crate::{
        events,
        traffic::{guard::Refusal, request::host},
    },
    citron_core::routes::ConfigVersion,
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

    /// Whether another configuration could allow the request, of which nothing has run.
    fn is_by_config(self) -> bool {
        matches!(
            self,
            Self::Route | Self::Large | Self::Key | Self::Message(Refusal::Large)
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
        if let Some(doubt) = doubt {
            let reason = format!("the configuration may be out of date ({doubt}): {self}");
            return refuse(front, head, version, &reason);
        }
        let status = self.status();
        log::info!(
            "{} id={} status={} host={:?} path={:?} version={} {}: {self}",
            events::DENIED,
            front.id(head),
            status.as_u16(),
            host(head),
            head.uri.path(),
            shown(version),
            front.ages()
        );
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
    log::info!(
        "{} id={} host={:?} path={:?} version={} {} again={START_AGAIN:?}: {reason}",
        events::REFUSED,
        front.id(head),
        host(head),
        head.uri.path(),
        shown(version),
        front.ages()
    );
    come_back(START_AGAIN, reason)
}

fn shown(version: Option<ConfigVersion>) -> String {
    version.map_or("-".to_string(), |version| version.to_string())
}
