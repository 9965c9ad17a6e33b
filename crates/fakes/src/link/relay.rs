//! TCP relay of the fake network link.

use {
    std::{
        io,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpListener, TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        sync::{
            mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
            watch,
        },
        time::{Instant, sleep, sleep_until},
    },
};

/// Delay before the next attempt after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Faults of the link.
#[derive(Debug, Clone, Copy)]
struct State {
    /// Target of new connections.
    target: SocketAddr,
    /// Whether no bytes pass. Bytes sent meanwhile pass once the link is healed, as TCP
    /// retransmits segments that were not acknowledged.
    is_cut: bool,
    /// Whether no bytes pass from the target to the client.
    blocks_replies: bool,
    /// Delay of bytes, in both directions.
    delay: Duration,
    /// Limit on the bytes per second from the target to clients, over all connections.
    rate: Option<u32>,
    /// Incremented by each stall. Connections opened under a lower value pass no bytes.
    stall_generation: u64,
    /// Incremented by each close. Connections opened under a lower value are closed.
    close_generation: u64,
    /// Number of next connections whose replies are truncated.
    truncated_replies: u32,
    /// Number of reply bytes that pass on such a connection.
    truncate_after: usize,
    /// How long a request is held back while the last reply passes again, if it does.
    repeat_hold: Option<Duration>,
}

/// Network link from a local address to a target, which stops with its runtime.
///
/// Cutting the link closes no connection: connections stay open and pass no bytes.
#[derive(Debug, Clone)]
pub struct Link {
    /// Local address that clients connect to.
    pub address: SocketAddr,
    state: watch::Sender<State>,
}

/// Time until which the bandwidth towards the clients is used up.
type RateSlot = Arc<Mutex<Instant>>;

impl Link {
    /// Starts a link to a target on a free loopback port.
    ///
    /// # Errors
    /// If no port can be bound.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let link = Self {
            address: listener.local_addr()?,
            state: watch::Sender::new(State {
                target,
                is_cut: false,
                blocks_replies: false,
                delay: Duration::ZERO,
                rate: None,
                stall_generation: 0,
                close_generation: 0,
                truncated_replies: 0,
                truncate_after: 0,
                repeat_hold: None,
            }),
        };
        tokio::spawn(accept(listener, link.state.clone()));
        Ok(link)
    }

    /// Connects new connections to another target. Open connections keep theirs.
    pub fn set_target(&self, target: SocketAddr) {
        self.state.send_modify(|state| state.target = target);
    }

    /// Stops all bytes in both directions without closing connections.
    pub fn cut(&self) {
        self.state.send_modify(|state| state.is_cut = true);
    }

    /// Stops all bytes from the target to clients.
    pub fn block_replies(&self) {
        self.state.send_modify(|state| state.blocks_replies = true);
    }

    /// Delays all bytes by this time.
    pub fn set_delay(&self, duration: Duration) {
        self.state.send_modify(|state| state.delay = duration);
    }

    /// Limits the rate from the target to clients, in bytes per second over all connections.
    pub fn limit_rate(&self, rate: u32) {
        self.state.send_modify(|state| state.rate = Some(rate));
    }

    /// Sends the last reply of a connection once more whenever the next request on it arrives,
    /// and holds that request back for this time. A reply is taken to be what is read at once.
    pub fn repeat_replies(&self, hold: Duration) {
        self.state
            .send_modify(|state| state.repeat_hold = Some(hold));
    }

    /// Ends a cut, blocked replies, a delay, a rate limit and repeated replies.
    pub fn heal(&self) {
        self.state.send_modify(|state| {
            state.is_cut = false;
            state.blocks_replies = false;
            state.delay = Duration::ZERO;
            state.rate = None;
            state.repeat_hold = None;
        });
    }

    /// Closes all open connections. New connections work.
    pub fn close_connections(&self) {
        self.state.send_modify(|state| state.close_generation += 1);
    }

    /// Stops all bytes on the open connections for good. New connections work.
    pub fn stall_connections(&self) {
        self.state.send_modify(|state| state.stall_generation += 1);
    }

    /// Closes each of the next `count` connections after `limit_bytes` bytes of replies.
    pub fn truncate_replies(&self, count: u32, limit_bytes: usize) {
        self.state.send_modify(|state| {
            state.truncated_replies = count;
            state.truncate_after = limit_bytes;
        });
    }
}

