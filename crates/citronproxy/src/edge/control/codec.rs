//! The product's own rows and messages between instances.

use {
    citron_core::{
        id::{Epoch, ServerName},
        ranges::{KeyRange, RangeKey, RangeMap, Slice},
        time::StoreTime,
    },
    serde::{Deserialize, Serialize, Serializer},
    std::net::SocketAddr,
};

/// Row key of the planner's leadership.
pub const PLANNER: &str = "planner";
/// Row key of the planners that were replaced.
pub const FORMERS: &str = "formers";
/// Begin of the row keys of maps; the service's name follows.
pub const MAP: &str = "map.";

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
pub struct FormersWire(pub Vec<(String, u64, u64)>);

/// Where an instance reaches others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberWire {
    /// Its address for other instances.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: String,
}

/// A map of keys. Servers are listed once and named by their place.
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

impl From<&RangeMap> for MapWire {
    fn from(map: &RangeMap) -> Self {
        let mut servers: Vec<&ServerName> = Vec::new();
        let mut place = |owner| {
            let found = servers.iter().position(|name| *name == owner);
            found.unwrap_or_else(|| {
                servers.push(owner);
                servers.len() - 1
            })
        };
        let slices = map.slices().iter().map(|slice| {
            let owner = slice.owner.as_ref().map(&mut place);
            SliceWire(
                slice.range.first.0,
                owner,
                slice.epoch.0,
                slice.handover.clone(),
                slice.expiry.map(|expiry| expiry.0),
            )
        });
        let slices = slices.collect();
        let servers = servers.iter().map(ToString::to_string).collect();
        Self { servers, slices }
    }
}

impl TryFrom<MapWire> for RangeMap {
    type Error = String;

    fn try_from(wire: MapWire) -> Result<Self, String> {
        let mut slices = Vec::with_capacity(wire.slices.len());
        let ends = wire.slices.iter().skip(1).map(|next| next.0.checked_sub(1));
        let ends = ends.chain([Some(u16::MAX)]);
        for (slice, last) in wire.slices.iter().zip(ends) {
            let last = last.ok_or("a slice begins at key 0 after another")?;
            let range = KeyRange::new(RangeKey(slice.0), RangeKey(last));
            let owner = slice.1.map(|place| {
                let name = wire.servers.get(place).ok_or("an owner is not listed")?;
                name.parse::<ServerName>()
                    .map_err(|_| "an owner's name is malformed")
            });
            slices.push(Slice {
                range: range.map_err(|error| error.to_string())?,
                owner: owner.transpose()?,
                epoch: Epoch(slice.2),
                handover: slice.3.clone(),
                expiry: slice.4.map(StoreTime),
            });
        }
        Self::from_slices(slices).map_err(|error| error.to_string())
    }
}
