//! Copy of a service's map, and what is known beyond the store.

use {
    super::{MapPartition, PartitionedMap, RangeMap},
    crate::id::StoreVersion,
    std::sync::Arc,
};

/// Map of a service as the store holds it. After the store came back from an older copy, the
/// map known from before is kept until the store holds one that is as new.
///
/// ```
/// use citron_core::{id::StoreVersion, ranges::{KeyRange, MapPartition, MapReplica, RangeKey, RangeMap}};
/// let partition = |version, map: &RangeMap| MapPartition {
///     range: KeyRange::ALL,
///     version: StoreVersion(version),
///     slices: map.slices().to_vec(),
/// };
/// let copied = RangeMap::new();
/// let mut moved = RangeMap::new();
/// moved.assign(KeyRange::ALL, &"s-1".parse().unwrap(), None);
/// let mut replica = MapReplica::default();
/// replica.stored_mut().insert(partition(7, &moved));
/// replica.on_store_restored();
/// replica.stored_mut().insert(partition(8, &copied));
/// replica.forget_older();
/// assert_eq!(replica.newest().to_map(), Some(moved.clone()));
/// assert_eq!(replica.stored().to_map(), Some(copied));
/// replica.stored_mut().insert(partition(9, &moved));
/// replica.forget_older();
/// assert_eq!(replica.newest().max_version(), StoreVersion(9));
/// ```
#[derive(Debug, Clone, Default)]
pub struct MapReplica {
    stored: Arc<PartitionedMap>,
    /// Newer than `stored` for at least one key.
    remembered: Option<Arc<PartitionedMap>>,
}

impl MapReplica {
    /// The map in the store.
    pub fn stored(&self) -> &Arc<PartitionedMap> {
        &self.stored
    }

    /// The map in the store, for changes.
    pub fn stored_mut(&mut self) -> &mut PartitionedMap {
        Arc::make_mut(&mut self.stored)
    }

    /// The newest map known.
    pub fn newest(&self) -> &Arc<PartitionedMap> {
        self.remembered.as_ref().unwrap_or(&self.stored)
    }

    /// Remembers the newest map. Must run before rows of a restored copy are applied.
    pub fn on_store_restored(&mut self) {
        self.remembered = Some(Arc::clone(self.newest()));
    }

    /// Brings the remembered map up to date with the store, and drops it once the store has
    /// nothing older.
    pub fn forget_older(&mut self) {
        let Some(remembered) = &self.remembered else {
            return;
        };
        let Some(remembered) = remembered.to_map() else {
            self.remembered = None;
            return;
        };
        let Some(stored) = self.stored.to_map() else {
            return;
        };
        let newest = stored.newest_of(&remembered);
        self.remembered = (newest != stored).then(|| Arc::new(newest.into()));
    }
}

impl From<RangeMap> for PartitionedMap {
    fn from(map: RangeMap) -> Self {
        let mut partitioned = Self::default();
        partitioned.insert(MapPartition {
            range: super::KeyRange::ALL,
            version: StoreVersion(1),
            slices: map.slices().to_vec(),
        });
        partitioned
    }
}
