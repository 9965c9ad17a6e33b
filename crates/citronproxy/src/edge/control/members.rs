//! How an instance that starts learns of the others, and they of it.

use {
    super::{
        codec::MemberWire,
        controller::Node,
        watch::{CALL_TIME, jitter},
    },
    crate::events,
    citron_core::freshness::{FreshnessTimes, Role},
    citron_ports::{Adapter, IdleTimeout, Row, RowCommit, RowStore, RowTable, StoreError},
    rand::Rng,
    std::{ops::Range, rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// Delay of a call that was throttled, in seconds: some hundred instances start at the same
/// moment then, and the store takes the writes of a second or so at a time.
const THROTTLED_DELAY: Range<f64> = 0.5..4.5;

/// Enters this instance into the table of members and learns of the others. Read after it
/// was written, so that of two which start at once at least one learns of the other; an
/// instance whose write is turned away makes itself known to those that it finds meanwhile.
pub async fn enlist<A: Adapter>(node: Rc<Node<A>>) {
    let own = MemberWire {
        address: node.settings.peer,
        domain: node.settings.domain.to_string(),
    };
    let Ok(value) = serde_json::to_vec(&own) else {
        return;
    };
    let commit = RowCommit {
        writes: vec![(RowTable::Members, node.settings.instance.to_string(), value)],
        ..RowCommit::default()
    };
    let written = write(&node, &commit).await;
    let known = read_all(&node).await;
    node.enlisted.set(Some(node.clock.now()));
    node.hurry.notify_one();
    let Err(error) = written else { return };
    let mut retry = Retry::default();
    retry.after(&node, &error).await;
    while let Err(error) = write(&node, &commit).await {
        retry.after(&node, &error).await;
    }
    read_since(&node, known).await;
    node.hurry.notify_one();
}

async fn write<A: Adapter>(node: &Node<A>, commit: &RowCommit) -> Result<(), StoreError> {
    let begun = node.clock.now();
    node.adapter.store().commit(commit).await?;
    node.store_answered(begun, None);
    Ok(())
}

/// Reads all members; the version as of which they are known.
async fn read_all<A: Adapter>(node: &Node<A>) -> u64 {
    let mut retry = Retry::default();
    loop {
        let begun = node.clock.now();
        let mut idle = IdleTimeout::new(CALL_TIME, CALL_TIME);
        let read = node.adapter.store().rows(RowTable::Members, &mut idle);
        match read.await {
            Ok(set) => {
                node.store_answered(begun, set.now);
                add(node, &set.rows);
                return set.version;
            }
            Err(error) => retry.after(node, &error).await,
        }
    }
}

/// Reads the members that were entered after a version.
async fn read_since<A: Adapter>(node: &Node<A>, version: u64) {
    let mut retry = Retry::default();
    loop {
        let begun = node.clock.now();
        let mut idle = IdleTimeout::new(CALL_TIME, CALL_TIME);
        let store = node.adapter.store();
        let read = store.changes(RowTable::Members, version, Duration::ZERO, &mut idle);
        match read.await {
            Ok(set) => {
                node.store_answered(begun, set.now);
                return add(node, &set.rows);
            }
            Err(StoreError::Forgotten) => {
                read_all(node).await;
                return;
            }
            Err(error) => retry.after(node, &error).await,
        }
    }
}

fn add<A: Adapter>(node: &Node<A>, rows: &[Row]) {
    let now = node.clock.now();
    for row in rows {
        let value = row.value.as_deref().unwrap_or_default();
        let (Ok(name), Ok(member)) = (row.key.parse(), serde_json::from_slice::<MemberWire>(value))
        else {
            log::error!("{} member {}", events::MAP_REFUSED, row.key);
            continue;
        };
        if name != node.settings.instance {
            let domain = member.domain.parse().ok();
            let mut state = node.state.borrow_mut();
            state.peers.add(name, member.address, domain, now);
        }
    }
}

/// Delays between the tries of a call. Instances that start together retry together, and the
/// store takes so many writes a second.
#[derive(Debug, Default)]
struct Retry {
    failures: u32,
}

impl Retry {
    async fn after<A: Adapter>(&mut self, node: &Node<A>, error: &StoreError) {
        node.store_failed("members", error);
        let delay = match error {
            StoreError::Throttled => {
                let part = rand::rng().random_range(THROTTLED_DELAY);
                Duration::from_secs_f64(part)
            }
            _ => {
                let delay = FreshnessTimes::STANDARD.backoff(Role::Follower, self.failures);
                delay.mul_f64(jitter())
            }
        };
        self.failures += 1;
        sleep(delay).await;
    }
}
