//! Table rows, keys and loads of the simulated cluster: 20 backend servers, 256 shards and
//! 10,000 keys, the present size of a deployment.

use {
    super::scenario::{DOMAINS, Scenario, TARGET},
    citron_core::{
        id::{
            Incarnation, KeyHash, Revision, ServerName, ServiceName, ShardBits, ShardId, Slots,
            Weight,
        },
        ownership::Scope,
        table::{
            Changes, Commit, Confirmer, DomainRow, DomainState, Fencing, InstanceRow,
            InstanceState, KeySource, MoveBudget, Objectives, Row, ServerRow, ServerState,
            ServiceRow, Table, initial_blocks,
        },
    },
    std::{net::SocketAddr, rc::Rc, time::Duration},
};

/// Backend servers of the service at the start of a run.
pub const SERVER_COUNT: usize = 20;
/// Shards of the service; `2^SHARD_BITS`.
pub const SHARD_COUNT: usize = 256;
/// Distinct keys of the service.
pub const KEY_COUNT: usize = 10_000;
/// Request deadline of the service: an upper bound for the run time of the last request that an
/// unreachable instance has sent.
pub const DEADLINE: Duration = Duration::from_secs(2);
/// Base-two logarithm of the shard count.
const SHARD_BITS: u8 = 8;
/// Exponent of the Zipf distribution of load over keys. At 0.99 the hottest key alone exceeds
/// one server's share, which would hide the effect of the strategies on the imbalance.
const ZIPF_EXPONENT: f64 = 0.8;
/// Load of all keys together.
const TOTAL_LOAD: f64 = 60_000_000.0;
/// Rank of the key whose load rises in the hot-key scenario.
const HOT_KEY_RANK: usize = 5_000;
/// Load of that key after the rise: two fifths of the mean load of a server.
const HOT_KEY_LOAD: u64 = 1_200_000;

/// Name of the only service.
pub fn service_name() -> ServiceName {
    "balances".parse().unwrap()
}

/// Name of the backend server with this number.
pub fn server_name(number: usize) -> ServerName {
    format!("server-{number:02}").parse().unwrap()
}

/// Number at the end of a server or instance name.
pub fn parse_number(name: &str) -> usize {
    name.rsplit('-').next().unwrap().parse().unwrap()
}

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

/// Row of an active backend server with an unchecked epoch, in domain `number % DOMAINS`.
pub fn server_row(number: usize) -> ServerRow {
    ServerRow {
        name: server_name(number),
        service: service_name(),
        domain: format!("domain-{}", number % DOMAINS).parse().unwrap(),
        address: address(),
        weight: Weight(100),
        rate_cap: None,
        slots: Slots(4),
        max_connections: 64,
        fencing: Fencing::Unchecked,
        state: ServerState::Active,
    }
}

fn instance_row(number: usize) -> InstanceRow {
    InstanceRow {
        id: format!("instance-{number}").parse().unwrap(),
        incarnation: Incarnation(number as u64 + 1),
        domain: format!("domain-{}", number % DOMAINS).parse().unwrap(),
        traffic_address: address(),
        peer_address: address(),
        admin_address: address(),
        state: InstanceState::Live,
        revision: Revision(0),
    }
}

fn domain_row(number: usize, instances: usize) -> DomainRow {
    let local = (0..instances).filter(|instance| instance % DOMAINS == number);
    let confirmers = local.map(instance_row).map(|row| Confirmer {
        instance: row.id,
        incarnation: row.incarnation,
    });
    DomainRow {
        name: format!("domain-{number}").parse().unwrap(),
        state: DomainState::Live,
        confirmers: confirmers.collect(),
    }
}

fn service_row(grace: Duration) -> ServiceRow {
    ServiceRow {
        name: service_name(),
        operator: "authority".parse().unwrap(),
        hosts: Vec::new(),
        prefix: "/".to_string(),
        key_source: KeySource::Segment(0),
        idempotent_methods: Vec::new(),
        shard_bits: ShardBits::new(SHARD_BITS).unwrap(),
        deadline: DEADLINE,
        grace,
        move_budget: MoveBudget {
            shards_per_minute: 12,
            threshold_percent: 120,
        },
        objectives: Objectives {
            failures_per_million: 100,
            latency: Duration::from_millis(250),
            slow_per_million: 10_000,
        },
    }
}

