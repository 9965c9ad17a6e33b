//! A TCP relay in front of the platform, with which a test disconnects one instance.

use {
    std::net::SocketAddr,
    tokio::{
        io::copy_bidirectional,
        net::{TcpListener, TcpStream},
        sync::watch,
    },
};

/// TCP relay that forwards connections while open. Closing the relay also closes established
/// connections.
pub struct Relay {
    /// Address on which the relay listens.
    pub address: SocketAddr,
    open: watch::Sender<bool>,
}

impl Relay {
    /// Starts an open relay to `target`.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (open, state) = watch::channel(true);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(forward(stream, target, state.clone()));
            }
        });
        Self { address, open }
    }

    /// Opens or closes the relay.
    pub fn set_open(&self, open: bool) {
        self.open.send_replace(open);
    }
}

async fn forward(mut stream: TcpStream, target: SocketAddr, mut state: watch::Receiver<bool>) {
    if !*state.borrow() {
        return;
    }
    let Ok(mut other) = TcpStream::connect(target).await else {
        return;
    };
    tokio::select! {
        _ = copy_bidirectional(&mut stream, &mut other) => {}
        _ = state.wait_for(|open| !open) => {}
    }
}
