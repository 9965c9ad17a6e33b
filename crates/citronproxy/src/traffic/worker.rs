//! Traffic threads.

use {
    super::{handle::TrafficHandle, proxy::Proxy},
    crate::{clock::Clock, events},
    hyper::{server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    socket2::{Domain, Socket, Type},
    std::{
        io,
        net::SocketAddr,
        thread::{self, JoinHandle},
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        runtime::Builder,
        task::{LocalSet, spawn_local},
        time::sleep,
    },
};

/// Connections that wait to be accepted, per thread.
const BACKLOG: i32 = 1_024;
/// How long a caller may take to send the head of a request.
const HEAD_TIME: Duration = Duration::from_secs(10);
/// The pause after a failed accept, which is mostly a lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The running traffic threads.
#[derive(Debug)]
pub struct Workers {
    /// Where they listen.
    pub address: SocketAddr,
    threads: Vec<JoinHandle<()>>,
}

impl Workers {
    /// Waits until all threads have ended.
    pub fn join(self) {
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

/// Starts `count` threads that share one address.
///
/// # Errors
/// If the address cannot be bound or a thread cannot be started.
pub fn start(
    address: SocketAddr,
    count: usize,
    handle: &TrafficHandle,
    clock: Clock,
) -> io::Result<Workers> {
    let first = bind(address)?;
    let address = first.local_addr()?;
    let mut listeners = vec![first];
    for _ in 1..count {
        listeners.push(bind(address)?);
    }
    let mut threads = Vec::new();
    for (number, listener) in listeners.into_iter().enumerate() {
        let handle = handle.clone();
        let name = format!("traffic-{number}");
        let run = move || run_thread(listener, handle, clock);
        threads.push(thread::Builder::new().name(name).spawn(run)?);
    }
    Ok(Workers { address, threads })
}

/// Binds with port reuse: the kernel spreads connections over the threads.
fn bind(address: SocketAddr) -> io::Result<std::net::TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

fn run_thread(listener: std::net::TcpListener, handle: TrafficHandle, clock: Clock) {
    let Ok(runtime) = Builder::new_current_thread().enable_all().build() else {
        return;
    };
    let proxy = Proxy::new(handle, clock);
    LocalSet::new().block_on(&runtime, async move {
        if let Ok(listener) = TcpListener::from_std(listener) {
            accept(listener, proxy).await;
        }
    });
}

async fn accept(listener: TcpListener, proxy: Proxy) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(connection(stream, proxy.clone()));
            }
            Err(error) => {
                log::warn!("{} {error}", events::ACCEPT_FAILED);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection(stream: TcpStream, proxy: Proxy) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| proxy.clone().serve(request));
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIME)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = served.await {
        log::debug!("caller's connection ended: {error}");
    }
}
