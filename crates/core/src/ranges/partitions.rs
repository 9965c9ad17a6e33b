//! Maps stored as several rows.

use {
    super::{KeyRange, RangeKey, RangeMap, Slice, key::subtract},
    crate::id::{Epoch, StoreVersion},
    std::{collections::BTreeMap, sync::Arc},
};

/// Distance of the epoch of missing keys from the highest known one. Each commit raises epochs
/// by one, and keys move a few thousand times at most more often than others.
const MISSING_EPOCHS: u64 = 1 << 20;

/// Slices of a key range, as read from one version of a stored row.
#[derive(Debug, PartialEq, Eq)]
pub struct MapPartition {
    /// The keys.
    pub range: KeyRange,
    /// Version of the row.
    pub version: StoreVersion,
    /// The slices, contiguous over `range`.
    pub slices: Vec<Slice>,
}

/// Map assembled from partitions. Where partitions overlap, the one with the highest row
/// version applies. Clones of the map share the partitions.
///
/// ```
/// use citron_core::id::StoreVersion;
/// use citron_core::ranges::{KeyRange, MapPartition, PartitionedMap, RangeKey, RangeMap};
/// let mut map = RangeMap::new();
/// map.assign("0-99".parse().unwrap(), &"s-1".parse().unwrap(), None);
/// let mut parted = PartitionedMap::default();
/// for (version, text) in [(7, "0-32767"), (8, "32768-65535")] {
///     let range: KeyRange = text.parse().unwrap();
///     let version = StoreVersion(version);
///     let slices = map.slices_in(range);
///     parted.insert(MapPartition { range, version, slices });
/// }
/// assert_eq!(parted.slice(RangeKey(99)), Some(map.slice(RangeKey(99))));
/// assert_eq!(parted.to_map(), Some(map));
/// ```
#[derive(Debug, Clone, Default)]
pub struct PartitionedMap {
    partitions: BTreeMap<KeyRange, Arc<MapPartition>>,
    /// Highest version of any row seen.
    max_version: StoreVersion,
    /// Ranges in which a single partition applies: from the first key to the last key and
    /// the partition.
    segments: BTreeMap<RangeKey, (RangeKey, Arc<MapPartition>)>,
}

impl PartitionedMap {
    /// Adds a partition. Returns whether it is newer than the known partition of the same
    /// range.
    pub fn insert(&mut self, partition: MapPartition) -> bool {
        if partition.version <= self.version(partition.range) {
            return false;
        }
        let partition = Arc::new(partition);
        let is_newest = partition.version >= self.max_version;
        self.max_version = self.max_version.max(partition.version);
        self.partitions
            .insert(partition.range, Arc::clone(&partition));
        if is_newest {
            overlay(&mut self.segments, &partition);
        } else {
            self.rebuild_segments();
        }
        true
    }

    /// Removes the partition of `range` if its row was deleted at a version above the
    /// known one.
    pub fn remove(&mut self, range: KeyRange, version: StoreVersion) {
        if self.partitions.contains_key(&range) && version > self.version(range) {
            self.partitions.remove(&range);
            self.rebuild_segments();
        }
    }

    /// The partition stored for exactly this range.
    pub fn partition(&self, range: KeyRange) -> Option<&MapPartition> {
        self.partitions.get(&range).map(|partition| &**partition)
    }

    /// Whether a stored partition has the same range and the same slices.
    pub fn matches(&self, partition: &MapPartition) -> bool {
        let known = self.partition(partition.range);
        known.is_some_and(|known| known.slices == partition.slices)
    }

    /// Version of the row for exactly this range; [`StoreVersion::NONE`] if there is none.
    pub fn version(&self, range: KeyRange) -> StoreVersion {
        self.partition(range)
            .map_or(StoreVersion::NONE, |partition| partition.version)
    }

    /// Highest version of any row seen.
    pub fn max_version(&self) -> StoreVersion {
        self.max_version
    }

    /// Ranges of all partitions.
    pub fn ranges(&self) -> impl Iterator<Item = KeyRange> {
        self.partitions.keys().copied()
    }

    /// Whether a proper part of `range` is stored as a partition of its own.
    fn is_split(&self, range: KeyRange) -> bool {
        let mut within = self.partitions.range(range..);
        let first = within.find(|(partition, _)| **partition != range);
        first.is_some_and(|(partition, _)| range.covers(*partition))
    }

    /// The slice that contains `key`, not extending beyond its partition; `None` if no
    /// partition contains the key.
    pub fn slice(&self, key: RangeKey) -> Option<&Slice> {
        let (_, (last, partition)) = self.segments.range(..=key).next_back()?;
        let slices = &partition.slices;
        let index = slices.partition_point(|slice| slice.range.last < key);
        slices.get(index).filter(|_| key <= *last)
    }

    /// Combines the partitions into one map; `None` if some keys are in no partition.
    pub fn to_map(&self) -> Option<RangeMap> {
        RangeMap::from_slices(self.known_slices()).ok()
    }

