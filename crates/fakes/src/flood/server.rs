//! Server that responds with a flood where it is told to.

use {
    super::{FloodKind, HeaderLines},
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::sleep,
    },
};

/// Size of a write in bytes.
const WRITE_BYTES: usize = 64 * 1_024;
/// Pause between two writes.
const WRITE_INTERVAL: Duration = Duration::from_millis(1);

/// Server that answers requests without a body, or with one that comes with their head. It
/// floods the requests whose path begins with one of the given prefixes, and answers others
/// with an empty 200.
#[derive(Debug, Clone)]
pub struct FloodServer {
    /// Address of the server.
    pub address: SocketAddr,
    /// What is sent to requests with these prefixes.
    flood: Arc<Mutex<Option<FloodKind>>>,
    prefixes: &'static [&'static str],
    lines: HeaderLines,
    /// Floods that began and that were ended by the peer.
    begun: Arc<AtomicU64>,
    ended: Arc<AtomicU64>,
    written_bytes: Arc<AtomicU64>,
}

impl FloodServer {
    /// Starts the server on a free loopback port. It floods nothing yet.
    ///
    /// # Errors
    /// If no port is free.
    pub async fn start(prefixes: &'static [&'static str], lines: HeaderLines) -> io::Result<Self> {
        Self::start_at(([127, 0, 0, 1], 0).into(), prefixes, lines).await
    }

    /// As [`Self::start`], at an address.
    ///
    /// # Errors
    /// If the address is in use.
    pub async fn start_at(
        address: SocketAddr,
        prefixes: &'static [&'static str],
        lines: HeaderLines,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let server = Self {
            address: listener.local_addr()?,
            flood: Arc::default(),
            prefixes,
            lines,
            begun: Arc::default(),
            ended: Arc::default(),
            written_bytes: Arc::default(),
        };
        let accepting = server.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let server = accepting.clone();
                tokio::spawn(async move { server.serve(stream).await });
            }
        });
        Ok(server)
    }

    /// Sets what is sent to the requests that are flooded.
    pub fn set_flood(&self, flood: Option<FloodKind>) {
        *self.flood.lock().unwrap_or_else(PoisonError::into_inner) = flood;
    }

    /// Number of floods that began.
    pub fn begun(&self) -> u64 {
        self.begun.load(Ordering::Relaxed)
    }

    /// Number of floods whose connection the peer has not closed.
    pub fn open(&self) -> u64 {
        self.begun() - self.ended.load(Ordering::Relaxed)
    }

    /// Number of bytes sent in floods.
    pub fn written_bytes(&self) -> u64 {
        self.written_bytes.load(Ordering::Relaxed)
    }

    async fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let mut received = Vec::new();
        loop {
            let size = stream.read_buf(&mut received).await.ok()?;
            if size == 0 {
                return None;
            }
            let text = String::from_utf8_lossy(&received).into_owned();
            let Some((head, _)) = text.split_once("\r\n\r\n") else {
                continue;
            };
            received.clear();
            let path = head.split(' ').nth(1)?;
            let mut lines = head.lines();
            let id = lines.find_map(|line| line.strip_prefix("request-id: "));
            let id = id.unwrap_or("none");
            let flood = *self.flood.lock().unwrap_or_else(PoisonError::into_inner);
            let is_flooded = self.prefixes.iter().any(|prefix| path.starts_with(prefix));
            match flood.filter(|_| is_flooded) {
                Some(flood) => return self.send_flood(stream, flood, id).await,
                None => {
                    let lines = self.lines.response;
                    let response = format!(
                        "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\n{lines}content-length: 0\r\n\r\n"
                    );
                    stream.write_all(response.as_bytes()).await.ok()?;
                }
            }
        }
    }

    async fn send_flood(&self, mut stream: TcpStream, kind: FloodKind, id: &str) -> Option<()> {
        self.begun.fetch_add(1, Ordering::Relaxed);
        let pattern = kind.pattern();
        let block = pattern.repeat(WRITE_BYTES / pattern.len());
        let mut result = stream
            .write_all(kind.beginning(id, &self.lines).as_bytes())
            .await;
        while result.is_ok() {
            result = stream.write_all(block.as_bytes()).await;
            let bytes = block.len() as u64;
            self.written_bytes.fetch_add(bytes, Ordering::Relaxed);
            // Leaves processor time to the fakes of other tests in the process.
            sleep(WRITE_INTERVAL).await;
        }
        self.ended.fetch_add(1, Ordering::Relaxed);
        Some(())
    }
}
