//! A backend server that resets the connection of some requests.

use {
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
    },
};

const RESPONSE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nfine";

/// Server that answers every request, but resets the connection if the path ends with a given
/// suffix.
pub struct CrashingServer {
    /// Address on which the server listens.
    pub address: SocketAddr,
    crashes: Arc<AtomicUsize>,
}

impl CrashingServer {
    /// Starts a server that resets requests whose path ends with `poison_suffix`.
    pub async fn start(poison_suffix: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let crashes = Arc::new(AtomicUsize::new(0));
        let counted = Arc::clone(&crashes);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let crashes = Arc::clone(&counted);
                tokio::spawn(async move {
                    let _ = serve(stream, poison_suffix, &crashes).await;
                });
            }
        });
        Self { address, crashes }
    }

    /// Number of connections that were reset.
    pub fn crashes(&self) -> usize {
        self.crashes.load(Ordering::SeqCst)
    }
}

/// Reads requests and answers them; supports only requests without a body.
async fn serve(
    mut stream: TcpStream,
    poison_suffix: &str,
    crashes: &AtomicUsize,
) -> io::Result<()> {
    let mut head = Vec::new();
    loop {
        let byte = stream.read_u8().await?;
        head.push(byte);
        if !head.ends_with(b"\r\n\r\n") {
            continue;
        }
        let text = String::from_utf8_lossy(&head).into_owned();
        head.clear();
        let path = text.split(' ').nth(1).unwrap_or_default();
        if path.ends_with(poison_suffix) {
            crashes.fetch_add(1, Ordering::SeqCst);
            return stream.set_zero_linger();
        }
        stream.write_all(RESPONSE.as_bytes()).await?;
    }
}
