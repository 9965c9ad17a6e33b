//! Writing of maps to the store.

use {
    crate::{
        edge::control::{
            codec::{MapKey, MapWire},
            controller::{Controller, Leadership},
            refresh, watch,
        },
        events,
    },
    citron_core::{
        id::{ServiceName, StoreVersion},
        ranges::{
            KeyRange, MapPartition, OrderOutcome, PartitionedMap, RangeMap, partition_ranges,
        },
    },
    citron_ports::{Adapter, RowCommit, RowStore, RowTable, StoreError},
    std::{sync::Arc, time::Duration},
    tokio::time::{sleep, timeout},
};

/// Result of a commit, and the version of the newest row after it.
pub type CommitOutcome = (OrderOutcome, StoreVersion);

/// How long a commit may remain unanswered before it is read back and sent again under the
/// same condition. Above the response time of a store that is sixty times slower than usual.
/// The keys of a move have no owner meanwhile. A commit that takes longer is executed at most
/// once all the same, and is found by reading.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(300);
/// Delay after the store has rejected a map as invalid; the next map may be smaller.
const INVALID_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Bytes of a row that are reserved for each slice. A slice with the name of its owner
/// and a handover takes a quarter of this, and parts grow between two commits.
const ROW_BYTES_PER_SLICE: usize = 256;
/// Largest number of slices in a part. Every instance reads the parts changed by a commit
/// as a whole, so that large parts would cost much traffic.
const SLICES_PER_PART_MAX: usize = 64;
/// Largest number of entries that the store accepts in a transaction.
const TRANSACTION_ENTRIES_MAX: usize = 100;
/// Number of rows that name the leadership in the condition of a commit.
const LEADERSHIP_ROWS: usize = 2;
/// Largest number of parts in a transaction; each part needs a condition and a write.
const TRANSACTION_PARTS_MAX: usize = 40;

/// How often the planner checks whether rows that it has read contain a commit that was not
/// answered. The store answers a long poll within milliseconds of the commit.
const READ_BACK_INTERVAL: Duration = Duration::from_millis(50);

/// Writes the changed parts of a map, on condition that the leadership row and the rows
/// of the parts are unchanged since this planner read them. A transaction whose response
/// is lost is read back and, unless it was executed, sent again under the same condition,
/// which holds only once.
pub async fn commit_map<A: Adapter>(
    controller: &Controller<A>,
    service: &ServiceName,
    map: &RangeMap,
    leadership: &Leadership,
) -> CommitOutcome {
    let stored = stored_map(controller, service);
    let slices_max =
        (controller.settings.row_bytes_max / ROW_BYTES_PER_SLICE).clamp(1, SLICES_PER_PART_MAX);
    let mut newest = stored.max_version();
    for changes in MapChanges::between(&stored, map, slices_max).into_transactions() {
        let commit = changes.to_row_commit(service, leadership, &stored);
        match write_transaction(controller, service, &changes, &commit, leadership.version).await {
            (OrderOutcome::Done { .. }, version) => newest = version,
            end => return end,
        }
    }
    (OrderOutcome::Done { handover: None }, newest)
}

fn stored_map<A: Adapter>(
    controller: &Controller<A>,
    service: &ServiceName,
) -> Arc<PartitionedMap> {
    let state = controller.state.borrow();
    let map = state.maps.get(service);
    map.map(|map| Arc::clone(map.stored())).unwrap_or_default()
}

/// Difference between a map and the stored one.
struct MapChanges {
    parts: Vec<MapPartition>,
    removes: Vec<KeyRange>,
}

impl MapChanges {
    fn between(stored: &PartitionedMap, map: &RangeMap, slices_max: usize) -> Self {
        let ranges = partition_ranges(map, stored, slices_max);
        let removes = stored.ranges().filter(|range| !ranges.contains(range));
        let removes = removes.collect();
        let part = |range: KeyRange| MapPartition {
            range,
            version: StoreVersion::NONE,
            slices: map.slices_in(range),
        };
        let parts = ranges.into_iter().map(part);
        let parts = parts.filter(|part| !stored.matches(part)).collect();
        Self { parts, removes }
    }

    /// Splits the changes into transactions of a size that the store accepts. Rows
    /// replaced by others are removed last.
    fn into_transactions(self) -> Vec<Self> {
        let mut transactions = Vec::new();
        let mut parts = self.parts.into_iter().peekable();
        let mut removes = self.removes.into_iter().peekable();
        while parts.peek().is_some() || removes.peek().is_some() {
            let parts: Vec<MapPartition> = parts.by_ref().take(TRANSACTION_PARTS_MAX).collect();
            let removes_max = if parts.len() == TRANSACTION_PARTS_MAX {
                0
            } else {
                // Each part and each removed row needs a condition beside its entry.
                (TRANSACTION_ENTRIES_MAX - LEADERSHIP_ROWS) / 2 - parts.len()
            };
            let removes = removes.by_ref().take(removes_max).collect();
            transactions.push(Self { parts, removes });
        }
        transactions
    }

