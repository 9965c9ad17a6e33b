//! An instance that leaves under traffic.

mod support;

use {
    bytes::Bytes,
    citron_core::table::{Fencing, Row},
    citron_fakes::{
        backend::{BackendConfig, BackendServer},
        platform::PlatformServer,
        scripted::{ScriptedServer, Step},
    },
    http::{Request, Response, header},
    http_body_util::{BodyExt, Full},
    hyper::{
        body::Incoming,
        client::conn::http1::{SendRequest, handshake},
    },
    hyper_util::rt::TokioIo,
    std::{
        collections::BTreeSet,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant},
    },
    support::{Instance, SampleConfig, TEST_TIMEOUT, commit_rows, domain_row, get, sample_rows},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::sleep,
    },
};

/// Callers that send requests continuously.
const CALLER_COUNT: usize = 12;
/// Size of the upload and of the download, in bytes.
const BODY_SIZE: usize = 24 * 1_024 * 1_024;
/// Parts of the upload and of the download, with a pause after each.
const PART_COUNT: usize = 48;
/// Pause after each part; the download pauses for half of it after each read.
const PART_PAUSE: Duration = Duration::from_millis(60);

async fn is_ready(address: SocketAddr) -> bool {
    let reply = get(address, "/readyz").await;
    reply.is_ok_and(|reply| reply.status.is_success())
}

async fn wait_until_ready(address: SocketAddr) {
    let started = Instant::now();
    while !is_ready(address).await {
        assert!(
            started.elapsed() < TEST_TIMEOUT,
            "{address} did not become ready"
        );
        sleep(Duration::from_millis(20)).await;
    }
}

/// A caller that balances over two instances: it keeps a connection until a response closes it,
/// and then connects to the first instance that is ready.
struct Caller {
    instances: [SocketAddr; 2],
    sender: Option<SendRequest<Full<Bytes>>>,
}

impl Caller {
    async fn connect(&self) -> SendRequest<Full<Bytes>> {
        loop {
            for address in self.instances {
                if !is_ready(address).await {
                    continue;
                }
                // A refused connection loses no request; the next instance is tried.
                let Ok(stream) = TcpStream::connect(address).await else {
                    continue;
                };
                let (sender, driver) = handshake(TokioIo::new(stream)).await.expect("a handshake");
                tokio::spawn(driver);
                return sender;
            }
        }
    }

    async fn post(&mut self, id: &str) -> Result<(), String> {
        let mut sender = match self.sender.take() {
            Some(sender) => sender,
            None => self.connect().await,
        };
        let request = Request::post(format!("/kegs/bar-{id}"))
            .header("host", "kegs")
            .header("test-id", id)
            .body(Full::from("pickup"))
            .expect("a request");
        let sent = sender.send_request(request).await;
        let answer = sent.map_err(|error| format!("{id}: no response: {error}"))?;
        let close = answer.headers().contains_key(header::CONNECTION);
        check_response(id, answer).await?;
        if !close && sender.ready().await.is_ok() {
            self.sender = Some(sender);
        }
        Ok(())
    }
}

/// Checks that a response is complete, has status 200 and reports that the request ran.
async fn check_response(id: &str, answer: Response<Incoming>) -> Result<(), String> {
    let ran = answer
        .headers()
        .get("citron-outcome")
        .is_some_and(|v| v == "ran");
    let status = answer.status();
    let body = answer.into_body().collect().await;
    let body = body
        .map_err(|error| format!("{id}: truncated response: {error}"))?
        .to_bytes();
    if !ran || status != 200 {
        return Err(format!("{id}: {status} {}", String::from_utf8_lossy(&body)));
    }
    Ok(())
}

/// Sends requests until stopped; returns the id of each, or what failed.
async fn run_caller(
    number: usize,
    instances: [SocketAddr; 2],
    stop: Arc<AtomicBool>,
) -> Vec<Result<String, String>> {
    let sender = None;
    let mut caller = Caller { instances, sender };
    let mut results = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let id = format!("{number}-{}", results.len());
        results.push(caller.post(&id).await.map(|()| id));
        // Callers other than the first pause, so that their connections are sometimes idle.
        sleep(Duration::from_millis(5 * number as u64)).await;
    }
    results
}

/// Uploads `BODY_SIZE` bytes slowly and returns the response.
async fn slow_upload(address: SocketAddr) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = format!(
        "POST /kegs/photos HTTP/1.1\r\nhost: a\r\ntest-id: upload\r\ncontent-length: {BODY_SIZE}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let part = vec![b'x'; BODY_SIZE / PART_COUNT];
    for _ in 0..PART_COUNT {
        stream
            .write_all(&part)
            .await
            .expect("the instance accepts the rest of the upload");
        sleep(PART_PAUSE).await;
    }
    support::read_all(&mut stream, TEST_TIMEOUT).await
}

