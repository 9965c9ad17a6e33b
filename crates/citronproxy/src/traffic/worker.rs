//! Traffic threads.

use {
    super::{
        command::{self, Ask},
        connection,
        handle::TrafficHandle,
        limits::Limits,
        phase::Phase,
        proxy::Proxy,
        response_body::AnswerBody,
        state::State,
    },
    crate::{clock::Clock, events},
    http::{Response, request::Parts},
    hyper::body::Incoming,
    socket2::{Domain, Socket, Type},
    std::{
        io,
        net::SocketAddr,
        rc::Rc,
        thread::{self, JoinHandle},
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        runtime::{Builder, LocalOptions},
        sync::{mpsc, watch},
        task::spawn_local,
        time::{sleep, timeout},
    },
};

/// Connections that wait to be accepted, per thread.
const BACKLOG: i32 = 1_024;
/// Shorter than the timers of requests; 50 wakes a second cost an idle thread
/// next to nothing.
const TICK: Duration = Duration::from_millis(20);
/// The pause after a failed accept, which is mostly a lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The running traffic threads.
#[derive(Debug)]
pub struct Workers {
    /// Where they listen.
    pub address: SocketAddr,
    handle: TrafficHandle,
    threads: Vec<JoinHandle<()>>,
}

impl Workers {
    /// Takes no more connections and waits until all requests under way have
    /// ended. Blocks the calling thread.
    pub fn close(self) {
        self.handle.stop();
        self.join();
    }

    /// Waits until all threads have ended. Blocks the calling thread.
    pub fn join(self) {
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

/// Starts `count` threads that share one address, with the standard limits.
///
/// # Errors
/// If the address cannot be bound or a thread cannot be started.
pub fn start(
    address: SocketAddr,
    count: usize,
    handle: &TrafficHandle,
    clock: Clock,
) -> io::Result<Workers> {
    start_with(address, count, handle, clock, Limits::default())
}

/// As [`start`], with limits.
///
/// # Errors
/// As [`start`].
pub fn start_with(
    address: SocketAddr,
    count: usize,
    handle: &TrafficHandle,
    clock: Clock,
    limits: Limits,
) -> io::Result<Workers> {
    let first = bind(address)?;
    let address = first.local_addr()?;
    let mut listeners = vec![first];
    for _ in 1..count {
        listeners.push(bind(address)?);
    }
    let mut threads = Vec::new();
    for (number, listener) in listeners.into_iter().enumerate() {
        let thread = Thread::new(handle, clock, limits);
        let name = format!("traffic-{number}");
        let run = move || thread.run(listener);
        threads.push(thread::Builder::new().name(name).spawn(run)?);
    }
    let handle = handle.clone();
    Ok(Workers {
        address,
        handle,
        threads,
    })
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

/// What one thread is started with.
struct Thread {
    handle: TrafficHandle,
    asks: mpsc::UnboundedReceiver<Ask>,
    clock: Clock,
    limits: Limits,
}

impl Thread {
    fn new(handle: &TrafficHandle, clock: Clock, limits: Limits) -> Self {
        Self {
            limits,
            handle: handle.clone(),
            asks: handle.join(),
            clock,
        }
    }

    fn run(self, listener: std::net::TcpListener) {
        let options = LocalOptions::default();
        let built = Builder::new_current_thread()
            .enable_all()
            .build_local(options);
        let Ok(runtime) = built else {
            return;
        };
        runtime.block_on(async move {
            if let Ok(listener) = TcpListener::from_std(listener) {
                self.serve(listener).await;
            }
        });
    }

    /// Takes connections until the instance closes, then waits for the last one.
    async fn serve(self, listener: TcpListener) {
        let seed = rand::random();
        let state = State::new(self.handle.clone(), self.clock, self.limits, seed);
        let proxy = Proxy::new(&state);
        spawn_local(command::answer(self.asks, Rc::clone(&state)));
        spawn_local(tick());
        let (open, mut last) = mpsc::channel(1);
        let mut phases = self.handle.phases();
        let closing = phases.wait_for(|phase| *phase == Phase::Closing);
        tokio::select! {
            _ = closing => {}
            () = accept(&listener, &proxy, &self.handle, &open) => {}
        }
        take_waiting(&listener, &proxy, &self.handle, &open).await;
        drop(listener);
        drop(open);
        // Every connection holds a clone of `open`.
        let _: Option<()> = last.recv().await;
        // While this thread lives, moves wait for what it has abandoned: such a
        // request may still run at its server until its deadline.
        let until = state.flights.borrow().abandoned_until();
        if let Some(until) = until {
            sleep(until - self.clock.now()).await;
        }
    }
}

/// Keeps a timer running that ends before those of requests. A timer that ends
/// before all others makes the runtime wake its own thread, which costs a write
/// and another wait for each; every request sets two.
async fn tick() {
    loop {
        sleep(TICK).await;
    }
}

/// Held by a connection while it is open.
type Open = mpsc::Sender<()>;

async fn accept(listener: &TcpListener, proxy: &Proxy, handle: &TrafficHandle, open: &Open) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => start_connection(stream, proxy, handle, open),
            Err(error) => {
                log::warn!("{} {error}", events::ACCEPT_FAILED);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Takes the connections that the kernel has completed already: closing the
/// listener would reset them, and with them requests that are on their way.
async fn take_waiting(listener: &TcpListener, proxy: &Proxy, handle: &TrafficHandle, open: &Open) {
    while let Ok(Ok((stream, _))) = timeout(Duration::ZERO, listener.accept()).await {
        start_connection(stream, proxy, handle, open);
    }
}

fn start_connection(stream: TcpStream, proxy: &Proxy, handle: &TrafficHandle, open: &Open) {
    let phases = handle.phases();
    spawn_local(serve_caller(stream, proxy.clone(), phases, open.clone()));
}

async fn serve_caller(
    stream: TcpStream,
    proxy: Proxy,
    mut phases: watch::Receiver<Phase>,
    _open: Open,
) {
    let limits = proxy.limits();
    let closing = phases.wait_for(|phase| *phase == Phase::Closing);
    connection::serve(stream, limits, closing, proxy).await;
}

impl connection::Service for Proxy {
    type Body = AnswerBody;

    async fn answer(self, head: Parts, body: Option<Incoming>) -> Response<AnswerBody> {
        self.serve(head, body).await
    }

    fn may_begin(&self, head: &Parts) -> bool {
        self.may_repeat(head)
    }

    fn head_max(&self) -> usize {
        self.limits().head
    }
}
