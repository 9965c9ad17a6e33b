//! Requests that are denied: their callers are told not to try again.

use {
    super::{
        answer::{AnswerBody, own},
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
            Self::Large => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Cut | Self::Key => StatusCode::BAD_REQUEST,
        }
    }

    /// The answer to a request that is denied by a configuration, or without one.
    pub fn answer(
        self,
        front: &Front,
        head: &Parts,
        version: Option<ConfigVersion>,
    ) -> Response<AnswerBody> {
        let status = self.status();
        let version = version.map_or("-".to_string(), |version| version.to_string());
        log::info!(
            "{} id={} status={} host={:?} path={:?} version={version} {}: {self}",
            events::DENIED,
            front.id(head),
            status.as_u16(),
            host(head),
            head.uri.path(),
            front.ages()
        );
        front.counts.borrow_mut().count_denied(status);
        own(status, &self.to_string())
    }
}
