//! The scripted server.

use {
    super::Act,
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::sleep,
    },
};

/// What arrived on one connection.
#[derive(Debug, Clone, Default)]
struct Seen {
    bytes: Vec<u8>,
    runs: usize,
    closed: bool,
}

/// Plays one script a connection, in the order of their arrival; the last script
/// is played again for all further ones.
#[derive(Debug, Clone)]
pub struct RawServer {
    /// Where it listens.
    pub address: SocketAddr,
    seen: Arc<Mutex<Vec<Seen>>>,
}

impl RawServer {
    /// Starts on any free port of this host within the current runtime.
    ///
    /// # Errors
    /// If no port is free.
    pub async fn start(scripts: Vec<Vec<Act>>) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let server = Self {
            address: listener.local_addr()?,
            seen: Arc::default(),
        };
        tokio::spawn(server.clone().accept(listener, scripts));
        Ok(server)
    }

    /// Requests that were read whole.
    pub fn runs(&self) -> usize {
        self.lock().iter().map(|seen| seen.runs).sum()
    }

    /// Connections on which at least a byte arrived.
    pub fn begun(&self) -> usize {
        let seen = self.lock();
        seen.iter().filter(|seen| !seen.bytes.is_empty()).count()
    }

    /// Connections taken.
    pub fn connections(&self) -> usize {
        self.lock().len()
    }

    /// Connections that the other side has ended.
    pub fn closed(&self) -> usize {
        self.lock().iter().filter(|seen| seen.closed).count()
    }

    /// What arrived on a connection, as text.
    pub fn text(&self, connection: usize) -> String {
        let seen = self.lock();
        let bytes = seen.get(connection).map(|seen| seen.bytes.as_slice());
        String::from_utf8_lossy(bytes.unwrap_or_default()).into_owned()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Seen>> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn accept(self, listener: TcpListener, scripts: Vec<Vec<Act>>) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            let number = self.connections();
            self.lock().push(Seen::default());
            let script = scripts.get(number).or(scripts.last());
            let play = Play {
                server: self.clone(),
                number,
                stream,
                unread: Vec::new(),
            };
            tokio::spawn(play.run(script.cloned().unwrap_or_default()));
        }
    }
}

/// One connection's script being played.
struct Play {
    server: RawServer,
    number: usize,
    stream: TcpStream,
    unread: Vec<u8>,
}

impl Play {
    async fn run(mut self, script: Vec<Act>) {
        for act in script {
            if self.act(act).await.is_err() {
                self.server.lock()[self.number].closed = true;
                return;
            }
        }
    }

    async fn act(&mut self, act: Act) -> io::Result<()> {
        match act {
            Act::Read(bytes) => self.take(bytes).await.map(drop),
            Act::Head => self.head().await.map(drop),
            Act::Request => self.request().await,
            Act::Write(text) => self.stream.write_all(text.as_bytes()).await,
            Act::Pause(time) => {
                sleep(time).await;
                Ok(())
            }
            Act::Reset => {
                // Closing with no time to linger sends a reset.
                self.stream.set_zero_linger()?;
                Err(io::ErrorKind::ConnectionReset.into())
            }
            Act::Hang => loop {
                self.more().await?;
            },
        }
    }

    async fn request(&mut self) -> io::Result<()> {
        let head = self.head().await?.to_ascii_lowercase();
        let chunked = head.contains("transfer-encoding: chunked");
        let length = head
            .lines()
            .find_map(|l| l.strip_prefix("content-length: "));
        let length = length.and_then(|length| length.trim().parse().ok());
        if chunked {
            self.until(b"0\r\n\r\n").await?;
        } else {
            self.take(length.unwrap_or(0)).await?;
        }
        self.server.lock()[self.number].runs += 1;
        Ok(())
    }

    async fn head(&mut self) -> io::Result<String> {
        let head = self.until(b"\r\n\r\n").await?;
        Ok(String::from_utf8_lossy(&head).into_owned())
    }

    async fn until(&mut self, end: &[u8]) -> io::Result<Vec<u8>> {
        loop {
            let found = self.unread.windows(end.len()).position(|part| part == end);
            if let Some(start) = found {
                return self.take(start + end.len()).await;
            }
            self.more().await?;
        }
    }

    async fn take(&mut self, bytes: usize) -> io::Result<Vec<u8>> {
        while self.unread.len() < bytes {
            self.more().await?;
        }
        Ok(self.unread.drain(..bytes).collect())
    }

    async fn more(&mut self) -> io::Result<()> {
        let mut buffer = [0; 16 * 1_024];
        let read = self.stream.read(&mut buffer).await?;
        if read == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.unread.extend_from_slice(&buffer[..read]);
        self.server.lock()[self.number]
            .bytes
            .extend_from_slice(&buffer[..read]);
        Ok(())
    }
}
