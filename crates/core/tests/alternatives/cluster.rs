//! Rows, keys and load of a cluster of today's size.

use {
    super::scenario::{DOMAINS, Scenario, VICTIM},
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

pub const SERVERS: usize = 20;
pub const SHARDS: usize = 256;
pub const KEYS: usize = 10_000;
/// The service's deadline: what a silent instance's last request may take.
pub const DEADLINE: Duration = Duration::from_secs(2);
const BITS: u8 = 8;
/// Exponent of the keys' zipf load. At 0.99 the hottest key alone is more than
/// a server's share, which would hide what the ways do to the imbalance.
const ZIPF: f64 = 0.8;
const TOTAL: f64 = 60_000_000.0;
/// Rank of the key that turns hot, and its load then: two fifths of a server's.
const HOT_RANK: usize = 5_000;
const HOT_LOAD: u64 = 1_200_000;

pub fn service() -> ServiceName {
    "balances".parse().unwrap()
}

pub fn server_name(number: usize) -> ServerName {
    format!("server-{number:02}").parse().unwrap()
}

/// The number that a name was made of.
pub fn number(name: &str) -> usize {
    name.rsplit('-').next().unwrap().parse().unwrap()
}

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

pub fn server_row(number: usize) -> ServerRow {
    ServerRow {
        name: server_name(number),
        service: service(),
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
    let own = (0..instances).filter(|instance| instance % DOMAINS == number);
    let confirmers = own.map(instance_row).map(|row| Confirmer {
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
        name: service(),
        operator: "authority".parse().unwrap(),
        hosts: Vec::new(),
        prefix: "/".to_string(),
        key_source: KeySource::Segment(0),
        idempotent_methods: Vec::new(),
        shard_bits: ShardBits::new(BITS).unwrap(),
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

/// The table at the begin of a run.
pub fn table(instances: usize, grace: Duration) -> Rc<Table> {
    let service = service_row(grace);
    let servers: Vec<ServerRow> = (0..SERVERS).map(server_row).collect();
    let dealt: Vec<&ServerRow> = servers.iter().collect();
    let blocks = initial_blocks(&service, &dealt, "1".parse().unwrap());
    let mut rows: Vec<Row> = blocks.into_iter().map(Row::Block).collect();
    rows.push(Row::Service(service));
    rows.extend(servers.into_iter().map(Row::Server));
    rows.extend((0..instances).map(|n| Row::Instance(instance_row(n))));
    rows.extend((0..DOMAINS).map(|n| Row::Domain(domain_row(n, instances))));
    let mut table = Rc::new(Table::default());
    put(
        &mut table,
        rows.into_iter().map(|row| (row.key(), Some(row))),
    );
    table
}

/// Writes rows as one new revision.
pub fn put(
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

/// Commits as the platform does: all rows, or none if one has changed.
pub fn commit(table: &mut Rc<Table>, commit: Commit) {
    let found = |key| table.get(key).map_or(Revision(0), |row| row.version);
    if commit.writes.iter().all(|w| found(&w.key) == w.expect) {
        put(table, commit.writes.into_iter().map(|w| (w.key, w.row)));
    }
}

/// The operator's edit of a scenario, if it has one.
pub fn edit(scenario: Scenario) -> Option<Row> {
    match scenario {
        Scenario::Leaving | Scenario::InstanceCut => Some(Row::Server(ServerRow {
            state: ServerState::Draining,
            ..server_row(VICTIM)
        })),
        Scenario::ColdServer => Some(Row::Server(server_row(SERVERS))),
        _ => None,
    }
}

/// Keys, and the load of shards and of the key that turns hot.
pub struct Keys {
    /// How many keys each shard has.
    pub counts: Vec<usize>,
    /// The key that turns hot.
    pub hot: KeyHash,
    /// Its load.
    pub heat: u64,
    /// Load of each shard without that key.
    shards: Vec<u64>,
}

impl Keys {
    pub fn new() -> Self {
        let weights = (1..=KEYS).map(|rank| (rank as f64).powf(-ZIPF));
        let sum: f64 = weights.clone().sum();
        let mut keys = Self {
            counts: vec![0; SHARDS],
            hot: Self::key(HOT_RANK),
            heat: 0,
            shards: vec![0; SHARDS],
        };
        for (rank, weight) in weights.enumerate() {
            let load = (weight / sum * TOTAL) as u64;
            let shard = Self::shard(Self::key(rank));
            keys.counts[shard] += 1;
            match rank {
                HOT_RANK => keys.heat = load,
                _ => keys.shards[shard] += load,
            }
        }
        keys
    }

    fn key(rank: usize) -> KeyHash {
        KeyHash::from_key(format!("set-{rank}").as_bytes())
    }

    pub fn shard(key: KeyHash) -> usize {
        ShardBits::new(BITS).unwrap().shard_of(key).0 as usize
    }

    /// Makes the hot key hot.
    pub fn turn_hot(&mut self) {
        self.heat = HOT_LOAD;
    }

    /// Load of every shard, and of the hot key if it is out of its own.
    pub fn scopes(&self, out: bool) -> Vec<(Scope, u64)> {
        let shards = self.shards.iter().copied().enumerate();
        let shards = shards.map(|(shard, load)| (Scope::Shard(ShardId(shard as u32)), load));
        let mut scopes: Vec<(Scope, u64)> = shards.collect();
        match out {
            true => scopes.push((Scope::Key(self.hot), self.heat)),
            false => scopes[Self::shard(self.hot)].1 += self.heat,
        }
        scopes
    }
}
