//! Stand-in of an upstream of a service that is divided by keys.

use crate::{
    http::{Connection, Message},
    json::Json,
    record::Record,
    store::Store,
};
use std::{
    collections::BTreeSet,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering::SeqCst},
        Arc, Condvar, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

/// Interval at which an upstream writes its entry.
pub const HEARTBEAT: Duration = Duration::from_millis(870);
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// Path of requests with a long answer.
pub const REPORT_PATH: &str = "/bars/report";
/// Length of a long answer.
const REPORT_BYTES: usize = 160_000;
/// Two in a hundred.
const BREAK_OFF_EACH: u64 = 50;

#[derive(Clone, Debug)]
struct Hold {
    first: u64,
    last: u64,
    epoch: u64,
    until: Instant,
}

/// A hold that began or ended, for the check afterwards.
#[derive(Clone, Debug)]
pub struct Period {
    pub server: String,
    pub first: u64,
    pub last: u64,
    pub epoch: u64,
    pub from: Instant,
    pub until: Instant,
}

#[derive(Default)]
struct State {
    holds: Vec<(Hold, Instant)>,
    seen: Vec<(u64, u64, u64)>,
    running: Vec<u64>,
    periods: Vec<Period>,
}

#[derive(Clone)]
pub struct Upstream {
    pub id: String,
    pub address: SocketAddr,
    zone: String,
    state: Arc<(Mutex<State>, Condvar)>,
    is_draining: Arc<AtomicBool>,
    /// Whether its entry is to be removed while it goes on serving.
    is_withdrawn: Arc<AtomicBool>,
    has_exited: Arc<AtomicBool>,
    /// Whether it breaks off one in [`BREAK_OFF_EACH`] of its answers.
    pub breaks_off: Arc<AtomicBool>,
    answers: Arc<AtomicU64>,
    /// Requests that it has run and answered whole.
    pub answered: Arc<Mutex<BTreeSet<String>>>,
    sockets: Arc<Mutex<Vec<TcpStream>>>,
    sequence: Arc<AtomicU64>,
    record: Record,
}

impl Upstream {
    pub fn start(id: &str, zone: &str, store: &Store, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let upstream = Self {
            id: id.to_string(),
            address: listener.local_addr().expect("its address"),
            zone: zone.to_string(),
            state: Arc::default(),
            is_draining: Arc::default(),
            is_withdrawn: Arc::default(),
            has_exited: Arc::default(),
            breaks_off: Arc::default(),
            answers: Arc::default(),
            answered: Arc::default(),
            sockets: Arc::default(),
            sequence: Arc::default(),
            record: record.clone(),
        };
        let server = upstream.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if server.has_exited.load(SeqCst) {
                    return;
                }
                server.sockets.lock().unwrap().extend(stream.try_clone());
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        let (server, store) = (upstream.clone(), store.clone());
        thread::spawn(move || server.send_heartbeats(&store));
        upstream
    }

