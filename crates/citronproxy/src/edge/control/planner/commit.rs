//! Writing maps.

use {
    crate::edge::control::{
        codec::{MAP, MapWire, PLANNER},
        node::Node,
        refresh,
    },
    citron_core::{
        id::ServiceName,
        ranges::{OrderEnd, RangeMap},
    },
    citron_ports::{Adapter, RowCommit, RowStore, RowTable, StoreError},
};

/// What became of a commit, and the version of the row then.
pub type Committed = (OrderEnd, u64);

/// Writes a map if the leadership and the map's row are still as this planner knows
/// them.
pub async fn commit<A: Adapter>(
    node: &Node<A>,
    service: &ServiceName,
    map: &RangeMap,
    leadership: u64,
    version: u64,
) -> Committed {
    if !*node.store.borrow() {
        return (OrderEnd::Unknown, 0);
    }
    let key = format!("{MAP}{service}");
    let Ok(value) = serde_json::to_vec(&MapWire::from(map)) else {
        return (OrderEnd::Unknown, 0);
    };
    let commit = RowCommit {
        expected: vec![
            (RowTable::Ranges, PLANNER.to_string(), leadership),
            (RowTable::Ranges, key.clone(), version),
        ],
        writes: vec![(RowTable::Ranges, key, value)],
        removes: Vec::new(),
    };
    let begun = node.clock.now();
    match node.adapter.store().commit(&commit).await {
        Ok(version) => {
            node.store_answered(begun, None);
            node.confirmed(begun);
            node.committed(service, map, version);
            (OrderEnd::Done { handover: None }, version)
        }
        Err(StoreError::Conflict) => settle(node, service, map).await,
        Err(error) => {
            // Whether or not it was done, the next try has the same condition.
            node.store_failed("commit", &error);
            (OrderEnd::Unknown, 0)
        }
    }
}

/// After a conflict: an earlier try of the same write may have been done
/// without an answer.
async fn settle<A: Adapter>(node: &Node<A>, service: &ServiceName, map: &RangeMap) -> Committed {
    if !refresh::read_maps(node).await {
        return (OrderEnd::Unknown, 0);
    }
    let state = node.state.borrow();
    match state.maps.get(service) {
        Some((stored, version)) if **stored == *map => {
            (OrderEnd::Done { handover: None }, *version)
        }
        _ => (OrderEnd::Outdated, 0),
    }
}
