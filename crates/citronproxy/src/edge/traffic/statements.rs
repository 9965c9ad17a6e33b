//! Statements about a server in the headers of its responses, other than its load.

use {
    super::{attempt::is_refusal, thread::TrafficState},
    crate::events,
    citron_core::{admission::Rate, dispatch::LimitStatement, id::ServerName},
    http::response::Parts,
};

/// Records the rate limit that a server states in a response.
pub fn record_limit(state: &TrafficState, server: &ServerName, head: &Parts) {
    let Some(statement) = parse_limit(state, head) else {
        return;
    };
    let now = state.clock.now();
    if !state
        .shared
        .limits()
        .record_statement(server, statement, now)
    {
        return;
    }
    match statement {
        LimitStatement::Limited(rate) => log::info!(
            "{} {server} takes {rate} requests per second from all instances",
            events::SERVER_LIMIT
        ),
        LimitStatement::Unlimited => {
            log::info!("{} {server} states no limit any more", events::SERVER_LIMIT);
        }
    }
}

/// The limit stated in a response; `None` if the response says nothing about it. An
/// invalid value is counted and ignored.
fn parse_limit(state: &TrafficState, head: &Parts) -> Option<LimitStatement> {
    let Some(value) = head.headers.get(&state.headers.limit) else {
        // A refusal may come from another process at the server's address.
        return (!is_refusal(state, head)).then_some(LimitStatement::Unlimited);
    };
    let text = value.to_str().ok();
    let rate = text.and_then(|text| text.trim().parse::<Rate>().ok());
    if rate.is_none() {
        state.local_metrics.borrow_mut().count_invalid_limit();
    }
    rate.map(LimitStatement::Limited)
}
