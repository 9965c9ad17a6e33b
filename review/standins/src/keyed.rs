//! Upstream of a service divided by key: grants, slots, a queue, and rejections.

use {
    crate::{
        record::Record,
        support::Store,
        upstream::{entry, header, read_request, response_with},
    },
    serde_json::Value,
    std::{
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncWriteExt, BufReader},
        net::{TcpListener, TcpStream},
        sync::Semaphore,
        time::sleep,
    },
};

/// Number of keys.
const KEYS: usize = 65_536;

/// Properties of an upstream.
#[derive(Clone, Copy)]
pub struct Traits {
    pub slots: usize,
    pub queue: usize,
    pub work_time: Duration,
    /// Share of its answers that a faulty upstream sends a second time, at the point where the
    /// next answer on the connection is expected.
    pub extra_share: f64,
    /// Whether rejections repeat the ids of their requests.
    pub names_rejections: bool,
}

struct Keys {
    /// Epoch and end of the hold of each key.
    held: Vec<(u64, Option<Instant>)>,
    seen: Vec<u64>,
    running: Vec<u16>,
}

#[derive(Default)]
struct Counts {
    answers: usize,
    extras: usize,
}

/// Upstream, listening and registered in the store.
#[derive(Clone)]
pub struct KeyedUpstream {
    pub id: String,
    traits: Traits,
    keys: Arc<Mutex<Keys>>,
    counts: Arc<Mutex<Counts>>,
    slots: Arc<Semaphore>,
    waiting: Arc<Mutex<usize>>,
    ran: Arc<Mutex<Vec<String>>>,
    record: Record,
}

impl KeyedUpstream {
    pub async fn start(
        store: &Store,
        record: &Record,
        id: &str,
        service: &str,
        traits: Traits,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let upstream = Self {
            id: id.to_string(),
            traits,
            keys: Arc::new(Mutex::new(Keys {
                held: vec![(0, None); KEYS],
                seen: vec![0; KEYS],
                running: Vec::new(),
            })),
            counts: Arc::default(),
            slots: Arc::new(Semaphore::new(traits.slots)),
            waiting: Arc::default(),
            ran: Arc::default(),
            record: record.clone(),
        };
        store.put("servers", id, &entry(service, address, traits.slots));
        tokio::spawn(upstream.clone().accept(listener));
        upstream
    }

    /// Ids of the requests that the upstream began to run.
    pub fn runs(&self) -> Vec<String> {
        self.ran.lock().unwrap().clone()
    }

    /// Number of answers, and of those sent a second time.
    pub fn answers(&self) -> (usize, usize) {
        let counts = self.counts.lock().unwrap();
        (counts.answers, counts.extras)
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
        let mut extra: Option<(String, Vec<u8>)> = None;
        loop {
            let (head, body) = read_request(&mut reader).await?;
            let id = header(&head, "request-id").unwrap_or_default();
            if let Some((last, bytes)) = extra.take()
                && (last == id || !self.traits.names_rejections)
                && self.take_extra()
            {
                self.record.line(&format!(
                    "{} sends its last answer on the connection, that to id={id}, again",
                    self.id
                ));
                writer.write_all(&bytes).await.ok()?;
            }
            let line = head.lines().next().unwrap_or_default();
            let (status, bytes) = match line.split(' ').nth(1) {
                Some("/citronproxy/grant") => self.grant(&id, &body),
                Some("/citronproxy/release") => self.release(&id, &body).await,
                Some("/health") => {
                    let named = format!("instance-id: {}\r\n", self.id);
                    (200, response_with("200 OK", &id, &named, ""))
                }
                _ => self.request(&head, &id).await,
            };
            // Counted are answers to requests.
            if !line.contains("/citronproxy/") && !line.contains("/health") {
                self.counts.lock().unwrap().answers += 1;
                if matches!(status, 421 | 503) {
                    extra = Some((id.clone(), bytes.clone()));
                }
            }
            writer.write_all(&bytes).await.ok()?;
        }
    }

