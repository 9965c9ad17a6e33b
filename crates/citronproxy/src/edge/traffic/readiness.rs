//! Readiness check for load balancers.

use {
    crate::edge::{
        http_server::{HttpResponse, response},
        shared::SharedState,
    },
    http::StatusCode,
};

/// Response to a health check of a load balancer: 200 while this instance accepts
/// requests, 503 before the first view is published and once the instance is leaving, 404
/// for any path other than `readiness_path`.
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
