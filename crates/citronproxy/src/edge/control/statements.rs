//! Exchange of servers' statements with other instances.

use {
    super::controller::Controller,
    crate::{
        edge::statements::{
            is_leaving, log_limit, parse_limit, parse_rest, record_limit, record_rest,
        },
        events,
    },
    bytes::Bytes,
    citron_core::{
        dispatch::{LimitReport, LimitStatement},
        id::{InstanceId, ParseIdError, ServerName},
        time::Time,
    },
    citron_ports::Adapter,
    citron_wire::heartbeat::{LeavingWire, StatementsWire},
    http::Response,
    std::{rc::Rc, time::Duration},
};

/// Time for which the statement of a server that it leaves is reported to others: some
/// heartbeats of every schedule. By then the others know, or hear it from the server.
const LEAVING_REPORT_TIME: Duration = Duration::from_secs(5);

/// Applies the statements of servers to this instance that they leave, until the process
/// exits.
pub async fn apply_leaving<A: Adapter>(controller: Rc<Controller<A>>) {
    loop {
        let stated = controller.shared.next_leaving().await;
        if mark_leaving(&controller, stated, "in a response") {
            controller.heartbeat_trigger.notify_one();
        }
    }
}

/// Marks servers as leaving since the given times. Returns whether any was listed before.
fn mark_leaving<A: Adapter>(
    controller: &Controller<A>,
    servers: Vec<(ServerName, Time)>,
    source: &str,
) -> bool {
    let mut state = controller.state.borrow_mut();
    let mut is_changed = false;
    for (server, since) in servers {
        if state.registry.mark_leaving(&server, since) {
            log::info!("{} {server} {source}", events::LEAVING_STATED);
            is_changed = true;
        }
    }
    drop(state);
    if is_changed {
        controller.publish_view();
        controller.plan_trigger.notify_one();
    }
    is_changed
}

/// Encodes the statements that this instance reports to others; `None` if there are none.
pub fn encode<A: Adapter>(controller: &Controller<A>) -> Option<Vec<u8>> {
    let now = controller.clock.now();
    let limits = controller.shared.limits().reports(now);
    let state = controller.state.borrow();
    let stated = state.registry.stated_leaving().iter();
    let stated = stated.map(|(server, since)| (server, now - *since));
    let mut leaving: Vec<LeavingWire> = stated
        .filter(|(_, age)| *age < LEAVING_REPORT_TIME)
        .map(|(server, age)| LeavingWire::new(server, age))
        .collect();
    leaving.sort_by_key(LeavingWire::age);
    if limits.is_empty() && leaving.is_empty() {
        return None;
    }
    let wire = StatementsWire {
        instance: controller.settings.instance.to_string(),
        leaving,
        limits: limits.into_iter().map(Into::into).collect(),
    };
    wire.encode_truncated()
}

/// Applies the statements that another instance reports, sent at `sent`.
pub fn apply<A: Adapter>(controller: &Controller<A>, wire: StatementsWire, sent: Time) {
    let Ok(peer) = wire.instance.parse::<InstanceId>() else {
        return;
    };
    if peer == controller.settings.instance {
        return;
    }
    match decode(wire, sent) {
        Ok((limits, leaving)) => {
            let changed = controller.shared.limits().apply_report(limits, sent);
            for (server, statement) in changed {
                log_limit(&server, statement);
            }
            mark_leaving(controller, leaving, &format!("as {peer} reports"));
        }
        Err(error) => log::warn!(
            "{} statements from {peer}: {error}",
            events::MESSAGE_REFUSED
        ),
    }
}

/// Rate limits, and servers that leave with the times at which they said so.
type Statements = (Vec<LimitReport>, Vec<(ServerName, Time)>);

fn decode(wire: StatementsWire, sent: Time) -> Result<Statements, ParseIdError> {
    let limits = wire.limits.into_iter().map(TryInto::try_into);
    let leaving = wire.leaving.into_iter();
    let leaving = leaving.map(|leaving| Ok((leaving.server()?, sent - leaving.age())));
    Ok((
        limits.collect::<Result<_, ParseIdError>>()?,
        leaving.collect::<Result<_, ParseIdError>>()?,
    ))
}

/// Records the statements in a server's response to an order or a health check. Only
/// responses to requests withdraw a statement by not repeating it.
pub fn record_order_response<A: Adapter>(
    controller: &Controller<A>,
    server: &ServerName,
    response: &Response<Bytes>,
) {
    let now = controller.clock.now();
    let headers = response.headers();
    match parse_rest(response.status(), headers) {
        Ok(Some(rest)) => record_rest(&controller.shared, server, rest, now),
        Ok(None) => {}
        Err(error) => log::debug!("Retry-After of {server}: {error}"),
    }
    if is_leaving(controller.adapter.headers(), headers) {
        mark_leaving(controller, vec![(server.clone(), now)], "in a response");
    }
    match parse_limit(controller.adapter.headers(), headers) {
        Ok(Some(rate)) => {
            let statement = LimitStatement::Limited(rate);
            record_limit(&controller.shared, server, statement, now);
        }
        Ok(None) => {}
        Err(error) => log::debug!("rate limit of {server}: {error}"),
    }
}
