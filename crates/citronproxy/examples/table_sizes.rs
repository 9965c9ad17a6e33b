//! Measures the size of tables that instances relay to each other, and the time to encode and
//! decode them, for docs/CAPACITY.md:
//! `cargo run --release -p citronproxy --example table_sizes`.
//!
//! Names and prefixes are random, so that they compress only by their small alphabet. Times
//! are the shortest of `RUNS` runs.

use {
    citron_core::freshness::Age,
    citron_wire::relay::{BodyCache, Format, HeadWire, RowSelection, TableRowWire, TableWire},
    rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom},
    serde_json::{Value, json},
    std::{
        error::Error,
        time::{Duration, Instant},
    },
};

/// Runs of which the shortest time counts.
const RUNS: usize = 9;
const HOSTS: usize = 6;
const SERVICES: usize = 40;
const SERVERS: usize = 40;
/// Limit for the unpacked size.
const MAX_BYTES: usize = 8 << 20;

/// Random digits and lower-case letters.
fn random_text(rng: &mut StdRng, letters: usize) -> String {
    let letter = |_| char::from_digit(rng.random_range(0..36), 36).unwrap_or('0');
    (0..letters).map(letter).collect()
}

fn route(rng: &mut StdRng) -> Value {
    json!({
        "name": format!("r-{}", random_text(rng, 7)),
        "kind": (["safe", "unsafe", "upload"].choose(rng)),
        "objectiveS": ([0.25, 0.5, 1.0, 2.0].choose(rng)),
        "priority": rng.random_range(0..3),
        "match": {"prefix": format!("/{}/", random_text(rng, 8))},
        "action": {
            "service": format!("service-{}", rng.random_range(0..SERVICES)),
            "timeoutS": ([1.25, 3.0, 5.0].choose(rng)),
            "attempts": rng.random_range(1..3),
        },
    })
}

/// A configuration with its routes spread evenly over the hosts.
fn config(rng: &mut StdRng, routes: usize) -> Value {
    let mut host = |number| {
        let routes = (0..routes / HOSTS).map(|_| route(rng));
        let routes: Vec<Value> = routes.collect();
        json!({"host": format!("host-{number}.example"), "routes": routes})
    };
    let hosts: Vec<Value> = (0..HOSTS).map(&mut host).collect();
    json!({"version": "0000001f", "hosts": hosts})
}

/// A range map. Half of its slices have a lease expiry, and a fifth of these a handover.
fn map(rng: &mut StdRng, slices: usize) -> Value {
    let servers =
        (0..SERVERS).map(|number| format!("front-north-{number}-{}", random_text(rng, 6)));
    let servers: Vec<String> = servers.collect();
    let mut firsts: Vec<u16> = (1..slices).map(|_| rng.random_range(1..u16::MAX)).collect();
    firsts.push(0);
    firsts.sort_unstable();
    let slice = |first| {
        let (owner, epoch) = (rng.random_range(0..SERVERS), rng.random_range(1..3_000));
        let expiry = 1_700_000_000_000_u64 + rng.random_range(0..20_000);
        let handover = rng.random_bool(0.2).then(|| random_text(rng, 24));
        match rng.random_bool(0.5) {
            true => json!([first, owner, epoch, handover, expiry]),
            false => json!([first, owner, epoch]),
        }
    };
    let slices: Vec<Value> = firsts.into_iter().map(slice).collect();
    json!({"servers": servers, "slices": slices})
}

/// Result and time of the fastest run.
fn fastest<T, E>(mut run: impl FnMut() -> Result<T, E>) -> Result<(T, Duration), E> {
    let mut timed = || {
        let started = Instant::now();
        run().map(|done| (done, started.elapsed()))
    };
    let mut best = timed()?;
    for _ in 1..RUNS {
        let next = timed()?;
        if next.1 < best.1 {
            best = next;
        }
    }
    Ok(best)
}

fn measure(name: &str, value: &Value) -> Result<(), Box<dyn Error>> {
    let row = TableRowWire {
        key: name.to_string(),
        value: Some(serde_json::to_vec(value)?),
        version: 7,
    };
    let head = HeadWire {
        version: 7,
        whole: false,
        changed: 7,
        age: Age::None.into(),
    };
    let rows = vec![row];
    let write = || {
        let body =
            BodyCache::<1>::default().get_or_encode(0, 1, RowSelection::All, || rows.clone());
        head.encode_packed(&body?)
    };
    let (packed, to_pack) = fastest(write)?;
    let (wire, to_read) = fastest(|| TableWire::decode(Format::Packed, &packed, MAX_BYTES))?;
    let plain = wire.encode_plain()?.len();
    println!(
        "{name}: {plain} bytes, packed {}; {} us to write and pack, {} us to unpack and read",
        packed.len(),
        to_pack.as_micros(),
        to_read.as_micros(),
    );
    Ok(())
}

fn main() -> Result<(), Box<dyn Error>> {
    let rng = &mut StdRng::seed_from_u64(1);
    for routes in [1_400, 4_200] {
        measure(&format!("{routes} routes"), &config(rng, routes))?;
    }
    measure("600 slices", &map(rng, 600))
}
