//! Grants and leases of backend servers that check them.

use {
    super::{ControlMetrics, Node, Tasks},
    citron_core::{
        id::ServerName,
        ownership::{GrantOrder, Granter},
        table::{Fencing, ServerRow, ServerState},
    },
    citron_ports::{Grants, TableStore},
    std::{rc::Rc, time::Duration},
    tokio::time::{sleep, timeout},
};

/// The pause between two orders; a third of a lease, so that one may be lost.
const RENEW_PAUSE: Duration = Duration::from_millis(333);
/// The pause after a failed order, or until a new start may be given grants.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Runs one task for each server that checks grants, so that one that does not
/// answer delays no other; ends only with its task.
pub async fn grant<S, B>(node: Node<S>, servers: Rc<B>)
where
    S: TableStore + 'static,
    B: Grants + 'static,
{
    let mut tasks = Tasks::default();
    let mut revisions = node.revisions();
    loop {
        let names = fenced(&node);
        tasks.keep(names, |name| {
            keep_granted(node.clone(), Rc::clone(&servers), name)
        });
        let _ = revisions.changed().await;
    }
}

fn fenced<S: TableStore + 'static>(node: &Node<S>) -> Vec<ServerName> {
    node.table(|table| {
        let granted = table.servers().filter(|row| is_granted(row));
        granted.map(|row| row.name.clone()).collect()
    })
}

fn is_granted(row: &ServerRow) -> bool {
    row.fencing == Fencing::Checked && row.state != ServerState::Retired
}

async fn keep_granted<S, B>(node: Node<S>, servers: Rc<B>, name: ServerName)
where
    S: TableStore + 'static,
    B: Grants + 'static,
{
    let mut granter: Granter = Granter::new(Node::<S>::spans());
    let mut revisions = node.revisions();
    while let Some(row) = node.server(&name) {
        revisions.mark_unchanged();
        let order = next_order(&node, &granter, &row);
        let answer = servers.order(&row, order.boot, &order.grants, order.lease);
        let answer = answer.await;
        ControlMetrics::count(&node.metrics().orders, answer.is_ok());
        if let Ok(reply) = &answer {
            granter.record_reply(&order, reply, node.now());
        }
        let (failed, known) = (answer.is_err(), order.boot.is_some());
        // A first order names every scope of the service; kept for the pause by
        // each server's task, it would be most of what control holds.
        drop((order, answer));
        if failed {
            sleep(RETRY_PAUSE).await;
        } else if !known {
            // A new start gets grants only under a read begun after it was seen.
            node.wake();
            sleep(RETRY_PAUSE).await;
        } else {
            let _ = timeout(RENEW_PAUSE, revisions.changed()).await;
        }
    }
}

fn next_order<S: TableStore + 'static>(
    node: &Node<S>,
    granter: &Granter,
    row: &ServerRow,
) -> GrantOrder {
    node.look(|replica| {
        let confirmation = replica.confirmation();
        let own = row.domain == replica.domain;
        let grace = replica
            .table()
            .service(&row.service)
            .map_or(Duration::ZERO, |s| s.grace);
        let leave = confirmation.end(own, grace);
        granter.next_order(replica.table(), row, &confirmation, leave)
    })
}
