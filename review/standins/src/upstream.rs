//! Upstream without keys, which reads whole requests and answers as a case defines.

use {
    crate::{record::Record, support::Store},
    serde_json::{Value, json},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt, BufReader},
        net::{TcpListener, TcpStream},
        time::sleep,
    },
};

/// A request that arrived completely, and which the upstream runs.
#[derive(Clone)]
pub struct Arrived {
    pub id: String,
    pub body: Vec<u8>,
}

/// An answer, and how long the upstream works on it.
pub struct Reply {
    work_time: Duration,
    bytes: Vec<u8>,
}

impl Reply {
    pub fn after(work_time: Duration, bytes: Vec<u8>) -> Self {
        Self { work_time, bytes }
    }
}

type Script = Arc<dyn Fn(&Arrived) -> Reply + Send + Sync>;

/// Upstream, listening and registered in the store.
#[derive(Clone)]
pub struct Upstream {
    pub id: String,
    arrived: Arc<Mutex<Vec<Arrived>>>,
    script: Script,
    record: Record,
}

impl Upstream {
    pub async fn start(
        store: &Store,
        record: &Record,
        id: &str,
        service: &str,
        script: impl Fn(&Arrived) -> Reply + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let upstream = Self {
            id: id.to_string(),
            arrived: Arc::default(),
            script: Arc::new(script),
            record: record.clone(),
        };
        store.put("servers", id, &entry(service, address, 3));
        tokio::spawn(upstream.clone().accept(listener));
        upstream
    }

    /// Requests that the upstream began to run.
    pub fn arrivals(&self) -> Vec<Arrived> {
        self.arrived.lock().unwrap().clone()
    }

    async fn accept(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(self.clone().serve(stream));
        }
    }

    async fn serve(self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let (reader, mut writer) = stream.into_split();
        let mut reader = BufReader::new(reader);
        loop {
            // A request that does not arrive completely is not run.
            let (head, body) = read_request(&mut reader).await?;
            let line = head.lines().next().unwrap_or_default();
            if line.starts_with("GET /health ") {
                let named = format!("instance-id: {}\r\n", self.id);
                writer.write_all(&response("", &named, "")).await.ok()?;
                continue;
            }
            let id = header(&head, "request-id").unwrap_or_default();
            self.record.line(&format!(
                "{} runs id={id} {line:?}, {} bytes",
                self.id,
                body.len()
            ));
            let arrived = Arrived { id, body };
            let reply = (self.script)(&arrived);
            self.arrived.lock().unwrap().push(arrived);
            sleep(reply.work_time).await;
            writer.write_all(&reply.bytes).await.ok()?;
        }
    }
}

/// Entry of a ready upstream in the store.
pub fn entry(service: &str, address: SocketAddr, slots: usize) -> Value {
    json!({
        "service": service, "address": address, "zone": "east", "version": "v1",
        "slots": slots, "state": "ready", "warmupLeftS": 0, "seqNo": 1,
    })
}

/// Value of a header in a head.
pub fn header(head: &str, name: &str) -> Option<String> {
    head.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        let is_same = key.eq_ignore_ascii_case(name);
        is_same.then(|| value.trim().to_string())
    })
}

/// Answer with status 200.
pub fn response(id: &str, headers: &str, body: &str) -> Vec<u8> {
    response_with("200 OK", id, headers, body)
}

/// Answer that repeats the id of its request.
pub fn response_with(status: &str, id: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\nrequest-id: {id}\r\n{headers}content-length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

async fn read_line(reader: &mut BufReader<impl AsyncReadExt + Unpin>) -> Option<String> {
    let mut line = Vec::new();
    while !line.ends_with(b"\r\n") {
        line.push(reader.read_u8().await.ok()?);
    }
    line.truncate(line.len() - 2);
    String::from_utf8(line).ok()
}

/// Reads a head and its body; `None` at the end of the connection or in a broken message.
pub async fn read_request(
    reader: &mut BufReader<impl AsyncReadExt + Unpin>,
) -> Option<(String, Vec<u8>)> {
    let mut head = String::new();
    loop {
        let line = read_line(reader).await?;
        if line.is_empty() {
            break;
        }
        head.push_str(&line);
        head.push('\n');
    }
    let mut body = Vec::new();
    if header(&head, "transfer-encoding").is_some() {
        loop {
            let size = usize::from_str_radix(&read_line(reader).await?, 16).ok()?;
            let begin = body.len();
            body.resize(begin + size, 0);
            reader.read_exact(&mut body[begin..]).await.ok()?;
            read_line(reader).await?;
            if size == 0 {
                break;
            }
        }
    } else if let Some(length) = header(&head, "content-length") {
        body.resize(length.parse().ok()?, 0);
        reader.read_exact(&mut body).await.ok()?;
    }
    Some((head, body))
}
