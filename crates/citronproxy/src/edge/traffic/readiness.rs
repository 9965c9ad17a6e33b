//! Whether balancers should send callers here.

use {
    crate::edge::{
        http_server::{HttpResponse, response},
        shared::SharedState,
    },
    http::StatusCode,
};

/// The answer to a balancer that asked for a path.
pub fn answer(board: &SharedState, path: &str, asked: &str) -> HttpResponse {
    let ready = board.view().is_some() && !*board.subscribe_leaving().borrow();
    let status = match (asked == path, ready) {
        (false, _) => StatusCode::NOT_FOUND,
        (true, true) => StatusCode::OK,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
    };
    response(status, "")
}
