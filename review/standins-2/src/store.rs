//! Stand-in of the platform's store: rows, transactions, feeds, and the drill in which it comes
//! back from a copy.

use crate::{
    http::Connection,
    json::{base64, quoted, Json},
    record::Record,
};
use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Time of an answer, as the site file says.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Time of a transaction, as the settings say.
const TRANSACTION_TIME: Duration = Duration::from_millis(8);

type Key = (String, String);

#[derive(Clone, Default)]
struct Rows {
    version: u64,
    /// Value, in base64, and version; no value if the row was removed.
    rows: BTreeMap<Key, (Option<String>, u64)>,
}

#[derive(Default)]
struct State {
    rows: Rows,
    era: u64,
    is_away: bool,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
    started: Instant,
    record: Record,
}

/// Copy of all rows, as of a moment.
pub struct Copy(Rows);

impl Store {
    pub fn start(record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Self {
            address: listener.local_addr().expect("its address"),
            state: Arc::default(),
            started: Instant::now(),
            record: record.clone(),
        };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        store
    }

    /// Writes a row as the operator or an upstream does; `false` while the store is away.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) -> bool {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        if state.is_away {
            return false;
        }
        let value = value.map(|value| base64(value.as_bytes()));
        let rows = &mut state.rows;
        let row = (table.to_string(), key.to_string());
        if value.is_none() && rows.rows.get(&row).is_none_or(|row| row.0.is_none()) {
            return true;
        }
        rows.version += 1;
        rows.rows.insert(row, (value, rows.version));
        changed.notify_all();
        true
    }

    pub fn copy(&self) -> Copy {
        Copy(self.state.0.lock().unwrap().rows.clone())
    }

    /// Nothing is answered until the store comes back.
    pub fn go_away(&self) {
        self.record.line("store: away");
        self.state.0.lock().unwrap().is_away = true;
        self.state.1.notify_all();
    }

    /// The store is back, with the rows of a copy and a new era.
    pub fn come_back(&self, copy: Copy) {
        let mut state = self.state.0.lock().unwrap();
        let lost = state.rows.version - copy.0.version;
        state.rows = copy.0;
        state.era += 1;
        state.is_away = false;
        self.record.line(&format!(
            "store: back from a copy, era {}, {lost} transactions lost",
            state.era
        ));
        self.state.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.read(true) {
            thread::sleep(ANSWER_TIME);
            let target = request.target().to_string();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let parameter = |name: &str| {
                let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                pairs
                    .into_iter()
                    .find(|pair| pair.0 == name)
                    .map(|pair| pair.1.to_string())
            };
            let era = self.state.0.lock().unwrap().era;
            let answer = match path {
                "/citronproxy/rows-tx" => self.transact(&request.body),
                "/citronproxy/rows-get" => self.read(&parameter("table").unwrap_or_default()),
                "/citronproxy/rows-feed" => {
                    let number = |name| parameter(name).and_then(|text| text.parse().ok());
                    let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
                    let table = parameter("table").unwrap_or_default();
                    self.feed(&table, number("after").unwrap_or(0), wait)
                }
                _ => Some((404, "{}".to_string())),
            };
            // While the store is away, and over its return, calls get no answer.
            let state = self.state.0.lock().unwrap();
            let Some((status, body)) = answer.filter(|_| !state.is_away && state.era == era) else {
                return;
            };
            drop(state);
            let head = format!(
                "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nStore-Era: {era}\r\n"
            );
            if connection.write(&head, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    fn transact(&self, body: &[u8]) -> Option<(u16, String)> {
        thread::sleep(TRANSACTION_TIME);
        let body = Json::parse(std::str::from_utf8(body).ok()?)?;
        let row = |entry: &Json| -> Option<Key> {
            let text = |name| entry.get(name)?.text().map(str::to_string);
            Some((text("table")?, text("key")?))
        };
        let list = |name: &str| body.get(name).map_or(&[][..], Json::list);
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        if state.is_away {
            return None;
        }
        for entry in list("expectedRev") {
            let known = state
                .rows
                .rows
                .get(&row(entry)?)
                .filter(|known| known.0.is_some());
            let version = known.map_or(0, |known| known.1);
            if Some(version as f64) != entry.get("ver").and_then(Json::number) {
                return Some((412, "{\"rows\":[]}".to_string()));
            }
        }
        let version = state.rows.version + 1;
        state.rows.version = version;
        for entry in list("setKeys") {
            let value = entry.get("value")?.text()?.to_string();
            state.rows.rows.insert(row(entry)?, (Some(value), version));
        }
        for entry in list("remove") {
            state.rows.rows.insert(row(entry)?, (None, version));
        }
        changed.notify_all();
        Some((
            200,
            format!("{{\"ver\":{version},\"nowS\":{}}}", self.now()),
        ))
    }

    fn rows_text(
        &self,
        state: &State,
        wanted: impl Fn(&Key, &(Option<String>, u64)) -> bool,
    ) -> String {
        let rows = state.rows.rows.iter().filter(|(key, row)| wanted(key, row));
        let rows = rows.map(|((table, key), (value, version))| {
            let rest = match value {
                Some(value) => format!("\"value\":{}", quoted(value)),
                None => "\"removed\":true".to_string(),
            };
            let (table, key) = (quoted(table), quoted(key));
            format!("{{\"table\":{table},\"part\":\"\",\"key\":{key},\"ver\":{version},{rest}}}")
        });
        let rows: Vec<String> = rows.collect();
        let (rows, version, now) = (rows.join(","), state.rows.version, self.now());
        format!("{{\"rows\":[{rows}],\"hasMore\":false,\"ver\":{version},\"nowS\":{now}}}")
    }

    fn read(&self, table: &str) -> Option<(u16, String)> {
        let state = self.state.0.lock().unwrap();
        let is_live = |key: &Key, row: &(Option<String>, u64)| key.0 == table && row.0.is_some();
        Some((200, self.rows_text(&state, is_live)))
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> Option<(u16, String)> {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let (era, deadline) = (state.era, Instant::now() + wait);
        loop {
            if after > state.rows.version {
                return Some((410, "{}".to_string()));
            }
            let is_new = |key: &Key, row: &(Option<String>, u64)| key.0 == table && row.1 > after;
            let has_new = state.rows.rows.iter().any(|(key, row)| is_new(key, row));
            let left = deadline.saturating_duration_since(Instant::now());
            if has_new || left.is_zero() || state.is_away || state.era != era {
                return Some((200, self.rows_text(&state, is_new)));
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}
