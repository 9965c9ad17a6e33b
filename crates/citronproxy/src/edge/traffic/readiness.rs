//! Whether balancers should send callers here.

use {
    crate::edge::{
        http_server::{HttpResponse, response},
        shared::SharedState,
    },
    http::StatusCode,
};

/// The answer to a balancer that asked for a path.
pub fn readiness_response(
    shared: &SharedState,
    readiness_path: &str,
    request_path: &str,
) -> HttpResponse {
    let is_ready = shared.view().is_some() && !*shared.subscribe_leaving().borrow();
    let status = match (request_path == readiness_path, is_ready) {
        (false, _) => StatusCode::NOT_FOUND,
        (true, true) => StatusCode::OK,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
    };
    response(status, "")
}
