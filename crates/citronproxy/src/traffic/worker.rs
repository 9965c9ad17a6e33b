//! Traffic threads.

use {
    super::{
        command::{self, Command},
        connection,
        handle::TrafficHandle,
        limits::Limits,
        phase::Phase,
        proxy::Proxy,
        response_body::ResponseBody,
        state::ThreadState,
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

/// Length of the queue of connections to be accepted, per thread.
const BACKLOG: i32 = 1_024;
/// Interval of the permanent timer. It is shorter than the timers of requests; 50 wakeups
/// per second cost an idle thread next to nothing.
const TIMER_TICK: Duration = Duration::from_millis(20);
/// Delay after a failed accept, usually caused by a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Running traffic threads.
#[derive(Debug)]
pub struct Workers {
    /// Address on which the threads listen.
    pub address: SocketAddr,
    handle: TrafficHandle,
    threads: Vec<JoinHandle<()>>,
}

impl Workers {
    /// Stops accepting connections and waits until all requests in progress are
    /// completed. Blocks the calling thread.
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

/// Starts `count` threads that listen on the same address, with the default limits.
///
/// # Errors
/// If the address cannot be bound or a thread cannot be started.
pub fn start(
    address: SocketAddr,
    count: usize,
    handle: &TrafficHandle,
    clock: Clock,
) -> io::Result<Workers> {
    start_with_limits(address, count, handle, clock, Limits::default())
}

/// Same as [`start`], with the given limits.
///
/// # Errors
/// Same as [`start`].
pub fn start_with_limits(
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
        let thread = Worker::new(handle, clock, limits);
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

/// Binds a socket with `SO_REUSEPORT`, by which the kernel distributes connections over
/// the threads.
fn bind(address: SocketAddr) -> io::Result<std::net::TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Parameters of one thread.
struct Worker {
    handle: TrafficHandle,
    commands: mpsc::UnboundedReceiver<Command>,
    clock: Clock,
    limits: Limits,
}

impl Worker {
    fn new(handle: &TrafficHandle, clock: Clock, limits: Limits) -> Self {
        Self {
            limits,
            handle: handle.clone(),
            commands: handle.register_thread(),
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

    /// Accepts connections until the instance stops, then waits until all of them are
    /// closed.
    async fn serve(self, listener: TcpListener) {
        let seed = rand::random();
        let state = ThreadState::new(self.handle.clone(), self.clock, self.limits, seed);
        let proxy = Proxy::new(&state);
        spawn_local(command::serve(self.commands, Rc::clone(&state)));
        spawn_local(tick_timer());
        let (open, mut all_closed) = mpsc::channel(1);
        let mut phases = self.handle.subscribe_phase();
        let closing = phases.wait_for(|phase| *phase == Phase::Closing);
        tokio::select! {
            _ = closing => {}
            () = accept(&listener, &proxy, &self.handle, &open) => {}
        }
        accept_pending(&listener, &proxy, &self.handle, &open).await;
        drop(listener);
        drop(open);
        // Every connection holds a clone of `open`.
        let _: Option<()> = all_closed.recv().await;
        // A move of a shard waits for the abandoned requests of running threads only, and
        // such a request may run at its server until its deadline. The thread therefore
        // ends only after the last of these deadlines.
        let abandoned_until = state.in_flight.borrow().abandoned_until();
        if let Some(abandoned_until) = abandoned_until {
            sleep(abandoned_until - self.clock.now()).await;
        }
    }
}

/// Keeps a timer pending that fires before those of requests. Each request sets two
/// timers; whenever a new timer is the earliest one, the runtime wakes its own thread,
/// which costs a write and an additional poll.
async fn tick_timer() {
    loop {
        sleep(TIMER_TICK).await;
    }
}

/// Held by each connection while it is open.
type OpenToken = mpsc::Sender<()>;

async fn accept(listener: &TcpListener, proxy: &Proxy, handle: &TrafficHandle, open: &OpenToken) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => start_connection(stream, proxy, handle, open),
            Err(error) => {
                log::warn!("{} {error}", events::ACCEPT_FAILED);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Accepts the connections that the kernel has already completed. Closing the listener
/// would reset them and lose the requests on them.
async fn accept_pending(
    listener: &TcpListener,
    proxy: &Proxy,
    handle: &TrafficHandle,
    open: &OpenToken,
) {
    while let Ok(Ok((stream, _))) = timeout(Duration::ZERO, listener.accept()).await {
        start_connection(stream, proxy, handle, open);
    }
}

fn start_connection(stream: TcpStream, proxy: &Proxy, handle: &TrafficHandle, open: &OpenToken) {
    let phases = handle.subscribe_phase();
    spawn_local(serve_client(stream, proxy.clone(), phases, open.clone()));
}

async fn serve_client(
    stream: TcpStream,
    proxy: Proxy,
    mut phases: watch::Receiver<Phase>,
    _open: OpenToken,
) {
    let limits = proxy.limits();
    let closing = phases.wait_for(|phase| *phase == Phase::Closing);
    connection::serve(stream, limits, closing, proxy).await;
}

impl connection::RequestHandler for Proxy {
    type Body = ResponseBody;

    async fn handle(self, head: Parts, body: Option<Incoming>) -> Response<ResponseBody> {
        self.serve(head, body).await
    }

    fn can_start_early(&self, head: &Parts) -> bool {
        self.is_repeatable(head)
    }

    fn max_head_bytes(&self) -> usize {
        self.limits().max_head_bytes
    }
}
