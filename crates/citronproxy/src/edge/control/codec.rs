//! The product's own rows and messages between instances.

use {
    citron_core::{
        id::{Epoch, ServerName, ServiceName},
        ranges::{KeyRange, RangeKey, Slice},
        time::StoreTime,
    },
    serde::{Deserialize, Serialize, Serializer},
    std::{collections::HashMap, fmt, net::SocketAddr, str::FromStr},
};

/// Row key of the planner's leadership.
pub const PLANNER_KEY: &str = "planner";
/// Row key of the planners that were replaced.
pub const FORMER_PLANNERS_KEY: &str = "formers";
/// Begin of the row keys of maps; the service's name follows, and for a part of its keys
/// [`MAP_RANGE_SEPARATOR`] and these.
const MAP_KEY_PREFIX: &str = "map.";
/// Between a service's name, which cannot hold it, and the keys of a part.
const MAP_RANGE_SEPARATOR: char = '/';

/// Where a part of a map is stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MapKey {
    /// The service.
    pub service: ServiceName,
    /// Its keys that the row holds.
    pub range: KeyRange,
}

impl fmt::Display for MapKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{MAP_KEY_PREFIX}{}", self.service)?;
        if self.range == KeyRange::ALL {
            return Ok(());
        }
        write!(f, "{MAP_RANGE_SEPARATOR}{}", self.range)
    }
}

impl FromStr for MapKey {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let name = text
            .strip_prefix(MAP_KEY_PREFIX)
            .ok_or("not the row of a map")?;
        let (service, range) = match name.split_once(MAP_RANGE_SEPARATOR) {
            Some((service, range)) => (service, range.parse().map_err(error_text)?),
            None => (name, KeyRange::ALL),
        };
        let service = service.parse().map_err(error_text)?;
        Ok(Self { service, range })
    }
}

fn error_text(error: impl fmt::Display) -> String {
    error.to_string()
}

/// Who plans.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeadershipWire {
    /// Name of the instance.
    pub instance: String,
    /// Its start.
    pub start: u64,
    /// Planners before it that may not have stopped yet: name and start.
    #[serde(default)]
    pub before: Vec<(String, u64)>,
}

/// Planners that were replaced, and the store's milliseconds by which each has
/// surely stopped: name, start, time.
#[derive(Debug, Serialize, Deserialize)]
pub struct FormerPlannersWire(pub Vec<(String, u64, u64)>);

/// Where an instance reaches others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberWire {
    /// Its address for other instances.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: String,
}

/// Slices of a map. Servers are listed once and named by their place.
#[derive(Debug, Serialize, Deserialize)]
pub struct MapWire {
    servers: Vec<String>,
    slices: Vec<SliceWire>,
}

/// First key, place of the owner, epoch, handover, and the store's milliseconds at
/// which the lease has run out. A slice ends where the next one begins.
#[derive(Debug, Deserialize)]
struct SliceWire(
    u16,
    Option<usize>,
    u64,
    #[serde(default)] Option<String>,
    #[serde(default)] Option<u64>,
);

/// Without what is missing at the end: a row holds little, and most slices carry
/// neither a handover nor an end.
impl Serialize for SliceWire {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let Self(first, owner, epoch, handover, expiry) = self;
        match (handover, expiry) {
            (None, None) => (first, owner, epoch).serialize(serializer),
            (handover, None) => (first, owner, epoch, handover).serialize(serializer),
            (handover, expiry) => (first, owner, epoch, handover, expiry).serialize(serializer),
        }
    }
}

impl From<&[Slice]> for MapWire {
    fn from(slices: &[Slice]) -> Self {
        let mut servers = Vec::new();
        let mut indices: HashMap<&ServerName, usize> = HashMap::new();
        let mut index_of = |owner| {
            *indices.entry(owner).or_insert_with(|| {
                servers.push(owner.to_string());
                servers.len() - 1
            })
        };
        let slices = slices.iter().map(|slice| {
            let owner = slice.owner.as_ref().map(&mut index_of);
            SliceWire(
                slice.range.first.0,
                owner,
                slice.epoch.0,
                slice.handover.clone(),
                slice.expiry.map(|expiry| expiry.0),
            )
        });
        let slices = slices.collect();
        Self { servers, slices }
    }
}

impl MapWire {
    /// The slices, which must hold just the keys of a range.
    ///
    /// # Errors
    /// What is wrong with them.
    pub fn into_slices(self, range: KeyRange) -> Result<Vec<Slice>, String> {
        if self.slices.first().map(|slice| slice.0) != Some(range.first.0) {
            return Err(format!("no slice begins at key {}", range.first));
        }
        let mut slices = Vec::with_capacity(self.slices.len());
        let last_keys = self.slices.iter().skip(1).map(|next| next.0.checked_sub(1));
        let last_keys = last_keys.chain([Some(range.last.0)]);
        for (slice, last) in self.slices.iter().zip(last_keys) {
            let last = last.ok_or("a slice begins at key 0 after another")?;
            let key_range = KeyRange::new(RangeKey(slice.0), RangeKey(last)).map_err(error_text)?;
            let owner = slice.1.map(|index| {
                let name = self.servers.get(index).ok_or("an owner is not listed")?;
                name.parse::<ServerName>()
                    .map_err(|_| "an owner's name is malformed")
            });
            slices.push(Slice {
                range: key_range,
                owner: owner.transpose()?,
                epoch: Epoch(slice.2),
                handover: slice.3.clone(),
                expiry: slice.4.map(StoreTime),
            });
        }
        Ok(slices)
    }
}
