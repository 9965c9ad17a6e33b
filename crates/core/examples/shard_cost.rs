//! Measures the memory and time that table and route map need per shard, for
//! docs/CAPACITY.md. Each run measures one size, since memory freed by an earlier size would
//! be reused and not counted:
//! `cargo run --release -p citron-core --example shard_cost -- BITS`, where `BITS` is the
//! base-two logarithm of the shard count.

use {
    citron_core::{
        id::{Epoch, KeyHash, Revision, ServerName, ServiceName, ShardBits, Slots, Weight},
        ownership::Assignment,
        routing::RouteMap,
        table::{
            BlockId, BlockRow, Changes, Fencing, KeySource, MoveBudget, Objectives, Row, RowKey,
            SHARDS_PER_BLOCK, ServerRow, ServerState, ServiceRow, Table,
        },
    },
    std::{
        fs,
        hint::black_box,
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Shards that each server owns.
const SHARDS_PER_SERVER: u32 = 64;
/// Route lookups for one measurement.
const LOOKUPS: u64 = 2_000_000;

fn main() {
    println!("shards   table B/shard  map B/shard  build ns/shard  one block ms  lookup ns");
    let bits = std::env::args().nth(1).and_then(|text| text.parse().ok());
    measure(bits.unwrap_or(18));
}

fn measure(bits: u8) {
    let shards = 1_u32 << bits;
    let before = resident_bytes();
    let mut table = Table::default();
    let changes = Changes {
        since: Revision(0),
        revision: Revision(1),
        rows: rows(bits),
    };
    table.apply(changes).expect("changes from revision 0 apply");
    let with_table = resident_bytes();
    let started = Instant::now();
    let map = RouteMap::build(&table);
    let build_time = started.elapsed();
    let with_map = resident_bytes();
    let block_update = time_block_update(&mut table, &map);
    println!(
        "{shards:>7}  {:>12.1}  {:>11.1}  {:>14.1}  {:>12.2}  {:>9.1}",
        per_shard(with_table - before, shards),
        per_shard(with_map - with_table, shards),
        build_time.as_nanos() as f64 / f64::from(shards),
        block_update.as_secs_f64() * 1e3,
        time_lookup(&map),
    );
}

fn per_shard(bytes: i64, shards: u32) -> f64 {
    bytes as f64 / f64::from(shards)
}

/// Time from a changed block of shards to the updated route map.
fn time_block_update(table: &mut Table, map: &RouteMap) -> Duration {
    let (key, row) = block(0, 2);
    let changed = [key.clone()];
    let changes = Changes {
        since: Revision(1),
        revision: Revision(2),
        rows: vec![(key, Revision(2), Some(row))],
    };
    let started = Instant::now();
    table.apply(changes).expect("changes from revision 1 apply");
    black_box(map.with_changes(table, &changed));
    started.elapsed()
}

/// Mean time of a route lookup, in nanoseconds.
fn time_lookup(map: &RouteMap) -> f64 {
    let started = Instant::now();
    for number in 0..LOOKUPS {
        let service = map
            .service("any", "/kegs/1")
            .expect("a service for the prefix");
        let key = KeyHash(number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        black_box(service.route(key));
    }
    started.elapsed().as_nanos() as f64 / LOOKUPS as f64
}

fn service_name() -> ServiceName {
    "balances".parse().expect("a name")
}

fn server_name(number: u32) -> ServerName {
    format!("server-{number:05}").parse().expect("a name")
}

fn rows(bits: u8) -> Vec<(RowKey, Revision, Option<Row>)> {
    let shards = 1_u32 << bits;
    let mut rows = vec![Row::Service(service(bits))];
    rows.extend((0..shards / SHARDS_PER_SERVER).map(|number| Row::Server(server(number))));
    let blocks = (0..shards / SHARDS_PER_BLOCK).map(|number| block(number, 1).1);
    rows.extend(blocks);
    rows.into_iter()
        .map(|row| (row.key(), Revision(1), Some(row)))
        .collect()
}

fn block(number: u32, epoch: u64) -> (RowKey, Row) {
    let first = number * SHARDS_PER_BLOCK;
    let owner =
        |shard: u32| Assignment::owned(server_name(shard / SHARDS_PER_SERVER), Epoch(epoch));
    let row = Row::Block(BlockRow {
        service: service_name(),
        block: BlockId(number),
        shards: (first..first + SHARDS_PER_BLOCK).map(owner).collect(),
    });
    (row.key(), row)
}

fn service(bits: u8) -> ServiceRow {
    ServiceRow {
        name: service_name(),
        operator: "authority".parse().expect("a name"),
        hosts: Vec::new(),
        prefix: "/kegs".to_string(),
        key_source: KeySource::Segment(1),
        idempotent_methods: vec!["GET".to_string()],
        shard_bits: ShardBits::new(bits).expect("a valid shard count"),
        deadline: Duration::from_secs(5),
        grace: Duration::from_secs(30),
        move_budget: MoveBudget {
            shards_per_minute: 10,
            threshold_percent: 110,
        },
        objectives: Objectives {
            failures_per_million: 1_000,
            latency: Duration::from_millis(19),
            slow_per_million: 10_000,
        },
    }
}

fn server(number: u32) -> ServerRow {
    ServerRow {
        name: server_name(number),
        service: service_name(),
        domain: "harbour".parse().expect("a name"),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        weight: Weight(100),
        rate_cap: None,
        slots: Slots(4),
        max_connections: 100,
        fencing: Fencing::Checked,
        state: ServerState::Active,
    }
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