    /// Combines the partitions into one map, in which keys that are in no partition have no
    /// owner. Their epoch is above any that they can have had.
    ///
    /// ```
    /// use citron_core::id::StoreVersion;
    /// use citron_core::ranges::{MapPartition, PartitionedMap, RangeKey, RangeMap};
    /// let mut map = RangeMap::new();
    /// map.assign("0-65535".parse().unwrap(), &"s-1".parse().unwrap(), None);
    /// let range = "0-99".parse().unwrap();
    /// let slices = map.slices_in(range);
    /// let mut parted = PartitionedMap::default();
    /// parted.insert(MapPartition { range, version: StoreVersion(7), slices });
    /// assert_eq!(parted.to_map(), None);
    /// let filled = parted.to_filled_map();
    /// assert_eq!(filled.slice(RangeKey(99)).owner, map.slice(RangeKey(99)).owner);
    /// assert_eq!(filled.slice(RangeKey(100)).owner, None);
    /// assert!(filled.slice(RangeKey(100)).epoch > map.slice(RangeKey(100)).epoch);
    /// ```
    pub fn to_filled_map(&self) -> RangeMap {
        let known = self.known_slices();
        let highest = known.iter().map(|slice| slice.epoch).max();
        let epoch = Epoch(highest.unwrap_or_default().0 + MISSING_EPOCHS);
        let ranges = known.iter().map(|slice| slice.range);
        let missing = ranges.fold(vec![KeyRange::ALL], subtract);
        let mut slices = known;
        slices.extend(missing.into_iter().map(|range| Slice {
            range,
            owner: None,
            epoch,
            handover: None,
            expiry: None,
        }));
        slices.sort_by_key(|slice| slice.range);
        RangeMap::from_slices(slices).unwrap_or_else(|_| RangeMap::starting_at(epoch))
    }

    /// Slices of the keys that are in a partition, in key order.
    fn known_slices(&self) -> Vec<Slice> {
        let clip = |(first, (last, partition)): (&RangeKey, &(RangeKey, Arc<MapPartition>))| {
            let covered = KeyRange {
                first: *first,
                last: *last,
            };
            let slices = partition.slices.iter();
            slices
                .filter_map(|slice| slice.clipped_to(covered))
                .collect::<Vec<_>>()
        };
        self.segments.iter().flat_map(clip).collect()
    }

    /// Computes `segments` from all partitions, lowest version first.
    fn rebuild_segments(&mut self) {
        let mut partitions: Vec<&Arc<MapPartition>> = self.partitions.values().collect();
        partitions.sort_by_key(|partition| partition.version);
        self.segments.clear();
        for partition in partitions {
            overlay(&mut self.segments, partition);
        }
    }
}

/// Makes `partition` apply to all keys of its range.
fn overlay(
    segments: &mut BTreeMap<RangeKey, (RangeKey, Arc<MapPartition>)>,
    partition: &Arc<MapPartition>,
) {
    let range = partition.range;
    let overlapping = segments.range(..=range.last);
    let overlapping = overlapping.filter(|(_, (last, _))| *last >= range.first);
    let overlapping: Vec<RangeKey> = overlapping.map(|(first, _)| *first).collect();
    for first in overlapping {
        let Some((last, old)) = segments.remove(&first) else {
            continue;
        };
        let [below, above] = KeyRange { first, last }.difference(range);
        for rest in [below, above].into_iter().flatten() {
            segments.insert(rest.first, (rest.last, Arc::clone(&old)));
        }
    }
    segments.insert(range.first, (range.last, Arc::clone(partition)));
}

/// Divides the key space into ranges of at most `max_slices` slices each, by repeated
/// halving. Halves that `stored` already keeps apart are joined only once together they
/// hold at most a quarter of `max_slices`: each join or split writes the whole partition,
/// and every instance reads it.
///
/// ```
/// use citron_core::ranges::{KeyRange, PartitionedMap, RangeMap, partition_ranges};
/// let mut map = RangeMap::new();
/// map.assign("0-9".parse().unwrap(), &"s-1".parse().unwrap(), None);
/// let none = PartitionedMap::default();
/// assert_eq!(partition_ranges(&map, &none, 2), [KeyRange::ALL]);
/// let halves = partition_ranges(&map, &none, 1);
/// assert_eq!(halves.first(), Some(&"0-7".parse().unwrap()));
/// ```
pub fn partition_ranges(
    map: &RangeMap,
    stored: &PartitionedMap,
    max_slices: usize,
) -> Vec<KeyRange> {
    let mut partitions = Vec::new();
    let mut rest = vec![KeyRange::ALL];
    while let Some(range) = rest.pop() {
        let slices = map.overlapping(range).count();
        let stays_split = slices * MERGE_DIVISOR > max_slices && stored.is_split(range);
        match bisect(range) {
            Some([below, above]) if slices > max_slices || stays_split => {
                rest.extend([above, below])
            }
            _ => partitions.push(range),
        }
    }
    partitions
}

/// Stored halves are joined once together they hold at most `max_slices` divided by this.
const MERGE_DIVISOR: usize = 4;

/// Halves of a range; `None` if it has a single key.
fn bisect(range: KeyRange) -> Option<[KeyRange; 2]> {
    let half = (range.len() / 2) as u16;
    let middle = range.first.0.checked_add(half).filter(|_| half > 0)?;
    let below = KeyRange {
        first: range.first,
        last: RangeKey(middle - 1),
    };
    let above = KeyRange {
        first: RangeKey(middle),
        last: range.last,
    };
    Some([below, above])
}
