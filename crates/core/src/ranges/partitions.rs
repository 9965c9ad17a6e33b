//! Maps that are stored in parts.

use {
    super::{KeyRange, RangeKey, RangeMap, Slice},
    std::{collections::BTreeMap, sync::Arc},
};

/// The slices of some keys, as of a version of the row that holds them.
#[derive(Debug, PartialEq, Eq)]
pub struct MapPart {
    /// The keys.
    pub range: KeyRange,
    /// Version of the row.
    pub version: u64,
    /// The slices, without gaps.
    pub slices: Vec<Slice>,
}

/// A map that is read part by part: of two parts with keys in common, the one with the
/// higher version counts for them. Parts are shared with copies of the map.
///
/// ```
/// use citron_core::ranges::{KeyRange, MapPart, PartedMap, RangeKey, RangeMap};
/// let mut map = RangeMap::new();
/// map.assign("0-99".parse().unwrap(), &"s-1".parse().unwrap(), None);
/// let mut parted = PartedMap::default();
/// for (version, text) in [(7, "0-32767"), (8, "32768-65535")] {
///     let range: KeyRange = text.parse().unwrap();
///     let slices = map.within(range);
///     parted.put(MapPart { range, version, slices });
/// }
/// assert_eq!(parted.slice(RangeKey(99)), Some(map.slice(RangeKey(99))));
/// assert_eq!(parted.whole(), Some(map));
/// ```
#[derive(Debug, Clone, Default)]
pub struct PartedMap {
    parts: BTreeMap<KeyRange, Arc<MapPart>>,
    /// The highest version of all rows.
    newest: u64,
    /// By the first of its keys, each run of keys for which one part counts.
    runs: BTreeMap<RangeKey, (RangeKey, Arc<MapPart>)>,
}

impl PartedMap {
    /// Takes in a part; whether it is newer than the one known of these keys.
    pub fn put(&mut self, part: MapPart) -> bool {
        if part.version <= self.version(part.range) {
            return false;
        }
        let part = Arc::new(part);
        let is_newest = part.version >= self.newest;
        self.newest = self.newest.max(part.version);
        self.parts.insert(part.range, Arc::clone(&part));
        if is_newest {
            cover(&mut self.runs, &part);
        } else {
            self.rebuild();
        }
        true
    }

    /// Forgets a part whose row is gone as of a version.
    pub fn remove(&mut self, range: KeyRange, version: u64) {
        if self.parts.contains_key(&range) && version > self.version(range) {
            self.parts.remove(&range);
            self.rebuild();
        }
    }

    /// The part of exactly these keys.
    pub fn part(&self, range: KeyRange) -> Option<&MapPart> {
        self.parts.get(&range).map(|part| &**part)
    }

    /// Whether a part's keys are stored in a row of their own, with the same slices.
    pub fn holds(&self, part: &MapPart) -> bool {
        let known = self.part(part.range);
        known.is_some_and(|known| known.slices == part.slices)
    }

    /// Version of the row of exactly these keys; 0 if there is none.
    pub fn version(&self, range: KeyRange) -> u64 {
        self.part(range).map_or(0, |part| part.version)
    }

    /// The highest version of all rows.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// The keys of each part.
    pub fn ranges(&self) -> impl Iterator<Item = KeyRange> {
        self.parts.keys().copied()
    }

    /// Whether some keys of a range are stored in a part of their own.
    fn is_divided(&self, range: KeyRange) -> bool {
        let mut within = self.parts.range(range..);
        let first = within.find(|(part, _)| **part != range);
        first.is_some_and(|(part, _)| range.covers(*part))
    }

    /// The slice that holds a key, cut at the ends of its part; `None` if no part holds it.
    pub fn slice(&self, key: RangeKey) -> Option<&Slice> {
        let (_, (last, part)) = self.runs.range(..=key).next_back()?;
        let slices = &part.slices;
        let at = slices.partition_point(|slice| slice.range.last < key);
        slices.get(at).filter(|_| key <= *last)
    }

    /// All parts as one map; `None` if some keys are in no part.
    pub fn whole(&self) -> Option<RangeMap> {
        let cut = |(first, (last, part)): (&RangeKey, &(RangeKey, Arc<MapPart>))| {
            let run = KeyRange {
                first: *first,
                last: *last,
            };
            let slices = part.slices.iter();
            slices
                .filter_map(|slice| slice.cut_to(run))
                .collect::<Vec<_>>()
        };
        let slices = self.runs.iter().flat_map(cut).collect();
        RangeMap::from_slices(slices).ok()
    }

    fn rebuild(&mut self) {
        let mut parts: Vec<&Arc<MapPart>> = self.parts.values().collect();
        parts.sort_by_key(|part| part.version);
        self.runs.clear();
        for part in parts {
            cover(&mut self.runs, part);
        }
    }
}

/// Makes a part count for all of its keys.
fn cover(runs: &mut BTreeMap<RangeKey, (RangeKey, Arc<MapPart>)>, part: &Arc<MapPart>) {
    let range = part.range;
    let touched = runs.range(..=range.last);
    let touched = touched.filter(|(_, (last, _))| *last >= range.first);
    let touched: Vec<RangeKey> = touched.map(|(first, _)| *first).collect();
    for first in touched {
        let Some((last, old)) = runs.remove(&first) else {
            continue;
        };
        let [below, above] = KeyRange { first, last }.without(range);
        for left in [below, above].into_iter().flatten() {
            runs.insert(left.first, (left.last, Arc::clone(&old)));
        }
    }
    runs.insert(range.first, (range.last, Arc::clone(part)));
}

/// Divides the key space into parts of which none holds more than `most` slices, by halving
/// those that do. Halves that `stored` has stay apart until they hold a quarter of that
/// together: a part that is joined and divided again is written and read whole each time.
///
/// ```
/// use citron_core::ranges::{KeyRange, PartedMap, RangeMap, partition};
/// let mut map = RangeMap::new();
/// map.assign("0-9".parse().unwrap(), &"s-1".parse().unwrap(), None);
/// let none = PartedMap::default();
/// assert_eq!(partition(&map, &none, 2), [KeyRange::ALL]);
/// let halves = partition(&map, &none, 1);
/// assert_eq!(halves.first(), Some(&"0-7".parse().unwrap()));
/// ```
pub fn partition(map: &RangeMap, stored: &PartedMap, most: usize) -> Vec<KeyRange> {
    let mut parts = Vec::new();
    let mut left = vec![KeyRange::ALL];
    while let Some(range) = left.pop() {
        let slices = map.touching(range).count();
        let keeps = slices * JOINED > most && stored.is_divided(range);
        match halves(range) {
            Some([below, above]) if slices > most || keeps => left.extend([above, below]),
            _ => parts.push(range),
        }
    }
    parts
}

/// Parts are joined when they hold less than this fraction of what one may hold.
const JOINED: usize = 4;

fn halves(range: KeyRange) -> Option<[KeyRange; 2]> {
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
