//! Memory growth during a large upload. Caller, instance and server run in one process, and
//! none of them keeps the body.
//! `cargo run --release --example upload [-- --mib N]`, 1024 MiB by default.

use {
    citron_core::{
        id::Revision,
        membership::RoutingLease,
        routing::{RouteMap, Snapshot},
        table::{Changes, Row, Table},
    },
    citron_fakes::scripted::upload_server,
    citronproxy::{clock::Clock, dev, traffic},
    std::{
        error::Error,
        fs,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
};

const MIB: usize = 1_024 * 1_024;
/// Deadline and lease; longer than any upload here.
const HOUR: Duration = Duration::from_secs(3_600);

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let mut args = pico_args::Arguments::from_env();
    let mib: usize = args.opt_value_from_str("--mib")?.unwrap_or(1_024);
    // The server pauses for 1 ms after each MiB, so that the caller is faster than the server.
    let server = upload_server(Duration::from_millis(1)).await?;
    let instance = start_instance(server)?;
    let before = read_status_kib("VmRSS:")?;
    let started = Instant::now();
    let answer = upload(instance, mib * MIB).await?;
    let seconds = started.elapsed().as_secs_f64();
    let growth = read_status_kib("VmHWM:")? - before;
    let last = answer.lines().last().unwrap_or_default();
    println!("{last}: {mib} MiB in {seconds:.1} s, memory grew by {growth} KiB at most");
    Ok(())
}

/// Uploads `size` bytes and returns the response.
async fn upload(address: SocketAddr, size: usize) -> Result<String, Box<dyn Error>> {
    let mut stream = TcpStream::connect(address).await?;
    let head = "PUT /kegs/photos HTTP/1.1\r\nhost: kegs\r\nconnection: close\r\n";
    let head = format!("{head}content-length: {size}\r\n\r\n");
    stream.write_all(head.as_bytes()).await?;
    let part = vec![b'x'; MIB / 4];
    for _ in 0..size / part.len() {
        stream.write_all(&part).await?;
    }
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await?;
    Ok(answer)
}

/// Reads a field of /proc/self/status, in KiB.
fn read_status_kib(name: &str) -> Result<u64, Box<dyn Error>> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let number = line.and_then(|line| line.split_whitespace().next());
    Ok(number
        .ok_or("field not found in /proc/self/status")?
        .parse()?)
}

/// Starts one traffic thread that routes to the server.
fn start_instance(server: SocketAddr) -> Result<SocketAddr, Box<dyn Error>> {
    let mut rows = dev::sample_rows(server)?;
    for row in &mut rows {
        if let Row::Service(row) = row {
            row.deadline = HOUR;
        }
    }
    let rows = rows
        .into_iter()
        .map(|row| (row.key(), Revision(1), Some(row)));
    let mut table = Table::default();
    table.apply(Changes {
        since: Revision(0),
        revision: Revision(1),
        rows: rows.collect(),
    })?;
    let clock = Clock::start();
    let handle = traffic::TrafficHandle::default();
    let workers = traffic::start("127.0.0.1:0".parse()?, 1, &handle, clock)?;
    handle.publish(Snapshot {
        map: Arc::new(RouteMap::build(&table)),
        confirmation: RoutingLease {
            any_domain_until: clock.now() + HOUR,
            read_started: clock.now(),
            own_domain_until: clock.now() + HOUR,
        },
        domain: "dev".parse()?,
    });
    Ok(workers.address)
}
