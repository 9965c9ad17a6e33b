//! Permits for requests to servers with rate limits.

use {
    super::thread::TrafficState,
    crate::edge::view::View,
    citron_core::dispatch::{EqualShare, PermitRequest},
};

/// Asks for a permit. Returns whether the request may be sent.
pub async fn acquire(state: &TrafficState, view: &View, request: PermitRequest) -> bool {
    let server = request.server.clone();
    let answer = state.shared.request_permit(request).await;
    let now = state.clock.now();
    let mut limits = state.shared.limits();
    let result = match answer {
        Some(answer) => limits.record_answer(&server, answer, now),
        None => limits.record_silence(&server, equal_share(state, view), now),
    };
    result.is_ok()
}

/// This instance's share of a limit while it is cut off from the planner.
fn equal_share(state: &TrafficState, view: &View) -> EqualShare {
    let Some(group) = &view.slow_start_group else {
        let instances = view.instance_count;
        return EqualShare { rank: 0, instances };
    };
    let members = group.members();
    let before = members
        .keys()
        .take_while(|name| **name < state.settings.instance);
    EqualShare {
        rank: before.count(),
        instances: members.len(),
    }
}
