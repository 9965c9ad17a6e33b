//! Pipelined requests around a SIGTERM: each that was passed on to an upstream is answered.

use {
    crate::{
        deployment::{config, start_instance, wait_until_served},
        record::Record,
        support::Store,
        upstream::{Arrived, Reply, Upstream, response},
    },
    http::Method,
    serde_json::json,
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::{sleep, timeout},
    },
};

/// Time that the platform gives an instance after SIGTERM.
const GRACE_S: u32 = 10;
/// Work of the pipelined requests: less than the route's timeout of 4 s.
const WORK_TIME: Duration = Duration::from_millis(3_200);
/// Time from the requests to SIGTERM.
const SIGTERM_DELAY: Duration = Duration::from_millis(300);
const IDS: [&str; 2] = ["first", "second"];

/// Returns whether a request that was passed on is not answered.
pub async fn run(record: &Record, has_trouble: bool) -> bool {
    let store = Store::start().await;
    let script = |arrived: &Arrived| {
        let is_pipelined = IDS.contains(&arrived.id.as_str());
        let work_time = if is_pipelined {
            WORK_TIME
        } else {
            WORK_TIME / 100
        };
        let headers = "server-signature: s\r\n";
        Reply::after(work_time, response(&arrived.id, headers, "balance"))
    };
    let mut servers = Vec::new();
    for id in ["i-1", "i-2"] {
        servers.push(Upstream::start(&store, record, id, "ledger-view", script).await);
    }
    let instance = start_instance(&store, "n-1", GRACE_S);
    let rule = json!({
        "name": "lookups", "routeType": "safe", "targetLatencyS": 2, "priority": 2,
        "match": {"prefix": "/bars/"},
        "action": {"service": "ledger-view", "timeoutS": 4, "maxAttempts": 2},
    });
    let service = json!({"name": "ledger-view", "healthPath": "/health", "maxConns": 100});
    store.put(
        "op",
        "config",
        &config(&[instance.traffic], &rule, &service),
    );
    wait_until_served(instance.traffic, Method::GET, "/bars/7", None).await;
    let mut stream = TcpStream::connect(instance.traffic).await.unwrap();
    let host = instance.traffic.ip();
    for id in IDS {
        let head = format!(
            "GET /bars/7 HTTP/1.1\r\nhost: {host}\r\nrequest-id: {id}\r\ndeadline-ms: 8000\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        record.line(&format!("client sends id={id}"));
    }
    sleep(SIGTERM_DELAY).await;
    if has_trouble {
        record.line("the instance gets SIGTERM");
        instance.terminate();
    }
    let mut read = String::new();
    let read_all = async {
        let mut part = [0; 4_096];
        while read.matches("HTTP/1.1 ").count() < IDS.len() {
            match stream.read(&mut part).await {
                Ok(size) if size > 0 => read.push_str(&String::from_utf8_lossy(&part[..size])),
                Ok(_) => return "closed",
                Err(_) => return "reset",
            }
        }
        "open"
    };
    let connection = timeout(Duration::from_secs(9), read_all).await;
    record.line(&format!("connection: {connection:?}; client got {read:?}"));
    let mut is_broken = false;
    for id in IDS {
        let mut ran = servers.iter().flat_map(Upstream::arrivals);
        let was_passed_on = ran.any(|arrived| arrived.id == id);
        let is_answered = read.contains(&format!("request-id: {id}\r\n"));
        is_broken |= was_passed_on && !is_answered;
        record.line(&format!(
            "id={id} passed on to an upstream: {was_passed_on}, answered: {is_answered}"
        ));
    }
    is_broken
}