    fn to_row_commit(
        &self,
        service: &ServiceName,
        leadership: &Leadership,
        stored: &PartitionedMap,
    ) -> RowCommit {
        let key = |range: KeyRange| {
            let service = service.clone();
            MapKey { service, range }.to_string()
        };
        let mut commit = RowCommit {
            expected: leadership.preconditions(),
            ..RowCommit::default()
        };
        for part in &self.parts {
            let (key, version) = (key(part.range), stored.version(part.range));
            let value = serde_json::to_vec(&MapWire::from(&part.slices[..]));
            // Lists of numbers and strings always serialise.
            let value = value.unwrap_or_default();
            commit
                .expected
                .push((RowTable::Ranges, key.clone(), version));
            commit.writes.push((RowTable::Ranges, key, value));
        }
        for range in &self.removes {
            let (key, version) = (key(*range), stored.version(*range));
            // Executed late, the removal must not apply to a row that was written since.
            commit
                .expected
                .push((RowTable::Ranges, key.clone(), version));
            commit.removes.push((RowTable::Ranges, key));
        }
        commit
    }
}

async fn write_transaction<A: Adapter>(
    controller: &Controller<A>,
    service: &ServiceName,
    changes: &MapChanges,
    commit: &RowCommit,
    leadership_version: StoreVersion,
) -> CommitOutcome {
    while controller.is_planning_under(leadership_version) {
        let call_started = controller.clock.now();
        let response = tokio::select! {
            response = send_commit(controller, commit) => response,
            () = has_been_read(controller, service, changes) => {
                log::info!(
                    "{} commit: executed, but not answered",
                    events::STORE_CALL_FAILED
                );
                Err(StoreError::Conflict)
            }
        };
        match response {
            // The store came back from a copy before it executed the commit.
            Ok(version) if version.era() != leadership_version.era() => {
                controller.on_store_success(call_started, None);
                return (OrderOutcome::Unknown, StoreVersion::NONE);
            }
            Ok(version) => {
                controller.on_store_success(call_started, None);
                controller.confirm_ranges(version.era(), call_started);
                let MapChanges { parts, removes } = changes;
                controller.apply_committed_parts(service, parts, removes, version);
                return (OrderOutcome::Done { handover: None }, version);
            }
            Err(StoreError::Conflict) => {
                if let Some(committed) = resolve_conflict(controller, service, changes).await {
                    return committed;
                }
            }
            Err(error @ StoreError::OutcomeUnknown(_)) => {
                controller.on_store_write_failure("commit", &error);
                if let Some(committed) = read_back(controller, service, changes).await {
                    return committed;
                }
            }
            Err(StoreError::Invalid(reason)) => {
                let sizes = commit.writes.iter().map(|(_, _, value)| value.len());
                let largest = sizes.max().unwrap_or_default();
                let event = events::ROW_REJECTED;
                log::error!("{event} map of {service}, largest row {largest} bytes: {reason}");
                sleep(INVALID_RETRY_DELAY).await;
                return (OrderOutcome::Unknown, StoreVersion::NONE);
            }
            Err(error) => controller.on_store_write_failure("commit", &error),
        }
        watch::wait_for_store(controller).await;
    }
    (OrderOutcome::Unknown, StoreVersion::NONE)
}

async fn send_commit<A: Adapter>(
    controller: &Controller<A>,
    commit: &RowCommit,
) -> Result<StoreVersion, StoreError> {
    let result = timeout(COMMIT_TIMEOUT, controller.adapter.store().commit(commit)).await;
    result.unwrap_or_else(|_| {
        Err(StoreError::OutcomeUnknown(format!(
            "no response within {COMMIT_TIMEOUT:?}"
        )))
    })
}

/// Resolves a conflict, which may be due to an earlier attempt of the same write whose
/// response was lost. Returns `None` if the store could not be read.
async fn resolve_conflict<A: Adapter>(
    controller: &Controller<A>,
    service: &ServiceName,
    changes: &MapChanges,
) -> Option<CommitOutcome> {
    if !refresh::read_maps(controller).await {
        return None;
    }
    let outdated = (OrderOutcome::Outdated, StoreVersion::NONE);
    Some(stored_commit(controller, service, changes).unwrap_or(outdated))
}

/// Reads the maps after a commit without a response. Returns `None` if the commit has not been
/// executed yet, or if the store could not be read; it may then be sent again, as it is
/// executed at most once.
async fn read_back<A: Adapter>(
    controller: &Controller<A>,
    service: &ServiceName,
    changes: &MapChanges,
) -> Option<CommitOutcome> {
    let is_read = refresh::read_maps(controller).await;
    is_read
        .then(|| stored_commit(controller, service, changes))
        .flatten()
}

/// Outcome of a commit that the store, as known here, has executed; `None` if it has not.
fn stored_commit<A: Adapter>(
    controller: &Controller<A>,
    service: &ServiceName,
    changes: &MapChanges,
) -> Option<CommitOutcome> {
    let stored = stored_map(controller, service);
    let is_stored = changes.parts.iter().all(|part| stored.matches(part));
    let is_removed = |range: &KeyRange| stored.partition(*range).is_none();
    let is_executed = is_stored && changes.removes.iter().all(is_removed);
    is_executed.then(|| (OrderOutcome::Done { handover: None }, stored.max_version()))
}

/// Waits until rows that were read contain all changes of a commit, and the response to the commit
/// has had time to arrive.
async fn has_been_read<A: Adapter>(
    controller: &Controller<A>,
    service: &ServiceName,
    changes: &MapChanges,
) {
    let is_stored = || stored_commit(controller, service, changes).is_some();
    loop {
        sleep(READ_BACK_INTERVAL).await;
        if is_stored() {
            sleep(READ_BACK_INTERVAL).await;
            return;
        }
    }
}
