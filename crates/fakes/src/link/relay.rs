//! The relay.

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
        sync::watch,
        time::{Instant, sleep, sleep_until},
    },
};

/// The pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

#[derive(Debug, Clone, Copy)]
struct State {
    /// Where new connections go.
    target: SocketAddr,
    /// Nothing passes; what was sent passes once the link is whole again, as
    /// TCP sends again what was not acknowledged.
    is_cut: bool,
    /// Nothing comes back.
    blocks_replies: bool,
    /// How long bytes are held up on their way there.
    delay: Duration,
    /// Bytes a second that come back, over all connections.
    rate: Option<u32>,
    /// Connections opened before this many silencings carry nothing any more.
    stall_generation: u64,
    /// Connections opened before this many closings are closed.
    close_generation: u64,
    /// The answers on the next so many connections are torn.
    truncated_replies: u32,
    /// After so many bytes.
    truncate_after: usize,
}

/// A link from one address to a target; it ends with its runtime.
///
/// A cut is silent: connections stay open and carry nothing.
#[derive(Debug, Clone)]
pub struct Link {
    /// Where the near end listens.
    pub address: SocketAddr,
    state: watch::Sender<State>,
}

/// Until when the link is taken by what comes back.
type RateSlot = Arc<Mutex<Instant>>;

impl Link {
    /// Starts a link to a target, on a port of its own.
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
            }),
        };
        tokio::spawn(accept(listener, link.state.clone()));
        Ok(link)
    }

    /// Leads new connections to another target.
    pub fn set_target(&self, target: SocketAddr) {
        self.state.send_modify(|state| state.target = target);
    }

    /// Cuts the link in both directions, silently.
    pub fn cut(&self) {
        self.state.send_modify(|state| state.is_cut = true);
    }

    /// What is sent arrives, and nothing comes back.
    pub fn block_replies(&self) {
        self.state.send_modify(|state| state.blocks_replies = true);
    }

    /// Holds everything up that is sent.
    pub fn set_delay(&self, duration: Duration) {
        self.state.send_modify(|state| state.delay = duration);
    }

    /// Lets so many bytes a second come back, over all connections together.
    pub fn limit_rate(&self, rate: u32) {
        self.state.send_modify(|state| state.rate = Some(rate));
    }

    /// Makes the link whole, quick and wide.
    pub fn heal(&self) {
        self.state.send_modify(|state| {
            state.is_cut = false;
            state.blocks_replies = false;
            state.delay = Duration::ZERO;
            state.rate = None;
        });
    }

    /// Closes all connections open now; new ones work.
    pub fn close_connections(&self) {
        self.state.send_modify(|state| state.close_generation += 1);
    }

    /// All connections open now go silent for good; new ones work.
    pub fn stall_connections(&self) {
        self.state.send_modify(|state| state.stall_generation += 1);
    }

    /// On each of the next `count` connections, the answer is cut off by a close
    /// after `after` bytes.
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

/// How many bytes of the next connection's answer pass.
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
    // One borrow: a second one beside it blocks for ever if a change waits between them.
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
    let forward = copy_bytes(
        client_read,
        upstream_write,
        state.clone(),
        forward,
        usize::MAX,
        None,
    );
    let backward = copy_bytes(
        upstream_read,
        client_write,
        state.clone(),
        backward,
        limit,
        Some(rate_slot),
    );
    tokio::select! {
        _ = state.wait_for(|state| state.close_generation != close_generation) => {}
        // The end of an answer ends both directions; a caller's half-close does
        // not.
        () = backward => {}
        () = async { forward.await; std::future::pending().await } => {}
    }
}

/// Waits until bytes may pass; `false` if the link is gone, or if the sender has
/// reset its connection meanwhile: a network then loses what it had held up.
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

/// Waits for a turn on a narrow link.
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

async fn copy_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<State>,
    open: impl Fn(&State) -> bool,
    mut limit: usize,
    rate_slot: Option<RateSlot>,
) {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let Ok(read) = from.read(&mut buffer).await else {
            return;
        };
        if !wait_open(&from, &mut state, &open).await {
            return;
        }
        if read == 0 {
            let _ = to.shutdown().await;
            return;
        }
        if let Some(rate_slot) = &rate_slot {
            let rate = state.borrow().rate;
            wait_for_rate(rate_slot, rate, read).await;
        }
        let passed = read.min(limit);
        limit -= passed;
        if to.write_all(&buffer[..passed]).await.is_err() || limit == 0 {
            return;
        }
    }
}
