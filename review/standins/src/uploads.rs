//! Uploads in chunks: an upstream runs each with the body that the client sent.

use {
    crate::{
        deployment::{config, start_instance, wait_until_served},
        record::Record,
        support::Store,
        upstream::{Arrived, Reply, Upstream, response},
    },
    http::Method,
    serde_json::json,
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::timeout,
    },
};

/// Bodies of the sizes that the site file gives for uploads, in bytes.
const USUAL_BYTES: [usize; 3] = [60_000, 200_000, 360_000];
/// Larger bodies, all of which the config allows.
const LARGE_BYTES: [usize; 3] = [600_000, 800_000, 1_000_000];
const CHUNK_BYTES: usize = 16_384;
const WORK_TIME: Duration = Duration::from_millis(140);

/// Returns whether an upload ran with another body than the client's.
pub async fn run(record: &Record, has_trouble: bool) -> bool {
    let store = Store::start().await;
    let script = |arrived: &Arrived| {
        let headers = "server-signature: s\r\n";
        Reply::after(WORK_TIME, response(&arrived.id, headers, "stored"))
    };
    let mut servers = Vec::new();
    for id in ["i-1", "i-2"] {
        servers.push(Upstream::start(&store, record, id, "myndir", script).await);
    }
    let instance = start_instance(&store, "n-1", 6);
    let rule = json!({
        "name": "photos", "routeType": "upload", "targetLatencyS": 0.5, "priority": 1,
        "match": {"prefix": "/photos/"},
        "action": {"service": "myndir", "timeoutS": 1.2, "maxAttempts": 2},
    });
    let service = json!({"name": "myndir", "healthPath": "/health", "maxConns": 49});
    store.put(
        "op",
        "config",
        &config(&[instance.traffic], &rule, &service),
    );
    wait_until_served(instance.traffic, Method::POST, "/photos/1", None).await;
    let sizes = if has_trouble {
        LARGE_BYTES
    } else {
        USUAL_BYTES
    };
    let mut is_broken = false;
    for (number, size) in sizes.into_iter().enumerate() {
        let id = format!("upload-{number}");
        let body: Vec<u8> = (0..size).map(|at| (at * 31 % 251) as u8).collect();
        record.line(&format!("client sends id={id}, {size} bytes in chunks"));
        let status = upload(instance.traffic, &id, &body).await;
        record.line(&format!("client got id={id} {status:?}"));
        for server in &servers {
            let ran = server.arrivals();
            for arrived in ran.iter().filter(|arrived| arrived.id == id) {
                let is_same = arrived.body == body;
                is_broken |= !is_same;
                let bytes = arrived.body.len();
                record.line(&format!(
                    "id={id} ran at {} with {bytes} of {size} bytes, same body: {is_same}",
                    server.id
                ));
            }
        }
    }
    is_broken
}

/// Sends a body in chunks, and returns the status line of the answer.
async fn upload(to: SocketAddr, id: &str, body: &[u8]) -> Option<String> {
    let mut stream = TcpStream::connect(to).await.ok()?;
    let host = to.ip();
    let head = format!(
        "POST /photos/1 HTTP/1.1\r\nhost: {host}\r\nrequest-id: {id}\r\ndeadline-ms: 1200\r\n\
         transfer-encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.ok()?;
    for chunk in body.chunks(CHUNK_BYTES) {
        let size = format!("{:x}\r\n", chunk.len());
        stream.write_all(size.as_bytes()).await.ok()?;
        stream.write_all(chunk).await.ok()?;
        stream.write_all(b"\r\n").await.ok()?;
    }
    stream.write_all(b"0\r\n\r\n").await.ok()?;
    let mut read = vec![0; 1_024];
    let answer = timeout(Duration::from_secs(5), stream.read(&mut read));
    let size = answer.await.ok()?.ok()?;
    let text = String::from_utf8_lossy(&read[..size]).into_owned();
    text.lines().next().map(str::to_string)
}