    /// Writes the entry at each heartbeat. Once the upstream is withdrawn, removes the entry, as
    /// soon as the store answers.
    fn send_heartbeats(&self, store: &Store) {
        let mut due = Instant::now();
        while !self.has_exited.load(SeqCst) {
            if self.is_withdrawn.load(SeqCst) {
                if store.put("servers", &self.id, None) {
                    self.record
                        .line(&format!("{}: its entry is removed", self.id));
                    return;
                }
            } else if Instant::now() >= due {
                self.write_entry(store);
                due += HEARTBEAT;
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Reports that it leaves, and exits after `lifetime`.
    pub fn drain(&self, store: &Store, lifetime: Duration) {
        self.record
            .line(&format!("{}: drains, serves for {lifetime:?}", self.id));
        self.is_draining.store(true, SeqCst);
        self.write_entry(store);
        self.exit_after(lifetime);
    }

    /// Leaves without a report: its entry is removed, and it exits after `lifetime`.
    pub fn withdraw(&self, lifetime: Duration) {
        self.record.line(&format!(
            "{}: leaves without a report, serves for {lifetime:?}",
            self.id
        ));
        self.is_withdrawn.store(true, SeqCst);
        self.exit_after(lifetime);
    }

    fn exit_after(&self, lifetime: Duration) {
        let server = self.clone();
        thread::spawn(move || {
            thread::sleep(lifetime);
            server.exit();
        });
    }

    fn exit(&self) {
        self.record.line(&format!("{}: exits", self.id));
        self.has_exited.store(true, SeqCst);
        self.cut(&mut self.state.0.lock().unwrap(), 0, 65_535);
        for socket in self.sockets.lock().unwrap().drain(..) {
            let _ = socket.shutdown(Shutdown::Both);
        }
        // Wakes the thread that accepts connections, which then closes the listener.
        let _ = TcpStream::connect(self.address);
    }

    fn write_entry(&self, store: &Store) -> bool {
        let state = match self.is_draining.load(SeqCst) {
            true => "draining",
            false => "ready",
        };
        let (address, zone) = (self.address, &self.zone);
        let number = self.sequence.fetch_add(1, SeqCst);
        let entry = format!(
            "{{\"service\":\"cashledger\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":2,\"state\":\"{state}\",\"warmupLeftS\":0,\"seqNo\":{number}}}"
        );
        store.put("servers", &self.id, Some(&entry))
    }

    /// Periods in which the upstream has held keys.
    pub fn periods(&self) -> Vec<Period> {
        let state = self.state.0.lock().unwrap();
        let mut periods = state.periods.clone();
        let now = Instant::now();
        periods.extend(
            state
                .holds
                .iter()
                .map(|(hold, from)| self.period(hold, *from, now)),
        );
        periods
    }

    /// Whether it holds keys that were granted since a moment, and not before.
    pub fn has_gained(&self, since: Instant) -> bool {
        let periods = self.periods();
        let held_before = |key: u64| {
            let holds = |period: &&Period| (period.first..=period.last).contains(&key);
            periods
                .iter()
                .filter(holds)
                .any(|period| period.from < since)
        };
        let now = Instant::now();
        periods.iter().any(|period| {
            period.from >= since && period.until + HEARTBEAT > now && !held_before(period.first)
        })
    }

    fn period(&self, hold: &Hold, from: Instant, end: Instant) -> Period {
        Period {
            server: self.id.clone(),
            first: hold.first,
            last: hold.last,
            epoch: hold.epoch,
            from,
            until: end.min(hold.until),
        }
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.read(true) {
            let arrived = Instant::now();
            let (status, headers) = self.handle(&request, arrived);
            let mut head = format!("HTTP/1.1 {status} x\r\n{headers}");
            let id = request.header("request-id").unwrap_or("-");
            if id != "-" {
                head += &format!("Request-Id: {id}\r\n");
            }
            let is_report = request.target().starts_with(REPORT_PATH) && status == 200;
            let body = match is_report {
                true => vec![b'x'; REPORT_BYTES],
                false => b"ok".to_vec(),
            };
            let has_run = headers.contains("Server-Signature");
            let number = self.answers.fetch_add(u64::from(has_run), SeqCst) + 1;
            if has_run && self.breaks_off.load(SeqCst) && number.is_multiple_of(BREAK_OFF_EACH) {
                self.record
                    .line(&format!("{}: breaks the answer to {id} off", self.id));
                let part = body.len() * 3 / 4;
                let _ = connection.write_part(&head, &body, part);
                let _ = connection.stream.shutdown(Shutdown::Both);
                return;
            }
            if connection.write(&head, &body).is_err() {
                return;
            }
            if has_run {
                self.answered.lock().unwrap().insert(id.to_string());
            }
        }
    }

    fn handle(&self, request: &Message, arrived: Instant) -> (u16, String) {
        let path = request.target().split('?').next().unwrap_or("");
        if path == "/health" {
            return (200, format!("Instance-Id: {}\r\n", self.id));
        }
        if request
            .header("expected-instance")
            .is_some_and(|id| id != self.id)
        {
            return (
                421,
                format!("Not-Executed: 1\r\nInstance-Id: {}\r\n", self.id),
            );
        }
        match path {
            "/citronproxy/grant" => self.grant(&request.body, arrived),
            "/citronproxy/release" => self.release(&request.body),
            _ => self.run(request),
        }
    }

    fn grant(&self, body: &[u8], arrived: Instant) -> (u16, String) {
        let Some((first, last, epoch, hold_s)) = order(body) else {
            return (400, String::new());
        };
        let mut state = self.state.0.lock().unwrap();
        if self.has_exited.load(SeqCst) {
            return (500, String::new());
        }
        let overlaps = |f: u64, l: u64| f <= last && first <= l;
        if state
            .seen
            .iter()
            .any(|(f, l, e)| overlaps(*f, *l) && *e > epoch)
        {
            self.record.line(&format!(
                "{}: grant {first}-{last} epoch {epoch} refused",
                self.id
            ));
            return (409, String::new());
        }
        let until = arrived + Duration::from_secs_f64(hold_s.min(10.0));
        self.cut(&mut state, first, last);
        let hold = Hold {
            first,
            last,
            epoch,
            until,
        };
        state.holds.push((hold, Instant::now()));
        state.seen.push((first, last, epoch));
        self.record.line(&format!(
            "{}: grant {first}-{last} epoch {epoch} for {hold_s} s",
            self.id
        ));
        (200, String::new())
    }

    fn release(&self, body: &[u8]) -> (u16, String) {
        let Some((first, last, epoch, _)) = order(body) else {
            return (400, String::new());
        };
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        self.cut(&mut state, first, last);
        state.seen.push((first, last, epoch));
        self.record.line(&format!(
            "{}: release {first}-{last} epoch {epoch}",
            self.id
        ));
        while state.running.iter().any(|key| (first..=last).contains(key)) {
            state = changed.wait(state).unwrap();
        }
        (200, format!("Handover: from-{}\r\n", self.id))
    }

    /// Ends what is held of these keys, and keeps the rest.
    fn cut(&self, state: &mut State, first: u64, last: u64) {
        let now = Instant::now();
        for (hold, from) in std::mem::take(&mut state.holds) {
            if hold.last < first || last < hold.first {
                state.holds.push((hold, from));
                continue;
            }
            state.periods.push(self.period(&hold, from, now));
            if hold.first < first {
                state.holds.push((
                    Hold {
                        last: first - 1,
                        ..hold.clone()
                    },
                    now,
                ));
            }
            if last < hold.last {
                state.holds.push((
                    Hold {
                        first: last + 1,
                        ..hold.clone()
                    },
                    now,
                ));
            }
        }
    }

    fn run(&self, request: &Message) -> (u16, String) {
        let key = request.header("shard-key").and_then(|key| key.parse().ok());
        let key: u64 = key.unwrap_or(u64::MAX);
        let id = request.header("request-id").unwrap_or("-");
        let (lock, changed) = &*self.state;
        {
            let mut state = lock.lock().unwrap();
            let now = Instant::now();
            let holds = |hold: &Hold| (hold.first..=hold.last).contains(&key) && hold.until > now;
            if !state.holds.iter().any(|(hold, _)| holds(hold)) {
                return (421, "Not-Executed: 1\r\n".to_string());
            }
            state.running.push(key);
        }
        self.record
            .line(&format!("{}: runs {id} key {key}", self.id));
        thread::sleep(SERVICE_TIME);
        let mut state = lock.lock().unwrap();
        if let Some(position) = state.running.iter().position(|running| *running == key) {
            state.running.swap_remove(position);
        }
        changed.notify_all();
        (200, "Server-Signature: signed\r\n".to_string())
    }
}

fn order(body: &[u8]) -> Option<(u64, u64, u64, f64)> {
    let body = Json::parse(std::str::from_utf8(body).ok()?)?;
    let number = |name| body.get(name).and_then(Json::number);
    let hold_s = number("holdS").unwrap_or(0.0);
    Some((
        number("from")? as u64,
        number("target")? as u64,
        number("fence")? as u64,
        hold_s,
    ))
}

/// Two upstreams that held a key at the same time.
pub struct Overlap {
    pub one: Period,
    pub other: Period,
    pub from: Instant,
    pub until: Instant,
}

/// Periods of at least `least` in which two upstreams held the same key.
pub fn overlaps(upstreams: &[Upstream], least: Duration) -> Vec<Overlap> {
    let mut periods: Vec<Period> = upstreams.iter().flat_map(Upstream::periods).collect();
    // A renewal continues a period.
    periods.sort_by_key(|period| period.from);
    let mut found = Vec::new();
    for (index, one) in periods.iter().enumerate() {
        for other in &periods[index + 1..] {
            let shares = one.first <= other.last && other.first <= one.last;
            let (from, until) = (one.from.max(other.from), one.until.min(other.until));
            if one.server != other.server && shares && until > from {
                found.push(Overlap {
                    one: one.clone(),
                    other: other.clone(),
                    from,
                    until,
                });
            }
        }
    }
    // Renewals split a period: spans of the same two upstreams and keys are added up.
    let mut joined: Vec<Overlap> = Vec::new();
    found.sort_by_key(|overlap| overlap.from);
    for overlap in found {
        let same = |known: &&mut Overlap| {
            let names = |o: &Overlap| {
                let mut names = [o.one.server.clone(), o.other.server.clone()];
                names.sort();
                names
            };
            names(known) == names(&overlap)
                && known.one.first.max(known.other.first)
                    <= overlap.one.last.min(overlap.other.last)
                && overlap.from <= known.until + Duration::from_millis(5)
        };
        match joined.iter_mut().find(same) {
            Some(known) => known.until = known.until.max(overlap.until),
            None => joined.push(overlap),
        }
    }
    joined.retain(|overlap| overlap.until - overlap.from >= least);
    joined
}
