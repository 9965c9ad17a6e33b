//! Keeps this instance listed in the table, and expels instances that do not answer.

use {
    super::{ControlError, Node},
    crate::events,
    citron_core::{
        membership::{JoinError, Member, Membership},
        table::InstanceRow,
        time::Time,
    },
    citron_ports::TableStore,
    std::{collections::BTreeMap, time::Duration},
    tokio::time::sleep,
};

/// Pause between two checks of this instance's own row.
const JOIN_CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Pause between two rounds of status calls to neighbours.
const WATCH_INTERVAL: Duration = Duration::from_secs(2);
/// Number of answering instances that each instance watches, the next ones in the order
/// of their ids. Every instance is watched by as many, at a cost that does not grow with
/// the number of instances.
const WATCHED_NEIGHBOURS: usize = 3;
/// Time without an answer after which an instance is expelled.
const EXPEL_AFTER: Duration = Duration::from_secs(10);
/// Additional wait before expelling per position between the watcher and the instance, so
/// that several watchers do not act at once.
const RANK_DELAY: Duration = Duration::from_secs(5);

/// Lists this incarnation in the table if that is possible now.
///
/// # Errors
/// [`ControlError::Taken`] if another incarnation has the id and answers.
pub async fn join<S: TableStore + 'static>(node: &Node<S>) -> Result<(), ControlError> {
    let now = node.now();
    let row = node.config().instance_row();
    let planned = node.with_replica(|replica| match replica.is_listed() {
        true => Ok(None),
        false => replica.membership.join(replica.table(), row, now).map(Some),
    });
    match planned {
        Ok(None) | Err(JoinError::LeaseNotExpired { .. }) => Ok(()),
        Ok(Some(commit)) => {
            let answer = node.commit(commit).await;
            log::info!("{} {answer:?}", events::JOINED);
            Ok(())
        }
        Err(JoinError::IdInUse { instance, found }) => {
            let former = Member {
                instance,
                incarnation: found,
            };
            expel_former(node, &former).await
        }
    }
}

/// Handles a row with this instance's id but another incarnation. It is an error if the
/// other incarnation answers; otherwise the other one is expelled.
///
/// This incarnation is listed only after the former one's lease has ended, and routes by
/// relayed leases until then, because the former process may be paused and resume
/// routing.
async fn expel_former<S: TableStore + 'static>(
    node: &Node<S>,
    former: &Member,
) -> Result<(), ControlError> {
    let Some(row) = node.with_table(|table| table.instance(&former.instance).cloned()) else {
        return Ok(());
    };
    let answer = node.peer_client().status(row.peer_address).await;
    let is_alive = answer.is_ok_and(|status| {
        status.instance == former.instance && status.incarnation == former.incarnation
    });
    if is_alive {
        return Err(ControlError::Taken {
            instance: former.instance.clone(),
            address: row.peer_address,
            incarnation: former.incarnation,
        });
    }
    expel(node, former).await;
    Ok(())
}

async fn expel<S: TableStore + 'static>(node: &Node<S>, member: &Member) {
    let Some(commit) = node.with_table(|table| <Membership>::expel(table, member)) else {
        return;
    };
    log::warn!("{} {}", events::EXPELLED, member.instance);
    node.commit(commit).await;
}

/// Keeps this incarnation listed. Returns only if another instance has the same id.
pub async fn keep_joined<S: TableStore + 'static>(node: Node<S>) -> ControlError {
    loop {
        if let Err(error) = join(&node).await {
            return error;
        }
        sleep(JOIN_CHECK_INTERVAL).await;
    }
}

/// Removes this incarnation from the table. It must have stopped routing.
pub async fn leave_table<S: TableStore + 'static>(node: &Node<S>) {
    let me = &node.config().member;
    if let Some(commit) = node.with_table(|table| <Membership>::remove(table, me)) {
        node.commit(commit).await;
    }
}

/// Expels neighbours that do not answer, and removes rows of expelled instances after
/// their wait. Runs until its task is aborted.
///
/// While an instance that is down is listed, every move of a server in its failure domain
/// waits for the whole grace period.
pub async fn watch_neighbours<S: TableStore + 'static>(node: Node<S>) {
    let mut silent_since: BTreeMap<Member, Time> = BTreeMap::new();
    loop {
        sleep(WATCH_INTERVAL).await;
        if !node.with_replica(|replica| replica.is_listed()) {
            silent_since.clear();
            continue;
        }
        let (still_silent, lost) = probe_neighbours(&node, &silent_since).await;
        silent_since = still_silent;
        for member in lost {
            expel(&node, &member).await;
        }
        let now = node.now();
        let commits =
            node.with_replica(|replica| replica.membership.remove_expelled(replica.table(), now));
        for commit in commits {
            node.commit(commit).await;
        }
    }
}

/// Calls the neighbours. Returns those that do not answer, each with the time since when,
/// and those that this instance is to expel.
async fn probe_neighbours<S: TableStore + 'static>(
    node: &Node<S>,
    silent_since: &BTreeMap<Member, Time>,
) -> (BTreeMap<Member, Time>, Vec<Member>) {
    let mut still_silent = BTreeMap::new();
    let mut lost = Vec::new();
    let mut answering_count = 0;
    for (member, row, rank) in successors(node) {
        let answer = node.peer_client().status(row.peer_address).await;
        if answer.is_ok_and(|status| status.incarnation == member.incarnation) {
            answering_count += 1;
            if answering_count == WATCHED_NEIGHBOURS {
                break;
            }
            continue;
        }
        let now = node.now();
        let since = silent_since.get(&member).copied().unwrap_or(now);
        if now - since >= EXPEL_AFTER + RANK_DELAY * rank {
            lost.push(member.clone());
        }
        still_silent.insert(member, since);
    }
    (still_silent, lost)
}

/// The other instances in the order of their ids, starting after this one, each with its
/// distance from this one, limited to [`WATCHED_NEIGHBOURS`].
fn successors<S: TableStore + 'static>(node: &Node<S>) -> Vec<(Member, InstanceRow, u32)> {
    let me = &node.config().member.instance;
    let mut rows = node.other_instances();
    let split = rows.partition_point(|row| row.id < *me);
    rows.rotate_left(split);
    let ranked = rows.into_iter().zip(0..);
    ranked
        .map(|(row, rank)| {
            (
                Member::from_row(&row),
                row,
                rank.min(WATCHED_NEIGHBOURS as u32),
            )
        })
        .collect()
}
