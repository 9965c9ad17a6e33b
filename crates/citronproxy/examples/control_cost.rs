//! Measures the cost of control for each instance while nothing changes, for
//! docs/CAPACITY.md:
//! `cargo run --release -p citronproxy --example control_cost -- INSTANCES SERVERS SECONDS`.
//!
//! All instances run the production control tasks on one thread, with an in-memory platform
//! and backend servers that accept every order. Instances call each other over loopback. Each
//! run measures one size.

use {
    citron_core::{
        id::{Epoch, Incarnation, Revision, ServerName, ShardBits, Slots, Weight},
        membership::Member,
        ownership::{Assignment, BootId, Grant, GrantReply, GrantResult, ServerLease},
        table::{
            BlockId, BlockRow, Check, Commit, CommitOutcome, DomainRow, DomainState, Fencing,
            KeySource, MoveBudget, Objectives, Row, SHARDS_PER_BLOCK, ServerRow, ServerState,
            ServiceRow, Write,
        },
    },
    citron_ports::{
        GrantClient, HistoryRead, IdempotentStore, Machine, MachineList, MemoryPlatform,
        PlatformError, ProbeResult, Prober, TableRead, TableStore,
    },
    citronproxy::{
        clock::Clock,
        control::{Control, ControlConfig, ControlMetrics},
        traffic::TrafficHandle,
    },
    prometheus::Registry,
    std::{
        cell::Cell,
        error::Error,
        fs,
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{task::LocalSet, time::sleep},
};

/// Failure domains.
const DOMAINS: usize = 6;
/// Base-two logarithm of the shard count, which gives 64 shards for each of 64 servers.
const SHARD_BITS: u8 = 12;
/// Time before the measurement in which all instances join and learn of each other.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Unit of CPU times in /proc on Linux, in ticks per second.
const TICKS_PER_SECOND: f64 = 100.0;

/// Number of outgoing calls of all instances together, by kind.
#[derive(Debug, Default)]
struct CallCounts {
    reads: Cell<u64>,
    commits: Cell<u64>,
    lists: Cell<u64>,
    orders: Cell<u64>,
    probes: Cell<u64>,
}

fn increment(cell: &Cell<u64>) {
    cell.set(cell.get() + 1);
}

/// In-memory platform that counts calls.
struct CountingStore {
    inner: IdempotentStore<MemoryPlatform>,
    calls: Rc<CallCounts>,
}

impl TableStore for CountingStore {
    async fn changes(&self, since: Revision) -> Result<TableRead, PlatformError> {
        increment(&self.calls.reads);
        self.inner.changes(since).await
    }

    async fn commit(&self, commit: Commit) -> Result<CommitOutcome, PlatformError> {
        increment(&self.calls.commits);
        self.inner.commit(commit).await
    }

    async fn commit_checked(
        &self,
        commit: Commit,
        checks: &[Check],
    ) -> Result<CommitOutcome, PlatformError> {
        increment(&self.calls.commits);
        self.inner.commit_checked(commit, checks).await
    }

    async fn history(&self, after: Revision, limit: usize) -> Result<HistoryRead, PlatformError> {
        self.inner.history(after, limit).await
    }
}

impl MachineList for CountingStore {
    async fn list(&self) -> Result<Vec<Machine>, PlatformError> {
        increment(&self.calls.lists);
        MachineList::list(&self.inner).await
    }
}

/// Backend servers that accept every order and count calls.
struct CountingServers {
    calls: Rc<CallCounts>,
    clock: Instant,
}

impl GrantClient for CountingServers {
    async fn send_order(
        &self,
        _: &ServerRow,
        _: Option<BootId>,
        grants: &[Grant],
        _: Option<ServerLease>,
    ) -> Result<GrantReply, PlatformError> {
        increment(&self.calls.orders);
        Ok(GrantReply {
            boot: BootId(1),
            clock: self.clock.elapsed(),
            results: vec![GrantResult::Accepted; grants.len()],
        })
    }
}

impl Prober for CountingServers {
    async fn probe(&self, _: SocketAddr) -> Result<ProbeResult, PlatformError> {
        increment(&self.calls.probes);
        Ok(ProbeResult::Up)
    }
}

fn main() -> Result<(), Box<dyn Error>> {
    let args: Vec<usize> = std::env::args()
        .skip(1)
        .filter_map(|text| text.parse().ok())
        .collect();
    let [instances, servers, seconds] = args[..] else {
        return Err("usage: control_cost INSTANCES SERVERS SECONDS".into());
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, measure(instances, servers, seconds))
}

async fn measure(instances: usize, servers: usize, seconds: usize) -> Result<(), Box<dyn Error>> {
    let memory = MemoryPlatform::default();
    let calls = Rc::new(CallCounts::default());
    let setup_store = IdempotentStore::new(memory.clone(), "setup".to_string());
    setup_store.commit(rows(servers)?).await?;
    let before = resident_bytes();
    let mut controls = Vec::new();
    for number in 0..instances {
        controls.push(start(number, &memory, &calls).await?);
    }
    sleep(SETTLE_TIME).await;
    let memory_each = (resident_bytes() - before) / instances as i64;
    let cells = [
        &calls.reads,
        &calls.commits,
        &calls.lists,
        &calls.orders,
        &calls.probes,
    ];
    let counts_before = cells.map(Cell::get);
    let (cpu, started) = (processor_seconds(), Instant::now());
    sleep(Duration::from_secs(seconds as u64)).await;
    let elapsed_seconds = started.elapsed().as_secs_f64();
    let cpu = (processor_seconds() - cpu) / elapsed_seconds * 100.0;
    let each = |now: u64, before_count: u64| {
        (now - before_count) as f64 / elapsed_seconds / instances as f64
    };
    let now = cells.map(Cell::get);
    let rates: Vec<f64> = now
        .iter()
        .zip(counts_before)
        .map(|(now, before_count)| each(*now, before_count))
        .collect();
    println!(
        "instances {instances} servers {servers}: CPU {:.3}% per instance ({cpu:.1}% in total), \
         {} KiB per instance; per second and instance: reads {:.2} commits {:.2} lists {:.2} \
         orders {:.2} probes {:.2}",
        cpu / instances as f64,
        memory_each / 1024,
        rates[0],
        rates[1],
        rates[2],
        rates[3],
        rates[4],
    );
    Ok(())
}

/// Starts the control tasks of one instance.
async fn start(
    number: usize,
    memory: &MemoryPlatform,
    calls: &Rc<CallCounts>,
) -> Result<Control<CountingStore>, Box<dyn Error>> {
    let member = Member {
        instance: format!("entry-{number:04}").parse()?,
        incarnation: Incarnation(number as u64 + 1),
    };
    let any: SocketAddr = "127.0.0.1:0".parse()?;
    let config = ControlConfig {
        member,
        domain: domain(number).parse()?,
        traffic: any,
        peer: any,
        advertise: None,
        admin: any,
        seeds: Vec::new(),
    };
    let store = CountingStore {
        inner: IdempotentStore::new(memory.clone(), format!("entry-{number}")),
        calls: Rc::clone(calls),
    };
    let servers = CountingServers {
        calls: Rc::clone(calls),
        clock: Instant::now(),
    };
    let metrics = ControlMetrics::new(&Registry::new())?;
    let handle = TrafficHandle::default();
    let control = Control::start(config, (store, servers), handle, Clock::start(), metrics).await?;
    Ok(control)
}

fn domain(number: usize) -> String {
    format!("domain-{}", number % DOMAINS)
}

/// Commit that creates the service, its domains, servers and shards.
fn rows(servers: usize) -> Result<Commit, Box<dyn Error>> {
    let shards = ShardBits::new(SHARD_BITS).ok_or("too many shards")?;
    let name = |shard: u32| -> Result<ServerName, Box<dyn Error>> {
        Ok(format!("server-{:04}", shard as usize % servers).parse()?)
    };
    let mut rows = vec![Row::Service(service(shards)?)];
    for number in 0..DOMAINS {
        rows.push(Row::Domain(DomainRow {
            name: domain(number).parse()?,
            state: DomainState::Live,
            confirmers: Vec::new(),
        }));
    }
    for number in 0..servers {
        rows.push(Row::Server(server(number)?));
    }
    for block in 0..shards.shard_count() / SHARDS_PER_BLOCK {
        let first = block * SHARDS_PER_BLOCK;
        let owners = (first..first + SHARDS_PER_BLOCK)
            .map(|shard| Ok(Assignment::owned(name(shard)?, Epoch(1))))
            .collect::<Result<_, Box<dyn Error>>>()?;
        rows.push(Row::Block(BlockRow {
            service: "balances".parse()?,
            block: BlockId(block),
            shards: owners,
        }));
    }
    let writes = rows.into_iter().map(|row| Write {
        key: row.key(),
        expect: Revision(0),
        row: Some(row),
    });
    Ok(Commit {
        writes: writes.collect(),
        history: None,
    })
}

fn service(shard_bits: ShardBits) -> Result<ServiceRow, Box<dyn Error>> {
    Ok(ServiceRow {
        name: "balances".parse()?,
        operator: "authority".parse()?,
        hosts: Vec::new(),
        prefix: "/balances".to_string(),
        key_source: KeySource::Segment(1),
        idempotent_methods: vec!["GET".to_string()],
        shard_bits,
        deadline: Duration::from_secs(2),
        grace: Duration::from_secs(300),
        move_budget: MoveBudget {
            shards_per_minute: 10,
            threshold_percent: 110,
        },
        objectives: Objectives {
            failures_per_million: 1_000,
            latency: Duration::from_millis(19),
            slow_per_million: 10_000,
        },
    })
}

fn server(number: usize) -> Result<ServerRow, Box<dyn Error>> {
    Ok(ServerRow {
        name: format!("server-{number:04}").parse()?,
        service: "balances".parse()?,
        domain: domain(number).parse()?,
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        weight: Weight(100),
        rate_cap: None,
        slots: Slots(4),
        max_connections: 100,
        fencing: Fencing::Checked,
        state: ServerState::Active,
    })
}

/// Resident memory of this process, in bytes.
fn resident_bytes() -> i64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| {
        line.trim()
            .trim_end_matches(" kB")
            .trim()
            .parse::<i64>()
            .ok()
    });
    kib.unwrap_or(0) * 1024
}

/// CPU time of this process so far, in seconds.
fn processor_seconds() -> f64 {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let ticks = after.split_whitespace().skip(11).take(2);
    ticks
        .filter_map(|text| text.parse::<f64>().ok())
        .sum::<f64>()
        / TICKS_PER_SECOND
}
