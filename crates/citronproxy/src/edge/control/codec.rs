//! Formats of the rows that citronproxy itself writes to the store.

use {
    super::controller::PlannerId,
    crate::events,
    citron_core::{
        id::{Epoch, Incarnation, ParseIdError, ServerName, ServiceName, StoreEra},
        ranges::{DemandShares, KeyRange, LearnedLoads, RangeKey, Slice, Speed, Witnesses},
        time::StoreTime,
    },
    serde::{Deserialize, Serialize, Serializer},
    std::{
        collections::{BTreeMap, HashMap},
        fmt,
        net::SocketAddr,
        str::FromStr,
        time::Duration,
    },
};

/// Row key of the planner's leadership.
pub const PLANNER_KEY: &str = "planner";
/// Row key of the list of former planners.
pub const FORMER_PLANNERS_KEY: &str = "formers";
/// Prefix of the row key of a term; the era of the store follows.
const TERM_KEY_PREFIX: &str = "term/";
/// Prefix of the row keys of maps. The service name follows; if the row holds only a part
/// of the keys, [`MAP_RANGE_SEPARATOR`] and the key range come after it.
const MAP_KEY_PREFIX: &str = "map.";
/// Prefix of the row keys of learned loads; the service name follows.
const LOADS_KEY_PREFIX: &str = "loads.";
/// Separates the service name, which cannot contain it, from the key range of a part.
const MAP_RANGE_SEPARATOR: char = '/';

/// Row key of the term that runs in an era of the store.
///
/// Each claim of the leadership writes the row of its era and removes those of earlier ones, and
/// each commit requires the row of the era in which it was sent. Versions alone do not tell
/// eras apart: a store that came back from a copy gives them out again, and a commit of before
/// could match them when the store executes it late.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TermKey(pub StoreEra);

impl fmt::Display for TermKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{TERM_KEY_PREFIX}{}", self.0)
    }
}

impl FromStr for TermKey {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let era = text.strip_prefix(TERM_KEY_PREFIX);
        let era = era.ok_or("not the key of a term row")?;
        era.parse().map(Self).map_err(error_text)
    }
}

/// Row key of a map, or of a part of a map.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MapKey {
    /// Service that the map belongs to.
    pub service: ServiceName,
    /// Keys that the row holds.
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
            .ok_or("not the key of a map row")?;
        let (service, range) = match name.split_once(MAP_RANGE_SEPARATOR) {
            Some((service, range)) => (service, range.parse().map_err(error_text)?),
            None => (name, KeyRange::ALL),
        };
        let service = service.parse().map_err(error_text)?;
        Ok(Self { service, range })
    }
}

/// Row key of the learned loads of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadsKey(pub ServiceName);

impl fmt::Display for LoadsKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{LOADS_KEY_PREFIX}{}", self.0)
    }
}

impl FromStr for LoadsKey {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let service = text.strip_prefix(LOADS_KEY_PREFIX);
        let service = service.ok_or("not the key of a row of learned loads")?;
        service.parse().map(Self).map_err(error_text)
    }
}

fn error_text(error: impl fmt::Display) -> String {
    error.to_string()
}

/// Row that names the current planner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeadershipWire {
    /// Name of the planner's instance.
    pub instance: String,
    /// Incarnation of that instance: a number drawn at each start of its process.
    pub start: u64,
    /// Era of the store in which the planner claimed the leadership.
    #[serde(default)]
    pub era: u32,
    /// Former planners that may still be acting: instance name and incarnation.
    #[serde(default)]
    pub before: Vec<(String, u64)>,
    /// Witnesses of the planner and of former ones. Without an entry, a planner acts for as long
    /// as any may.
    #[serde(default)]
    pub witnesses: Vec<WitnessesWire>,
}

impl LeadershipWire {
    /// Encodes the row in at most `max_bytes` as base64, if need be without witnesses; `None` on
    /// an error.
    pub fn encode(&self, max_bytes: usize) -> Option<Vec<u8>> {
        let value = serde_json::to_vec(self).ok()?;
        if value.len() <= max_bytes / 4 * 3 {
            return Some(value);
        }
        let without = Self {
            witnesses: Vec::new(),
            ..self.clone()
        };
        log::info!(
            "{} {PLANNER_KEY}: no space for witnesses, {} bytes",
            events::PLANNER,
            value.len()
        );
        serde_json::to_vec(&without).ok()
    }
}

/// Processes whose heartbeats confirm a planner while the store does not answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WitnessesWire {
    /// Name of the planner's instance.
    pub instance: String,
    /// Incarnation of that instance.
    pub start: u64,
    /// Milliseconds for which the planner acts after its last confirmation.
    pub limit: u64,
    /// Instance name and incarnation of each witness.
    pub processes: Vec<(String, u64)>,
}

impl From<(&PlannerId, &Witnesses)> for WitnessesWire {
    fn from((planner, witnesses): (&PlannerId, &Witnesses)) -> Self {
        let processes = witnesses.processes();
        Self {
            instance: planner.instance.to_string(),
            start: planner.incarnation,
            limit: witnesses.act_limit().as_millis() as u64,
            processes: processes
                .map(|(name, process)| (name.to_string(), process.0))
                .collect(),
        }
    }
}

