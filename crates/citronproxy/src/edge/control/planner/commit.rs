//! Writing maps.

use {
    crate::{
        edge::control::{
            codec::{MapKey, MapWire, PLANNER},
            node::Node,
            refresh, watch,
        },
        events,
    },
    citron_core::{
        id::ServiceName,
        ranges::{
            KeyRange, MapPartition, OrderOutcome, PartitionedMap, RangeMap, partition_ranges,
        },
    },
    citron_ports::{Adapter, RowCommit, RowStore, RowTable, StoreError},
    std::{sync::Arc, time::Duration},
    tokio::time::{sleep, timeout},
};

/// What became of a commit, and the version of the newest row then.
pub type Committed = (OrderOutcome, u64);

/// How long a commit may be unanswered before it is sent again under the same
/// condition; above what a store takes that is sixty times slower than usual.
const UNANSWERED: Duration = Duration::from_millis(800);
/// Pause after the store has not accepted a map: the next one may be smaller.
const INVALID_PAUSE: Duration = Duration::from_secs(1);
/// Bytes of a row for each slice that it may hold: a slice with its owner's name and a
/// handover is a quarter of that, and parts grow between two commits.
const SLICE_BYTES: usize = 256;
/// Slices of a part at most: every instance reads the parts that a commit changes, whole.
const SLICES_MAX: usize = 64;
/// Entries of a transaction that the store takes.
const ENTRIES_MAX: usize = 100;
/// Parts in one transaction: each is a condition and a write.
const PARTS_MAX: usize = 40;

/// Writes the parts of a map that have changed, if the leadership and the rows are still as
/// this planner knows them. A transaction whose answer is lost is sent again: its condition
/// holds only once, and what it wrote can be read back.
pub async fn commit<A: Adapter>(
    node: &Node<A>,
    service: &ServiceName,
    map: &RangeMap,
    leadership: u64,
) -> Committed {
    let stored = node.state.borrow().maps.get(service).cloned();
    let stored = stored.unwrap_or_default();
    let most = (node.settings.row_bytes / SLICE_BYTES).clamp(1, SLICES_MAX);
    let mut newest = stored.max_version();
    for changes in Changes::between(&stored, map, most).transactions() {
        let commit = changes.commit(service, leadership, &stored);
        match write(node, service, &changes.parts, &commit, leadership).await {
            (OrderOutcome::Done { .. }, version) => newest = version,
            end => return end,
        }
    }
    (OrderOutcome::Done { handover: None }, newest)
}

/// What a map has that differs from the stored one.
struct Changes {
    parts: Vec<MapPartition>,
    removes: Vec<KeyRange>,
}

impl Changes {
    fn between(stored: &PartitionedMap, map: &RangeMap, most: usize) -> Self {
        let ranges = partition_ranges(map, stored, most);
        let removes = stored.ranges().filter(|range| !ranges.contains(range));
        let removes = removes.collect();
        let part = |range: KeyRange| MapPartition {
            range,
            version: 0,
            slices: map.slices_in(range),
        };
        let parts = ranges.into_iter().map(part);
        let parts = parts.filter(|part| !stored.matches(part)).collect();
        Self { parts, removes }
    }

    /// As many as the store takes at a time. Rows that others replace are removed last.
    fn transactions(self) -> Vec<Self> {
        let mut all = Vec::new();
        let mut parts = self.parts.into_iter().peekable();
        let mut removes = self.removes.into_iter().peekable();
        while parts.peek().is_some() || removes.peek().is_some() {
            let parts: Vec<MapPartition> = parts.by_ref().take(PARTS_MAX).collect();
            let room = if parts.len() == PARTS_MAX {
                0
            } else {
                ENTRIES_MAX - 1 - 2 * parts.len()
            };
            let removes = removes.by_ref().take(room).collect();
            all.push(Self { parts, removes });
        }
        all
    }

    fn commit(&self, service: &ServiceName, leadership: u64, stored: &PartitionedMap) -> RowCommit {
        let key = |range: KeyRange| {
            let service = service.clone();
            MapKey { service, range }.to_string()
        };
        let mut commit = RowCommit {
            expected: vec![(RowTable::Ranges, PLANNER.to_string(), leadership)],
            ..RowCommit::default()
        };
        for part in &self.parts {
            let (key, version) = (key(part.range), stored.version(part.range));
            let value = serde_json::to_vec(&MapWire::from(&part.slices[..]));
            // Numbers and texts in lists always serialise.
            let value = value.unwrap_or_default();
            commit
                .expected
                .push((RowTable::Ranges, key.clone(), version));
            commit.writes.push((RowTable::Ranges, key, value));
        }
        let removes = self.removes.iter();
        let removes = removes.map(|range| (RowTable::Ranges, key(*range)));
        commit.removes = removes.collect();
        commit
    }
}

async fn write<A: Adapter>(
    node: &Node<A>,
    service: &ServiceName,
    parts: &[MapPartition],
    commit: &RowCommit,
    leadership: u64,
) -> Committed {
    while node.is_leader(leadership) {
        let begun = node.clock.now();
        match send(node, commit).await {
            Ok(version) => {
                node.store_answered(begun, None);
                node.confirmed(begun);
                node.committed(service, parts, version);
                return (OrderOutcome::Done { handover: None }, version);
            }
            Err(StoreError::Conflict) => {
                if let Some(committed) = settle(node, service, parts).await {
                    return committed;
                }
            }
            Err(StoreError::Invalid(reason)) => {
                let sizes = commit.writes.iter().map(|(_, _, value)| value.len());
                let largest = sizes.max().unwrap_or_default();
                let event = events::ROW_REJECTED;
                log::error!("{event} map of {service}, {largest} bytes a row: {reason}");
                sleep(INVALID_PAUSE).await;
                return (OrderOutcome::Unknown, 0);
            }
            Err(error) => node.store_failed("commit", &error),
        }
        watch::pause(node).await;
    }
    (OrderOutcome::Unknown, 0)
}

async fn send<A: Adapter>(node: &Node<A>, commit: &RowCommit) -> Result<u64, StoreError> {
    let sent = timeout(UNANSWERED, node.adapter.store().commit(commit)).await;
    sent.unwrap_or_else(|_| Err(StoreError::Unknown(format!("none within {UNANSWERED:?}"))))
}

/// After a conflict: an earlier try of the same write may have been done
/// without an answer. Nothing if the store does not tell.
async fn settle<A: Adapter>(
    node: &Node<A>,
    service: &ServiceName,
    parts: &[MapPartition],
) -> Option<Committed> {
    if !refresh::read_maps(node).await {
        return None;
    }
    let state = node.state.borrow();
    let stored = state.maps.get(service).map(Arc::clone).unwrap_or_default();
    if parts.iter().all(|part| stored.matches(part)) {
        return Some((OrderOutcome::Done { handover: None }, stored.max_version()));
    }
    Some((OrderOutcome::Outdated, 0))
}
