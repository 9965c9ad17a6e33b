//! Clients of the instances.

use crate::{deployment::HOST, http::Connection, record::Record};
use std::{
    net::{SocketAddr, TcpStream},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering::SeqCst},
        Arc,
    },
    thread,
    time::Duration,
};

/// Time budget of a request, as the site's sheet says.
const TIME_BUDGET_MS: u64 = 800;

/// Head of a read for a key, without its last line.
pub fn head(path: &str, key: u16, id: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n\
         Deadline-Ms: {TIME_BUDGET_MS}\r\nShard-Key: {key}\r\n"
    )
}

pub fn connect(address: SocketAddr) -> Option<Connection> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    let patience = Duration::from_millis(TIME_BUDGET_MS + 2_000);
    stream.set_read_timeout(Some(patience)).ok()?;
    Some(Connection::new(stream))
}

/// Status of the answer to a read for a key; `None` without an answer.
pub fn get(address: SocketAddr, key: u16, id: &str) -> Option<u16> {
    let mut connection = connect(address)?;
    connection
        .write(&head(&format!("/bars/{key}"), key, id), b"")
        .ok()?;
    Some(connection.read(true).ok()??.status())
}

/// Clients that send reads for keys all over the range until they are told to stop.
pub struct Clients {
    stop: Arc<AtomicBool>,
    tasks: Vec<thread::JoinHandle<()>>,
}

impl Clients {
    pub fn start(count: u64, addresses: Vec<SocketAddr>, record: &Record) -> Self {
        let stop: Arc<AtomicBool> = Arc::default();
        let number: Arc<AtomicU64> = Arc::default();
        let tasks = (0..count).map(|client| {
            let (stop, number, addresses) = (stop.clone(), number.clone(), addresses.clone());
            let record = record.clone();
            thread::spawn(move || {
                while !stop.load(SeqCst) {
                    let number = number.fetch_add(1, SeqCst);
                    let key = (number.wrapping_mul(40_503) % 65_536) as u16;
                    let address = addresses[((client + number) % addresses.len() as u64) as usize];
                    let id = format!("r-{number}");
                    record.line(&format!("client: sends {id} key {key} to {address}"));
                    let status = get(address, key, &id);
                    record.line(&format!("client: {id} answered {status:?}"));
                    thread::sleep(Duration::from_millis(80));
                }
            })
        });
        let tasks = tasks.collect();
        Self { stop, tasks }
    }

    pub fn close(self) {
        self.stop.store(true, SeqCst);
        for task in self.tasks {
            let _ = task.join();
        }
    }
}
