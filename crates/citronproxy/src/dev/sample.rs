//! Sample deployment.

use {
    crate::{
        clock::Clock,
        control::{Control, ControlConfig, ControlMetrics},
        traffic,
    },
    citron_core::{
        id::{Epoch, Incarnation, Revision, ServerName, ShardBits, Slots, Weight},
        membership::Member,
        ownership::Assignment,
        table::{
            BlockId, BlockRow, Commit, DomainRow, DomainState, Fencing, KeySource, MoveBudget,
            Objectives, Row, ServerRow, ServerState, ServiceRow, Write,
        },
    },
    citron_ports::{IdempotentStore, MemoryPlatform, PlatformError, ServerClient, TableStore},
    std::{error::Error, net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        task::{LocalSet, spawn_local},
    },
};

/// Address at which the sample accepts requests.
const TRAFFIC: &str = "127.0.0.1:8080";
/// Loopback address with any free port.
const ANY_PORT: &str = "127.0.0.1:0";
/// Base-two logarithm of the sample's shard count.
const SHARD_BITS: u8 = 4;

/// Runs the sample deployment until the process is stopped.
///
/// # Errors
/// If the address is in use.
pub async fn run() -> Result<(), Box<dyn Error>> {
    let local = LocalSet::new();
    local.run_until(run_local()).await
}

async fn run_local() -> Result<(), Box<dyn Error>> {
    let backend = TcpListener::bind(ANY_PORT).await?;
    let address = backend.local_addr()?;
    spawn_local(serve_sample(backend));
    let store = IdempotentStore::new(MemoryPlatform::default(), "dev".to_string());
    commit_rows(&store, sample_rows(address)?).await?;
    let handle = traffic::TrafficHandle::default();
    let clock = Clock::start();
    let workers = traffic::start(TRAFFIC.parse()?, 1, &handle, clock)?;
    let config = ControlConfig {
        member: Member {
            instance: "dev".parse()?,
            incarnation: Incarnation(1),
        },
        domain: "dev".parse()?,
        traffic: workers.address,
        peer: ANY_PORT.parse()?,
        advertise: None,
        admin: ANY_PORT.parse()?,
        seeds: Vec::new(),
    };
    let metrics = ControlMetrics::new(handle.registry())?;
    let ports = (store, ServerClient::default());
    let mut control = Control::start(config, ports, handle, clock, metrics).await?;
    println!("try: curl -i http://{}/kegs/bar-7", workers.address);
    Err(control.wait_failed().await.into())
}

async fn commit_rows(store: &impl TableStore, rows: Vec<Row>) -> Result<(), PlatformError> {
    let writes = rows.into_iter().map(|row| Write {
        key: row.key(),
        expect: Revision(0),
        row: Some(row),
    });
    let writes = writes.collect();
    let history = None;
    store.commit(Commit { writes, history }).await?;
    Ok(())
}

/// Rows of the sample: one failure domain, one service, and one backend server that owns
/// all shards.
///
/// # Errors
/// Only if a name or number in this function is invalid.
pub fn sample_rows(address: SocketAddr) -> Result<Vec<Row>, Box<dyn Error>> {
    let shard_bits = ShardBits::new(SHARD_BITS).ok_or("too many shards")?;
    let server: ServerName = "sample-1".parse()?;
    let service = ServiceRow {
        name: "sample".parse()?,
        operator: "dev".parse()?,
        hosts: Vec::new(),
        prefix: "/kegs".to_string(),
        key_source: KeySource::Segment(1),
        idempotent_methods: vec!["GET".to_string(), "HEAD".to_string()],
        shard_bits,
        deadline: Duration::from_secs(10),
        grace: Duration::from_secs(30),
        move_budget: MoveBudget {
            shards_per_minute: 10,
            threshold_percent: 110,
        },
        objectives: Objectives {
            failures_per_million: 1_000,
            latency: Duration::from_millis(100),
            slow_per_million: 10_000,
        },
    };
    let block = BlockRow {
        service: service.name.clone(),
        block: BlockId(0),
        shards: (0..shard_bits.shard_count())
            .map(|_| Assignment::owned(server.clone(), Epoch(1)))
            .collect(),
    };
    let server = ServerRow {
        name: server,
        service: service.name.clone(),
        domain: "dev".parse()?,
        address,
        weight: Weight(100),
        rate_cap: None,
        slots: Slots(4),
        max_connections: 100,
        fencing: Fencing::Unchecked,
        state: ServerState::Active,
    };
    let domain = DomainRow {
        name: "dev".parse()?,
        state: DomainState::Live,
        confirmers: Vec::new(),
    };
    Ok(vec![
        Row::Domain(domain),
        Row::Service(service),
        Row::Server(server),
        Row::Block(block),
    ])
}

/// Sample backend server, which answers every request with the same text.
async fn serve_sample(listener: TcpListener) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            spawn_local(answer_sample(stream));
        }
    }
}

async fn answer_sample(mut stream: TcpStream) {
    const ANSWER: &[u8] =
        b"HTTP/1.1 200 OK\r\ncontent-length: 12\r\nconnection: close\r\n\r\nhello, keg!\n";
    let mut head = [0; 4_096];
    if stream.read(&mut head).await.is_ok() {
        let _ = stream.write_all(ANSWER).await;
    }
}