/// Table at the start of a run: the service, its servers and shards, all instances, and the
/// domains with their instances as confirmers.
pub fn initial_table(instances: usize, grace: Duration) -> Rc<Table> {
    let service = service_row(grace);
    let servers: Vec<ServerRow> = (0..SERVER_COUNT).map(server_row).collect();
    let server_refs: Vec<&ServerRow> = servers.iter().collect();
    let blocks = initial_blocks(&service, &server_refs, "1".parse().unwrap());
    let mut rows: Vec<Row> = blocks.into_iter().map(Row::Block).collect();
    rows.push(Row::Service(service));
    rows.extend(servers.into_iter().map(Row::Server));
    rows.extend((0..instances).map(|n| Row::Instance(instance_row(n))));
    rows.extend((0..DOMAINS).map(|n| Row::Domain(domain_row(n, instances))));
    let mut table = Rc::new(Table::default());
    write_rows(
        &mut table,
        rows.into_iter().map(|row| (row.key(), Some(row))),
    );
    table
}

/// Writes or deletes rows unconditionally, as one new revision.
pub fn write_rows(
    table: &mut Rc<Table>,
    rows: impl Iterator<Item = (citron_core::table::RowKey, Option<Row>)>,
) {
    let since = table.revision();
    let revision = Revision(since.0 + 1);
    let changes = Changes {
        since,
        revision,
        rows: rows.map(|(key, row)| (key, revision, row)).collect(),
    };
    Rc::make_mut(table).apply(changes).unwrap();
}

/// Applies a conditional commit as the platform does: all rows are written, or none if the
/// version of any row differs from the expected one.
pub fn commit(table: &mut Rc<Table>, commit: Commit) {
    let version_of = |key| table.get(key).map_or(Revision(0), |row| row.version);
    if commit.writes.iter().all(|w| version_of(&w.key) == w.expect) {
        write_rows(table, commit.writes.into_iter().map(|w| (w.key, w.row)));
    }
}

/// Row that the operator writes when the scenario's fault starts, if it has such an edit:
/// draining the target server, or adding a new one.
pub fn operator_edit(scenario: Scenario) -> Option<Row> {
    match scenario {
        Scenario::ServerLeaving | Scenario::InstanceCutOff => Some(Row::Server(ServerRow {
            state: ServerState::Draining,
            ..server_row(TARGET)
        })),
        Scenario::ColdServer => Some(Row::Server(server_row(SERVER_COUNT))),
        _ => None,
    }
}

/// Load of each shard, with the key of the hot-key scenario accounted separately.
pub struct KeyLoads {
    /// Number of keys of each shard.
    pub keys_per_shard: Vec<usize>,
    /// Hash of the key whose load rises in the hot-key scenario.
    pub hot_key: KeyHash,
    /// Present load of that key.
    pub hot_key_load: u64,
    /// Load of each shard, without that key.
    shard_loads: Vec<u64>,
}

impl KeyLoads {
    /// Distributes `TOTAL_LOAD` over the keys by rank.
    pub fn new() -> Self {
        let weights = (1..=KEY_COUNT).map(|rank| (rank as f64).powf(-ZIPF_EXPONENT));
        let sum: f64 = weights.clone().sum();
        let mut keys = Self {
            keys_per_shard: vec![0; SHARD_COUNT],
            hot_key: Self::key_hash(HOT_KEY_RANK),
            hot_key_load: 0,
            shard_loads: vec![0; SHARD_COUNT],
        };
        for (rank, weight) in weights.enumerate() {
            let load = (weight / sum * TOTAL_LOAD) as u64;
            let shard = Self::shard_of(Self::key_hash(rank));
            keys.keys_per_shard[shard] += 1;
            match rank {
                HOT_KEY_RANK => keys.hot_key_load = load,
                _ => keys.shard_loads[shard] += load,
            }
        }
        keys
    }

    fn key_hash(rank: usize) -> KeyHash {
        KeyHash::from_key(format!("set-{rank}").as_bytes())
    }

    /// Index of the shard of a key.
    pub fn shard_of(key: KeyHash) -> usize {
        ShardBits::new(SHARD_BITS).unwrap().shard_of(key).0 as usize
    }

    /// Raises the load of the hot key to `HOT_KEY_LOAD`.
    pub fn raise_hot_key(&mut self) {
        self.hot_key_load = HOT_KEY_LOAD;
    }

    /// Load of every shard, in order; if the hot key is extracted from its shard, its own load
    /// follows as the last entry.
    pub fn scope_loads(&self, is_extracted: bool) -> Vec<(Scope, u64)> {
        let shards = self.shard_loads.iter().copied().enumerate();
        let shards = shards.map(|(shard, load)| (Scope::Shard(ShardId(shard as u32)), load));
        let mut scopes: Vec<(Scope, u64)> = shards.collect();
        match is_extracted {
            true => scopes.push((Scope::Key(self.hot_key), self.hot_key_load)),
            false => scopes[Self::shard_of(self.hot_key)].1 += self.hot_key_load,
        }
        scopes
    }
}