/// Downloads a body slowly and returns the number of bytes that arrived.
async fn slow_download(address: SocketAddr) -> usize {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = b"GET /photos/all HTTP/1.1\r\nhost: a\r\n\r\n";
    stream.write_all(request).await.unwrap();
    let mut buffer = vec![0; BODY_SIZE / PART_COUNT];
    let mut answer = Vec::new();
    loop {
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => break,
            Ok(read) => answer.extend_from_slice(&buffer[..read]),
        }
        sleep(PART_PAUSE / 2).await;
    }
    let head = answer.windows(4).position(|part| part == b"\r\n\r\n");
    answer.len() - head.map_or(0, |head| head + 4)
}

/// Rows of a second service, `photos`, with a server of its own.
fn photos_rows(address: SocketAddr) -> Vec<Row> {
    let servers = vec![("photos-1".to_string(), "harbour".to_string(), address)];
    let fencing = Fencing::Unchecked;
    let mut rows = sample_rows(&SampleConfig { servers, fencing });
    let name: citron_core::id::ServiceName = "photos".parse().unwrap();
    for row in &mut rows {
        match row {
            Row::Service(row) => {
                row.name = name.clone();
                row.prefix = "/photos".to_string();
            }
            Row::Block(row) => row.service = name.clone(),
            Row::Server(row) => row.service = name.clone(),
            _ => {}
        }
    }
    rows
}

/// Twelve callers send requests continuously through two instances. One instance is asked to
/// leave while a 24 MiB upload and a slow download pass through it. Both transfers must
/// complete, every request must run exactly once and get a complete response, and the instance
/// must exit with code 0.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_leaves_and_no_request_is_lost() {
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let platform = PlatformServer::start(any).await.unwrap();
    let config = BackendConfig {
        name: "server-1".to_string(),
        slots: 64,
        work: Duration::from_millis(5),
        checks_grants: false,
    };
    let server = BackendServer::start(any, config).await.unwrap();
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {BODY_SIZE}\r\n\r\n");
    let large = Step::Write(head + &"y".repeat(BODY_SIZE));
    let raw = ScriptedServer::start(vec![vec![Step::ReadRequest, large]])
        .await
        .unwrap();
    let servers = vec![(
        "server-1".to_string(),
        "harbour".to_string(),
        server.address,
    )];
    let fencing = Fencing::Unchecked;
    let mut rows = sample_rows(&SampleConfig { servers, fencing });
    rows.extend(photos_rows(raw.address));
    rows.push(domain_row("harbour"));
    commit_rows(&platform.memory, "test", rows).await;

    let mut leaving = Instance::start("entry-1", "harbour", platform.address);
    let staying = Instance::start("entry-2", "harbour", platform.address);
    wait_until_ready(leaving.traffic).await;
    wait_until_ready(staying.traffic).await;
    let stop = Arc::new(AtomicBool::new(false));
    let instances = [leaving.traffic, staying.traffic];
    let callers = (0..CALLER_COUNT)
        .map(|number| tokio::spawn(run_caller(number, instances, Arc::clone(&stop))));
    let callers: Vec<_> = callers.collect();
    let upload = tokio::spawn(slow_upload(leaving.traffic));
    let download = tokio::spawn(slow_download(leaving.traffic));
    sleep(Duration::from_millis(600)).await;

    leaving.terminate();
    sleep(Duration::from_millis(200)).await;
    assert!(
        !is_ready(leaving.traffic).await,
        "the leaving instance still reports ready"
    );
    let started = Instant::now();
    let code = loop {
        if let Some(code) = leaving.exit_code() {
            break code;
        }
        assert!(
            started.elapsed() < TEST_TIMEOUT,
            "the leaving instance does not exit"
        );
        sleep(Duration::from_millis(20)).await;
    };
    stop.store(true, Ordering::Relaxed);
    let mut results = Vec::new();
    for caller in callers {
        results.extend(caller.await.unwrap());
    }

    assert_eq!(code, 0);
    let uploaded = upload.await.unwrap();
    assert!(
        uploaded.contains(&format!("\"received\":{BODY_SIZE}")),
        "{uploaded}"
    );
    assert_eq!(download.await.unwrap(), BODY_SIZE);
    let lost: Vec<&String> = results
        .iter()
        .filter_map(|result| result.as_ref().err())
        .collect();
    assert!(
        lost.is_empty(),
        "{} of {} lost: {lost:?}",
        lost.len(),
        results.len()
    );
    let sent: BTreeSet<&String> = results.iter().flatten().collect();
    let ran: Vec<String> = server
        .executions
        .all()
        .iter()
        .map(|run| run.id.clone())
        .collect();
    let ran: Vec<&String> = ran.iter().filter(|id| *id != "upload").collect();
    assert!(sent.len() > 100, "too little traffic: {}", sent.len());
    assert_eq!(
        ran.len(),
        sent.len(),
        "a request ran more than once or not at all"
    );
    assert_eq!(ran.into_iter().collect::<BTreeSet<_>>(), sent);
}
