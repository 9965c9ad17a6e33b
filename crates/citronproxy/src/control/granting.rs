//! Grants and leases of backend servers that check them.

use {
    super::{ControlMetrics, Node, ServerTasks},
    citron_core::{
        id::ServerName,
        ownership::{GrantOrder, Granter},
        table::{Fencing, ServerRow, ServerState},
    },
    citron_ports::{GrantClient, TableStore},
    std::{rc::Rc, time::Duration},
    tokio::time::{sleep, timeout},
};

/// Pause between two orders: a third of a lease, so that one lost order does not end it.
const RENEW_INTERVAL: Duration = Duration::from_millis(333);
/// Pause after a failed order, and before a server that has restarted is given grants.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Runs one task for each server that checks grants, so that a server that does not
/// answer delays no other. Runs until its task is aborted.
pub async fn grant_servers<S, B>(node: Node<S>, servers: Rc<B>)
where
    S: TableStore + 'static,
    B: GrantClient + 'static,
{
    let mut tasks = ServerTasks::default();
    let mut revisions = node.revisions();
    loop {
        let names = granted_servers(&node);
        tasks.reconcile(names, |name| {
            renew_grants(node.clone(), Rc::clone(&servers), name)
        });
        let _ = revisions.changed().await;
    }
}

fn granted_servers<S: TableStore + 'static>(node: &Node<S>) -> Vec<ServerName> {
    node.with_table(|table| {
        let granted = table.servers().filter(|row| checks_grants(row));
        granted.map(|row| row.name.clone()).collect()
    })
}

fn checks_grants(row: &ServerRow) -> bool {
    row.fencing == Fencing::Checked && row.state != ServerState::Retired
}

async fn renew_grants<S, B>(node: Node<S>, servers: Rc<B>, name: ServerName)
where
    S: TableStore + 'static,
    B: GrantClient + 'static,
{
    let mut granter: Granter = Granter::new(Node::<S>::lease_durations());
    let mut revisions = node.revisions();
    while let Some(row) = node.server_row(&name) {
        revisions.mark_unchanged();
        let order = next_order(&node, &granter, &row);
        let answer = servers.send_order(&row, order.boot, &order.grants, order.lease);
        let answer = answer.await;
        ControlMetrics::count_result(&node.metrics().orders, answer.is_ok());
        if let Ok(reply) = &answer {
            granter.record_reply(&order, reply, node.now());
        }
        let (is_failed, is_known) = (answer.is_err(), order.boot.is_some());
        // A first order names every scope of the service. If each server's task kept its
        // order during the pause, the orders would be most of the control thread's
        // memory.
        drop((order, answer));
        if is_failed {
            sleep(RETRY_DELAY).await;
        } else if !is_known {
            // A server that has restarted gets grants only under a platform read that
            // started after its new boot was seen.
            node.request_refresh();
            sleep(RETRY_DELAY).await;
        } else {
            let _ = timeout(RENEW_INTERVAL, revisions.changed()).await;
        }
    }
}

fn next_order<S: TableStore + 'static>(
    node: &Node<S>,
    granter: &Granter,
    row: &ServerRow,
) -> GrantOrder {
    node.with_replica(|replica| {
        let routing_lease = replica.routing_lease();
        let is_same_domain = row.domain == replica.domain;
        let grace = replica
            .table()
            .service(&row.service)
            .map_or(Duration::ZERO, |s| s.grace);
        let lease_end = routing_lease.end(is_same_domain, grace);
        granter.next_order(replica.table(), row, &routing_lease, lease_end)
    })
}
