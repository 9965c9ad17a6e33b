//! Exchange of servers' statements with other instances.

use {
    super::controller::Controller,
    crate::{
        edge::statements::{log_limit, parse_limit, record_limit},
        events,
    },
    citron_core::{
        dispatch::{LimitReport, LimitStatement},
        id::{InstanceId, ServerName},
    },
    citron_ports::Adapter,
    citron_wire::heartbeat::StatementsWire,
    http::HeaderMap,
    std::{collections::BTreeSet, rc::Rc},
};

/// Applies statements of servers to this instance that they leave, until the process exits.
pub async fn apply_leaving<A: Adapter>(controller: Rc<Controller<A>>) {
    loop {
        let stated = controller.shared.next_leaving().await;
        let servers: BTreeSet<ServerName> = stated.into_iter().map(|(server, _)| server).collect();
        for server in servers {
            log::info!("{} {server} in a response", events::LEAVING_STATED);
        }
    }
}

/// Encodes the statements that this instance reports to others; `None` if there are none.
pub fn encode<A: Adapter>(controller: &Controller<A>) -> Option<Vec<u8>> {
    let limits = controller.shared.limits().reports(controller.clock.now());
    if limits.is_empty() {
        return None;
    }
    let wire = StatementsWire {
        instance: controller.settings.instance.to_string(),
        limits: limits.into_iter().map(Into::into).collect(),
    };
    wire.encode_truncated()
}

/// Applies the statements that another instance reports.
pub fn apply<A: Adapter>(controller: &Controller<A>, wire: StatementsWire) {
    let Ok(peer) = wire.instance.parse::<InstanceId>() else {
        return;
    };
    if peer == controller.settings.instance {
        return;
    }
    let limits: Result<Vec<LimitReport>, _> =
        wire.limits.into_iter().map(TryInto::try_into).collect();
    let limits = match limits {
        Ok(limits) => limits,
        Err(error) => {
            log::warn!(
                "{} statements from {peer}: {error}",
                events::MESSAGE_REFUSED
            );
            return;
        }
    };
    let now = controller.clock.now();
    let changed = controller
        .shared
        .limits()
        .apply_report(peer, limits, now, rand::random);
    for (server, statement) in changed {
        log_limit(&server, statement);
    }
}

/// Records the statements in a server's response to an order. Only responses to requests
/// withdraw a statement by not repeating it.
pub fn record_order_response<A: Adapter>(
    controller: &Controller<A>,
    server: &ServerName,
    headers: &HeaderMap,
) {
    match parse_limit(controller.adapter.headers(), headers) {
        Ok(Some(rate)) => {
            let statement = LimitStatement::Limited(rate);
            record_limit(
                &controller.shared,
                server,
                statement,
                controller.clock.now(),
            );
        }
        Ok(None) => {}
        Err(error) => log::debug!("rate limit of {server}: {error}"),
    }
}
