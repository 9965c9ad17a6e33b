//! Responses to denied requests, and to requests that a stale configuration would deny.
//!
//! A denied request gets a 4xx status and is not to be retried.

use {
    super::{
        response::{ResponseBody, STALE_CONFIG_RETRY_AFTER, local_response, not_run_response},
        thread::TrafficState,
    },
    crate::{
        events::{self, Event},
        traffic::{guard::Refusal, request::host},
    },
    citron_core::{freshness::StaleReason, routes::ConfigVersion},
    http::{Response, StatusCode, request::Parts},
    thiserror::Error,
};

/// Reason for which a request is denied. The text is sent in the body of the response.
#[derive(Debug, Clone, Copy, Error)]
pub enum Denial {
    /// The message violates the protocol.
    #[error("{0}")]
    InvalidMessage(Refusal),
    /// The configuration has no route for the host and path.
    #[error("no route")]
    NoRoute,
    /// The body is larger than the configuration allows.
    #[error("the body is too large")]
    BodyTooLarge,
    /// The body is larger than the configuration allows, which was detected after part of
    /// it had been sent to a server.
    #[error("the body is too large, and a part of it was sent")]
    BodyTooLargeAfterSend,
    /// The body is malformed or ended early.
    #[error("the body is malformed or cut short")]
    IncompleteBody,
    /// The service has keys, and the request has none.
    #[error("the request has no key")]
    NoKey,
}

impl Denial {
    fn status(self) -> StatusCode {
        match self {
            Self::InvalidMessage(refusal) => refusal.status(),
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BodyTooLarge | Self::BodyTooLargeAfterSend => StatusCode::PAYLOAD_TOO_LARGE,
            Self::IncompleteBody | Self::NoKey => StatusCode::BAD_REQUEST,
        }
    }

    /// Whether a different configuration could allow the request.
    fn depends_on_config(self) -> bool {
        matches!(
            self,
            Self::NoRoute
                | Self::BodyTooLarge
                | Self::BodyTooLargeAfterSend
                | Self::NoKey
                | Self::InvalidMessage(Refusal::HeadTooLarge)
        )
    }

    /// Response to the request. `version` is the configuration that denied it, if any.
    ///
    /// If a configuration denied the request and may be out of date, the client is told
    /// to retry: a newer configuration may allow the request. A request that was partly
    /// sent to a server gets a 502 instead, as it may have run.
    pub fn response(
        self,
        state: &TrafficState,
        head: &Parts,
        version: Option<ConfigVersion>,
    ) -> Response<ResponseBody> {
        let stale_reason = self
            .depends_on_config()
            .then(|| state.config_stale_reason(version))
            .flatten();
        match (stale_reason, self) {
            (None, _) => self.deny(state, head, version),
            (Some(stale_reason), Self::BodyTooLargeAfterSend) => respond_unknown(
                state,
                head,
                version,
                &self.stale_config_reason(stale_reason),
            ),
            (Some(stale_reason), _) => refuse(
                state,
                head,
                version,
                &self.stale_config_reason(stale_reason),
            ),
        }
    }

    /// Reason text for a denial by a configuration that may be out of date.
    fn stale_config_reason(self, stale_reason: StaleReason) -> String {
        format!("the configuration may be out of date ({stale_reason}): {self}")
    }

    /// Logs and counts the denial and returns its 4xx response.
    fn deny(
        self,
        state: &TrafficState,
        head: &Parts,
        version: Option<ConfigVersion>,
    ) -> Response<ResponseBody> {
        let status = self.status();
        let details = format!("status={}: {self}", status.as_u16());
        log_request(events::REQUEST_DENIED, state, head, version, &details);
        state.local_metrics.borrow_mut().count_denied(status);
        local_response(status, &self.to_string())
    }
}

/// 503 response to a request that has not run and may be allowed soon.
pub fn refuse(
    state: &TrafficState,
    head: &Parts,
    version: Option<ConfigVersion>,
    reason: &str,
) -> Response<ResponseBody> {
    let details = format!("again={STALE_CONFIG_RETRY_AFTER:?}: {reason}");
    log_request(events::REQUEST_REFUSED, state, head, version, &details);
    not_run_response(STALE_CONFIG_RETRY_AFTER, reason)
}

/// 502 response to a request of which a server received a part, which it may have run.
fn respond_unknown(
    state: &TrafficState,
    head: &Parts,
    version: Option<ConfigVersion>,
    reason: &str,
) -> Response<ResponseBody> {
    let details = format!("tried=1: {reason}");
    log_request(events::REQUEST_UNKNOWN, state, head, version, &details);
    local_response(StatusCode::BAD_GATEWAY, reason)
}

/// Logs an event of a request for which this instance generated the response.
fn log_request(
    event: Event,
    state: &TrafficState,
    head: &Parts,
    version: Option<ConfigVersion>,
    details: &str,
) {
    let version = version.map_or("-".to_string(), |version| version.to_string());
    log::info!(
        "{event} id={} host={:?} path={:?} version={version} {} {details}",
        state.request_id(head),
        host(head),
        head.uri.path(),
        state.table_ages()
    );
}
