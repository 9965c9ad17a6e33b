//! TCP server that follows a script on each connection.

use {
    super::Step,
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

/// Record of one connection.
#[derive(Debug, Clone, Default)]
struct ConnectionLog {
    bytes: Vec<u8>,
    requests: usize,
    is_closed: bool,
}

/// Server that runs one script per connection, in the order in which connections are
/// accepted. All connections after the last script run the last script again.
#[derive(Debug, Clone)]
pub struct ScriptedServer {
    /// Address of the server.
    pub address: SocketAddr,
    logs: Arc<Mutex<Vec<ConnectionLog>>>,
}

impl ScriptedServer {
    /// Starts the server on a free loopback port in the current runtime.
    ///
    /// # Errors
    /// If no port is free.
    pub async fn start(scripts: Vec<Vec<Step>>) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let server = Self {
            address: listener.local_addr()?,
            logs: Arc::default(),
        };
        tokio::spawn(server.clone().accept(listener, scripts));
        Ok(server)
    }

    /// Returns the number of requests that were read completely.
    pub fn request_count(&self) -> usize {
        self.lock().iter().map(|log| log.requests).sum()
    }

    /// Returns the number of connections on which at least one byte arrived.
    pub fn used_connections(&self) -> usize {
        let logs = self.lock();
        logs.iter().filter(|log| !log.bytes.is_empty()).count()
    }

    /// Returns the number of accepted connections.
    pub fn connections(&self) -> usize {
        self.lock().len()
    }

    /// Returns the number of connections that were closed before the script ended.
    pub fn closed_connections(&self) -> usize {
        self.lock().iter().filter(|log| log.is_closed).count()
    }

    /// Returns the bytes received on a connection as text. Connections are numbered from 0.
    pub fn received_text(&self, connection: usize) -> String {
        let logs = self.lock();
        let bytes = logs.get(connection).map(|log| log.bytes.as_slice());
        String::from_utf8_lossy(bytes.unwrap_or_default()).into_owned()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<ConnectionLog>> {
        self.logs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn accept(self, listener: TcpListener, scripts: Vec<Vec<Step>>) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            let number = self.connections();
            self.lock().push(ConnectionLog::default());
            let script = scripts.get(number).or(scripts.last());
            let script_run = ScriptRun {
                server: self.clone(),
                number,
                stream,
                unread: Vec::new(),
            };
            tokio::spawn(script_run.run(script.cloned().unwrap_or_default()));
        }
    }
}

/// Execution of a script on one connection.
struct ScriptRun {
    server: ScriptedServer,
    number: usize,
    stream: TcpStream,
    unread: Vec<u8>,
}

impl ScriptRun {
    async fn run(mut self, script: Vec<Step>) {
        for step in script {
            if self.step(step).await.is_err() {
                self.server.lock()[self.number].is_closed = true;
                return;
            }
        }
    }

    async fn step(&mut self, step: Step) -> io::Result<()> {
        match step {
            Step::Read(bytes) => self.read_exact(bytes).await.map(drop),
            Step::ReadHead => self.read_head().await.map(drop),
            Step::ReadRequest => self.read_request().await,
            Step::Write(text) => self.stream.write_all(text.as_bytes()).await,
            Step::Pause(time) => {
                sleep(time).await;
                Ok(())
            }
            Step::Reset => {
                // With a linger time of zero, closing the socket sends a reset.
                self.stream.set_zero_linger()?;
                Err(io::ErrorKind::ConnectionReset.into())
            }
            Step::Hang => loop {
                self.read_more().await?;
            },
        }
    }

    async fn read_request(&mut self) -> io::Result<()> {
        let head = self.read_head().await?.to_ascii_lowercase();
        let chunked = head.contains("transfer-encoding: chunked");
        let length = head
            .lines()
            .find_map(|l| l.strip_prefix("content-length: "));
        let length = length.and_then(|length| length.trim().parse().ok());
        if chunked {
            self.read_until(b"0\r\n\r\n").await?;
        } else {
            self.read_exact(length.unwrap_or(0)).await?;
        }
        self.server.lock()[self.number].requests += 1;
        Ok(())
    }

    async fn read_head(&mut self) -> io::Result<String> {
        let head = self.read_until(b"\r\n\r\n").await?;
        Ok(String::from_utf8_lossy(&head).into_owned())
    }

    async fn read_until(&mut self, end: &[u8]) -> io::Result<Vec<u8>> {
        loop {
            let found = self.unread.windows(end.len()).position(|part| part == end);
            if let Some(start) = found {
                return self.read_exact(start + end.len()).await;
            }
            self.read_more().await?;
        }
    }

    async fn read_exact(&mut self, bytes: usize) -> io::Result<Vec<u8>> {
        while self.unread.len() < bytes {
            self.read_more().await?;
        }
        Ok(self.unread.drain(..bytes).collect())
    }

    async fn read_more(&mut self) -> io::Result<()> {
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