async fn accept(listener: TcpListener, state: watch::Sender<State>) {
    let rate_slot = RateSlot::new(Mutex::new(Instant::now()));
    loop {
        match listener.accept().await {
            Ok((client, _)) => {
                let limit = next_reply_limit(&state);
                let rate_slot = Arc::clone(&rate_slot);
                tokio::spawn(relay_connection(
                    client,
                    state.subscribe(),
                    limit,
                    rate_slot,
                ));
            }
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Returns the number of reply bytes that pass on the next connection.
fn next_reply_limit(state: &watch::Sender<State>) -> usize {
    let mut limit = usize::MAX;
    state.send_if_modified(|state| {
        if state.truncated_replies > 0 {
            state.truncated_replies -= 1;
            limit = state.truncate_after;
        }
        false
    });
    limit
}

async fn relay_connection(
    client: TcpStream,
    mut state: watch::Receiver<State>,
    limit: usize,
    rate_slot: RateSlot,
) {
    // Both fields are read under one borrow. A second borrow in this function would
    // deadlock if a writer waits for the lock between the two.
    let State {
        stall_generation: generation,
        close_generation,
        ..
    } = *state.borrow();
    let forward = |state: &State| !state.is_cut && state.stall_generation == generation;
    let backward = |state: &State| forward(state) && !state.blocks_replies;
    if state.wait_for(forward).await.is_err() {
        return;
    }
    let target = state.borrow().target;
    let Ok(upstream) = TcpStream::connect(target).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = upstream.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (upstream_read, upstream_write) = upstream.into_split();
    let (request_tx, request_rx) = unbounded_channel();
    let forward = copy_bytes(
        client_read,
        upstream_write,
        state.clone(),
        forward,
        usize::MAX,
        Direction::Forward(request_tx),
    );
    let backward = copy_bytes(
        upstream_read,
        client_write,
        state.clone(),
        backward,
        limit,
        Direction::Backward(request_rx, rate_slot),
    );
    tokio::select! {
        _ = state.wait_for(|state| state.close_generation != close_generation) => {}
        // When the target closes, both directions end. A half-close by the client does not
        // end the connection.
        () = backward => {}
        () = async { forward.await; std::future::pending().await } => {}
    }
}

/// Waits until bytes may pass. Returns `false` if the link was dropped, or if the sender
/// reset its connection meanwhile: a network then loses the bytes that it had delayed.
async fn wait_open(
    from: &OwnedReadHalf,
    state: &mut watch::Receiver<State>,
    open: impl Fn(&State) -> bool,
) -> bool {
    let delay = state.borrow().delay;
    sleep(delay).await;
    let is_open = state.wait_for(|state| open(state)).await.is_ok();
    is_open && matches!(from.as_ref().take_error(), Ok(None))
}

/// Waits until the rate limit allows `bytes` more bytes.
async fn wait_for_rate(rate_slot: &RateSlot, rate: Option<u32>, bytes: usize) {
    let Some(rate) = rate else { return };
    let duration = Duration::from_secs_f64(bytes as f64 / f64::from(rate));
    let until = {
        let mut rate_slot = rate_slot.lock().unwrap_or_else(PoisonError::into_inner);
        *rate_slot = (*rate_slot).max(Instant::now()) + duration;
        *rate_slot
    };
    sleep_until(until).await;
}

/// What is particular to a direction.
enum Direction {
    /// From the client, with a channel for requests before which the last reply is repeated.
    Forward(UnboundedSender<()>),
    /// To the client.
    Backward(UnboundedReceiver<()>, RateSlot),
}

async fn copy_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<State>,
    open: impl Fn(&State) -> bool,
    mut limit: usize,
    mut direction: Direction,
) {
    let mut buffer = vec![0; 16 << 10];
    let mut last_passed = Vec::new();
    loop {
        let read = match &mut direction {
            Direction::Forward(_) => from.read(&mut buffer).await,
            Direction::Backward(requests, _) => loop {
                tokio::select! {
                    read = from.read(&mut buffer) => break read,
                    Some(()) = requests.recv() => {
                        if to.write_all(&last_passed).await.is_err() {
                            return;
                        }
                    }
                }
            },
        };
        let Ok(read) = read else {
            return;
        };
        if !wait_open(&from, &mut state, &open).await {
            return;
        }
        if read == 0 {
            let _ = to.shutdown().await;
            return;
        }
        let State {
            rate, repeat_hold, ..
        } = *state.borrow();
        match (&direction, repeat_hold) {
            (Direction::Backward(_, rate_slot), _) => wait_for_rate(rate_slot, rate, read).await,
            // The first request on a connection has no reply before it.
            (Direction::Forward(requests), Some(hold)) if !last_passed.is_empty() => {
                // The other direction may have ended.
                let _ = requests.send(());
                sleep(hold).await;
            }
            (Direction::Forward(_), _) => {}
        }
        let passed = read.min(limit);
        limit -= passed;
        last_passed.clear();
        last_passed.extend_from_slice(&buffer[..passed]);
        if to.write_all(&buffer[..passed]).await.is_err() || limit == 0 {
            return;
        }
    }
}
