//! Table rows of a small deployment.

use {
    citron_core::{
        id::{Epoch, Revision, ServerName, ShardBits, Slots, Weight},
        ownership::Assignment,
        table::{
            BlockId, BlockRow, Commit, CommitOutcome, DomainRow, DomainState, Fencing, KeySource,
            MoveBudget, Objectives, Row, ServerRow, ServerState, ServiceRow, Write,
        },
    },
    citron_ports::{IdempotentStore, MemoryPlatform, TableStore},
    std::{net::SocketAddr, time::Duration},
};

/// Backend servers of a sample deployment.
pub struct SampleConfig {
    /// Name, failure domain and address of each server.
    pub servers: Vec<(String, String, SocketAddr)>,
    /// Whether the servers check grants.
    pub fencing: Fencing,
}

/// Rows of a service `kegs` under `/kegs`, keyed by the second path segment, with its servers
/// and 64 shards that are assigned to them in turn.
pub fn sample_rows(config: &SampleConfig) -> Vec<Row> {
    let shard_bits = ShardBits::new(6).expect("few shards");
    let service = ServiceRow {
        name: "kegs".parse().expect("a name"),
        operator: "authority".parse().expect("a name"),
        hosts: Vec::new(),
        prefix: "/kegs".to_string(),
        key_source: KeySource::Segment(1),
        idempotent_methods: vec!["GET".to_string()],
        shard_bits,
        deadline: Duration::from_secs(5),
        grace: Duration::from_secs(5),
        move_budget: MoveBudget {
            shards_per_minute: 100,
            threshold_percent: 110,
        },
        objectives: Objectives {
            failures_per_million: 1_000,
            latency: Duration::from_millis(100),
            slow_per_million: 10_000,
        },
    };
    let names: Vec<ServerName> = config
        .servers
        .iter()
        .map(|(name, _, _)| name.parse().expect("a name"))
        .collect();
    let owners = names.iter().cycle().take(shard_bits.shard_count() as usize);
    let block = BlockRow {
        service: service.name.clone(),
        block: BlockId(0),
        shards: owners
            .map(|name| Assignment::owned(name.clone(), Epoch(1)))
            .collect(),
    };
    let mut rows = vec![Row::Service(service), Row::Block(block)];
    for (name, domain, address) in &config.servers {
        rows.push(Row::Server(ServerRow {
            name: name.parse().expect("a name"),
            service: "kegs".parse().expect("a name"),
            domain: domain.parse().expect("a name"),
            address: *address,
            weight: Weight(100),
            rate_cap: None,
            slots: Slots(4),
            max_connections: 100,
            fencing: config.fencing,
            state: ServerState::Active,
        }));
    }
    rows
}

/// Row of a live failure domain without confirmers.
pub fn domain_row(name: &str) -> Row {
    Row::Domain(DomainRow {
        name: name.parse().expect("a name"),
        state: DomainState::Live,
        confirmers: Vec::new(),
    })
}

/// Adds rows, none of which may exist yet.
pub async fn commit_rows(memory: &MemoryPlatform, writer: &str, rows: Vec<Row>) {
    let store = IdempotentStore::new(memory.clone(), writer.to_string());
    let writes = rows.into_iter().map(|row| Write {
        key: row.key(),
        expect: Revision(0),
        row: Some(row),
    });
    let commit = Commit {
        writes: writes.collect(),
        history: None,
    };
    let answer = store.commit(commit).await.expect("the platform is up");
    assert!(matches!(answer, CommitOutcome::Committed(_)), "{answer:?}");
}