    /// Whether another answer may be sent twice: the share allows it, and there is room for the
    /// request that now comes.
    fn take_extra(&self) -> bool {
        let is_full = self.slots.available_permits() == 0
            && *self.waiting.lock().unwrap() >= self.traits.queue;
        let mut counts = self.counts.lock().unwrap();
        let allowed = self.traits.extra_share * counts.answers as f64;
        let may_send = !is_full && (counts.extras + 1) as f64 <= allowed;
        counts.extras += usize::from(may_send);
        may_send
    }

    /// Rejection of a request, which has not run.
    fn rejection(&self, status: &str, id: &str) -> Vec<u8> {
        let not_run = "not-executed: 1\r\n";
        match self.traits.names_rejections {
            true => response_with(status, id, not_run, ""),
            false => {
                format!("HTTP/1.1 {status}\r\n{not_run}content-length: 0\r\n\r\n").into_bytes()
            }
        }
    }

    fn grant(&self, id: &str, body: &[u8]) -> (u16, Vec<u8>) {
        let grant: Value = serde_json::from_slice(body).unwrap();
        let range = key_range(&grant);
        let fence = grant["fence"].as_u64().unwrap();
        let hold = Duration::from_secs_f64(grant["holdS"].as_f64().unwrap());
        let mut keys = self.keys.lock().unwrap();
        if keys.seen[range.clone()].iter().any(|seen| *seen > fence) {
            return (409, response_with("409 Conflict", id, "", ""));
        }
        let until = Instant::now() + hold;
        keys.seen[range.clone()].fill(fence);
        keys.held[range].fill((fence, Some(until)));
        (200, response_with("200 OK", id, "", ""))
    }

    async fn release(&self, id: &str, body: &[u8]) -> (u16, Vec<u8>) {
        let release: Value = serde_json::from_slice(body).unwrap();
        let range = key_range(&release);
        let fence = release["fence"].as_u64().unwrap();
        {
            let mut keys = self.keys.lock().unwrap();
            keys.held[range.clone()].fill((0, None));
            for seen in &mut keys.seen[range.clone()] {
                *seen = fence.max(*seen);
            }
        }
        let is_running = || {
            let keys = self.keys.lock().unwrap();
            keys.running
                .iter()
                .any(|key| range.contains(&usize::from(*key)))
        };
        while is_running() {
            sleep(Duration::from_millis(5)).await;
        }
        let handover = format!("handover: from-{}\r\n", self.id);
        (200, response_with("200 OK", id, &handover, ""))
    }

    async fn request(&self, head: &str, id: &str) -> (u16, Vec<u8>) {
        let expected = header(head, "expected-instance");
        let key: u16 = header(head, "shard-key").unwrap().parse().unwrap();
        let is_held = || {
            let keys = self.keys.lock().unwrap();
            let until = keys.held[usize::from(key)].1;
            until.is_some_and(|until| Instant::now() < until)
        };
        if expected.is_some_and(|expected| expected != self.id) || !is_held() {
            self.record
                .line(&format!("{} rejects id={id} with 421", self.id));
            return (421, self.rejection("421 Misdirected Request", id));
        }
        let permit = match self.slots.clone().try_acquire_owned() {
            Ok(permit) => permit,
            Err(_) => {
                {
                    let mut waiting = self.waiting.lock().unwrap();
                    if *waiting >= self.traits.queue {
                        self.record
                            .line(&format!("{} rejects id={id} with 503, full", self.id));
                        return (503, self.rejection("503 Service Unavailable", id));
                    }
                    *waiting += 1;
                }
                let permit = self.slots.clone().acquire_owned().await.unwrap();
                *self.waiting.lock().unwrap() -= 1;
                permit
            }
        };
        if !is_held() {
            return (421, self.rejection("421 Misdirected Request", id));
        }
        self.keys.lock().unwrap().running.push(key);
        self.record.line(&format!("{} runs id={id}", self.id));
        self.ran.lock().unwrap().push(id.to_string());
        sleep(self.traits.work_time).await;
        let mut keys = self.keys.lock().unwrap();
        let position = keys.running.iter().position(|running| *running == key);
        keys.running.swap_remove(position.unwrap());
        drop(permit);
        let signature = "server-signature: s\r\n";
        (200, response_with("200 OK", id, signature, "done"))
    }
}

fn key_range(call: &Value) -> std::ops::Range<usize> {
    let [from, target] = ["from", "target"].map(|name| call[name].as_u64().unwrap() as usize);
    from..target + 1
}