impl TryFrom<&WitnessesWire> for (PlannerId, Witnesses) {
    type Error = ParseIdError;

    fn try_from(wire: &WitnessesWire) -> Result<Self, ParseIdError> {
        let planner = PlannerId {
            instance: wire.instance.parse()?,
            incarnation: wire.start,
        };
        let processes = wire.processes.iter();
        let processes = processes.map(|(name, process)| Ok((name.parse()?, Incarnation(*process))));
        let processes = processes.collect::<Result<Vec<_>, ParseIdError>>()?;
        let limit = Duration::from_millis(wire.limit);
        Ok((planner, Witnesses::new(processes, limit)))
    }
}

/// Former planners: instance name, incarnation, and the store time in milliseconds by
/// which each has certainly stopped.
#[derive(Debug, Serialize, Deserialize)]
pub struct FormerPlannersWire(pub Vec<(String, u64, u64)>);

/// Row by which an instance announces its address to the others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberWire {
    /// Address on which the instance talks to other instances, over TCP and UDP.
    pub address: SocketAddr,
    /// Failure domain of the instance.
    pub domain: String,
    /// Address on which the instance takes requests of callers from other instances.
    #[serde(default)]
    pub detour: Option<SocketAddr>,
}

/// Slices of a map. Each server name is listed once; slices refer to it by its index.
#[derive(Debug, Serialize, Deserialize)]
pub struct MapWire {
    servers: Vec<String>,
    slices: Vec<SliceWire>,
}

/// First key, index of the owner in `servers`, epoch, handover, and the store time in
/// milliseconds at which the lease expires. A slice ends before the first key of the next
/// one.
#[derive(Debug, Deserialize)]
struct SliceWire(
    u16,
    Option<usize>,
    u64,
    #[serde(default)] Option<String>,
    #[serde(default)] Option<u64>,
);

/// Omits absent trailing fields: the size of a row is limited, and most slices have
/// neither a handover nor an expiry.
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
    /// Converts to slices, which must cover exactly the keys of `range`.
    ///
    /// # Errors
    /// A description of the first invalid slice.
    pub fn into_slices(self, range: KeyRange) -> Result<Vec<Slice>, String> {
        if self.slices.first().map(|slice| slice.0) != Some(range.first.0) {
            return Err(format!(
                "the first slice does not begin at key {}",
                range.first
            ));
        }
        let mut slices = Vec::with_capacity(self.slices.len());
        let last_keys = self.slices.iter().skip(1).map(|next| next.0.checked_sub(1));
        let last_keys = last_keys.chain([Some(range.last.0)]);
        for (slice, last) in self.slices.iter().zip(last_keys) {
            let last = last.ok_or("a slice other than the first begins at key 0")?;
            let key_range = KeyRange::new(RangeKey(slice.0), RangeKey(last)).map_err(error_text)?;
            let owner = slice.1.map(|index| {
                let name = self
                    .servers
                    .get(index)
                    .ok_or("the index of an owner is out of range")?;
                name.parse::<ServerName>()
                    .map_err(|_| "the name of an owner is malformed")
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

/// Learned loads of a service: speeds of servers relative to the mean, in percent, and the last
/// keys of parts with equal demand.
#[derive(Debug, Serialize, Deserialize)]
pub struct LoadsWire {
    speeds: BTreeMap<String, u16>,
    #[serde(default)]
    demand: Vec<u16>,
}

impl From<&LearnedLoads> for LoadsWire {
    fn from(loads: &LearnedLoads) -> Self {
        let percent = |speed: &Speed| (speed.get() * 100.0).round() as u16;
        let speeds = loads.speeds.iter();
        let last_keys = loads.demand.last_keys().iter();
        Self {
            speeds: speeds
                .map(|(server, speed)| (server.to_string(), percent(speed)))
                .collect(),
            demand: last_keys.map(|key| key.0).collect(),
        }
    }
}

impl TryFrom<LoadsWire> for LearnedLoads {
    type Error = String;

    fn try_from(wire: LoadsWire) -> Result<Self, String> {
        let speed = |(server, percent): (String, u16)| {
            let server = server.parse().map_err(error_text)?;
            Ok((server, Speed::new(f64::from(percent) / 100.0)))
        };
        let speeds = wire.speeds.into_iter().map(speed);
        let last_keys = wire.demand.into_iter().map(RangeKey).collect();
        Ok(Self {
            speeds: speeds.collect::<Result<_, String>>()?,
            demand: DemandShares::new(last_keys).map_err(error_text)?,
        })
    }
}

impl LoadsWire {
    /// Encodes loads in at most `bytes_max` bytes, with fewer of the speeds if necessary. None
    /// if the demand alone is larger.
    pub fn encode(mut loads: LearnedLoads, bytes_max: usize) -> Option<Vec<u8>> {
        loop {
            let value = serde_json::to_vec(&Self::from(&loads)).ok()?;
            if value.len() <= bytes_max {
                return Some(value);
            }
            if loads.speeds.is_empty() {
                return None;
            }
            loads.truncate(loads.speeds.len() / 2);
        }
    }
}
