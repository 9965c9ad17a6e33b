//! Throughput and added latency of the request path. The same test server is called through
//! the proxy and over direct connections, alternately:
//! `cargo run --release --example bench [-- --seconds N] [--post]`.

use {
    citron_core::{
        id::Revision,
        membership::RoutingLease,
        routing::{RouteMap, Snapshot},
        table::{Changes, Row, Table},
    },
    citronproxy::{clock::Clock, dev, traffic},
    hdrhistogram::Histogram,
    std::{
        error::Error,
        fs,
        io::{Read, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
};

/// Traffic threads of the instance.
const THREADS: usize = 2;
/// Time after which callers switch between direct and proxied requests, so that other load on
/// the machine affects both equally.
const SLICE: Duration = Duration::from_millis(100);
/// Response of the test server.
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\nhello, keg!\n";

/// Latencies in nanoseconds.
type LatencyNanos = Histogram<u64>;
type CallError = Box<dyn Error + Send + Sync>;

fn main() -> Result<(), Box<dyn Error>> {
    let mut args = pico_args::Arguments::from_env();
    let seconds: u64 = args.opt_value_from_str("--seconds")?.unwrap_or(6);
    let request: &[u8] = match args.contains("--post") {
        true => b"POST /kegs/bar-7 HTTP/1.1\r\nhost: kegs\r\ncontent-length: 4\r\n\r\nkegs",
        false => b"GET /kegs/bar-7 HTTP/1.1\r\nhost: kegs\r\n\r\n",
    };
    let server = start_server()?;
    let proxy = start_proxy(server)?;
    println!("connections  target  requests/s  p50 us  p99 us  added p50  added p99  CPU us");
    for connections in [1, 4, 16] {
        let targets = [server, proxy];
        let before = thread_time()?;
        let [direct, proxied] = measure(targets, connections, request, seconds)?;
        let cpu_time = thread_time()? - before;
        let cpu_micros = cpu_time.as_micros() as f64 / proxied.len() as f64;
        print_row(connections, "direct", &direct, &direct, seconds);
        println!();
        print_row(connections, "proxy", &proxied, &direct, seconds);
        println!("  {cpu_micros:>6.1}");
    }
    Ok(())
}

/// Prints throughput, latency and the latency added over `base`, in microseconds.
fn print_row(
    connections: usize,
    target: &str,
    nanos: &LatencyNanos,
    base: &LatencyNanos,
    seconds: u64,
) {
    let micros = |histogram: &LatencyNanos, q| histogram.value_at_quantile(q) as f64 / 1_000.0;
    // Each target is called for half of the time.
    let rate = nanos.len() as f64 / (seconds as f64 / 2.0);
    let [p50, p99] = [0.5, 0.99].map(|q| micros(nanos, q));
    let [added_50, added_99] = [0.5, 0.99].map(|q| micros(nanos, q) - micros(base, q));
    print!(
        "{connections:>11}  {target:<6}  {rate:>10.0}  {p50:>6.0}  {p99:>6.0}  {added_50:>9.0}  {added_99:>9.0}"
    );
}

/// CPU time of the traffic threads so far, with a resolution of 10 ms.
fn thread_time() -> std::io::Result<Duration> {
    let mut ticks = 0;
    for task in fs::read_dir("/proc/self/task")? {
        let stat = fs::read_to_string(task?.path().join("stat"))?;
        let Some((name, fields)) = stat.split_once(") ") else {
            continue;
        };
        if name.contains("(traffic-") {
            // Fields 14 and 15 of proc(5): user and system time.
            let times = fields.split(' ').skip(11).take(2);
            ticks += times
                .filter_map(|time| time.parse::<u64>().ok())
                .sum::<u64>();
        }
    }
    Ok(Duration::from_millis(10 * ticks))
}

/// Latencies of the two targets over persistent connections.
fn measure(
    targets: [SocketAddr; 2],
    connections: usize,
    request: &'static [u8],
    seconds: u64,
) -> Result<[LatencyNanos; 2], Box<dyn Error>> {
    let started = Instant::now();
    let run = move || run_caller(targets, request, started, Duration::from_secs(seconds));
    let callers: Vec<_> = (0..connections).map(|_| thread::spawn(run)).collect();
    let mut sums = [LatencyNanos::new(3)?, LatencyNanos::new(3)?];
    for caller in callers {
        let measured = caller.join().map_err(|_| "a caller thread panicked")?;
        let measured = measured.map_err(|error| error.to_string())?;
        for (sum, one) in sums.iter_mut().zip(measured) {
            sum.add(one)?;
        }
    }
    Ok(sums)
}

/// Sends requests to both targets until `time` has passed since `started`.
fn run_caller(
    targets: [SocketAddr; 2],
    request: &[u8],
    started: Instant,
    time: Duration,
) -> Result<[LatencyNanos; 2], CallError> {
    let mut streams = [
        TcpStream::connect(targets[0])?,
        TcpStream::connect(targets[1])?,
    ];
    let mut nanos = [LatencyNanos::new(3)?, LatencyNanos::new(3)?];
    for stream in &mut streams {
        stream.set_nodelay(true)?;
        // The first request on a connection makes the proxy connect to the server; it is not
        // measured.
        exchange(stream, request)?;
    }
    while started.elapsed() < time {
        let slice = started.elapsed().as_nanos() / SLICE.as_nanos();
        let target = usize::from(slice % 2 == 1);
        let sent = Instant::now();
        exchange(&mut streams[target], request)?;
        nanos[target].record(sent.elapsed().as_nanos() as u64)?;
    }
    Ok(nanos)
}

/// Sends one request and reads the response.
fn exchange(stream: &mut TcpStream, request: &[u8]) -> Result<(), CallError> {
    let mut answer = [0; 1_024];
    let mut length = 0;
    stream.write_all(request)?;
    while !answer[..length].ends_with(b"hello, keg!\n") {
        let read = stream.read(&mut answer[length..])?;
        if read == 0 || !answer.starts_with(b"HTTP/1.1 200") {
            return Err("connection closed or unexpected response".into());
        }
        length += read;
    }
    Ok(())
}

/// Starts a server with one thread for each connection and a fixed response.
fn start_server() -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || serve(stream));
        }
    });
    Ok(address)
}

fn serve(mut stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut head = [0; 4_096];
    let mut length = 0;
    loop {
        let read = stream.read(&mut head[length..])?;
        if read == 0 {
            return Ok(());
        }
        length += read;
        let received = &head[..length];
        let end = match received.starts_with(b"POST") {
            true => &b"kegs"[..],
            false => b"\r\n\r\n",
        };
        if received.ends_with(end) && received.windows(4).any(|part| part == b"\r\n\r\n") {
            stream.write_all(RESPONSE)?;
            length = 0;
        }
    }
}

/// Starts traffic threads that route to the server, under a lease of one hour.
fn start_proxy(server: SocketAddr) -> Result<SocketAddr, Box<dyn Error>> {
    let rows = dev::sample_rows(server)?;
    let rows = rows
        .into_iter()
        .map(|row: Row| (row.key(), Revision(1), Some(row)));
    let mut table = Table::default();
    table.apply(Changes {
        since: Revision(0),
        revision: Revision(1),
        rows: rows.collect(),
    })?;
    let clock = Clock::start();
    let handle = traffic::TrafficHandle::default();
    let workers = traffic::start("127.0.0.1:0".parse()?, THREADS, &handle, clock)?;
    let until = clock.now() + Duration::from_secs(3_600);
    handle.publish(Snapshot {
        map: Arc::new(RouteMap::build(&table)),
        confirmation: RoutingLease {
            any_domain_until: until,
            read_started: clock.now(),
            own_domain_until: until,
        },
        domain: "dev".parse()?,
    });
    Ok(workers.address)
}
