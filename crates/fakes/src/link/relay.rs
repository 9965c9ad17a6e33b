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
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

#[derive(Debug, Clone, Copy)]
struct State {
    /// Where new connections go.
    target: SocketAddr,
    /// Nothing passes; what was sent passes once the link is whole again, as
    /// TCP sends again what was not acknowledged.
    cut: bool,
    /// Nothing comes back.
    mute: bool,
    /// How long bytes are held up on their way there.
    delay: Duration,
    /// Bytes a second that come back, over all connections.
    rate: Option<u32>,
    /// Connections opened before this many silencings carry nothing any more.
    silenced: u64,
    /// Connections opened before this many closings are closed.
    closed: u64,
    /// The answers on the next so many connections are torn.
    torn: u32,
    /// After so many bytes.
    after: usize,
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
type Taken = Arc<Mutex<Instant>>;

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
                cut: false,
                mute: false,
                delay: Duration::ZERO,
                rate: None,
                silenced: 0,
                closed: 0,
                torn: 0,
                after: 0,
            }),
        };
        tokio::spawn(accept(listener, link.state.clone()));
        Ok(link)
    }

    /// Leads new connections to another target.
    pub fn lead_to(&self, target: SocketAddr) {
        self.state.send_modify(|state| state.target = target);
    }

    /// Cuts the link in both directions, silently.
    pub fn cut(&self) {
        self.state.send_modify(|state| state.cut = true);
    }

    /// What is sent arrives, and nothing comes back.
    pub fn mute(&self) {
        self.state.send_modify(|state| state.mute = true);
    }

    /// Holds everything up that is sent.
    pub fn delay(&self, span: Duration) {
        self.state.send_modify(|state| state.delay = span);
    }

    /// Lets so many bytes a second come back, over all connections together.
    pub fn narrow(&self, rate: u32) {
        self.state.send_modify(|state| state.rate = Some(rate));
    }

    /// Makes the link whole, quick and wide.
    pub fn heal(&self) {
        self.state.send_modify(|state| {
            state.cut = false;
            state.mute = false;
            state.delay = Duration::ZERO;
            state.rate = None;
        });
    }

    /// Closes all connections open now; new ones work.
    pub fn close_open(&self) {
        self.state.send_modify(|state| state.closed += 1);
    }

    /// All connections open now go silent for good; new ones work.
    pub fn silence_open(&self) {
        self.state.send_modify(|state| state.silenced += 1);
    }

    /// On each of the next `count` connections, the answer is cut off by a close
    /// after `after` bytes.
    pub fn tear(&self, count: u32, after: usize) {
        self.state.send_modify(|state| {
            state.torn = count;
            state.after = after;
        });
    }
}

async fn accept(listener: TcpListener, state: watch::Sender<State>) {
    let taken = Taken::new(Mutex::new(Instant::now()));
    loop {
        match listener.accept().await {
            Ok((near, _)) => {
                let limit = take_tear(&state);
                let taken = Arc::clone(&taken);
                tokio::spawn(connection(near, state.subscribe(), limit, taken));
            }
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// How many bytes of the next connection's answer pass.
fn take_tear(state: &watch::Sender<State>) -> usize {
    let mut limit = usize::MAX;
    state.send_if_modified(|state| {
        if state.torn > 0 {
            state.torn -= 1;
            limit = state.after;
        }
        false
    });
    limit
}

async fn connection(
    near: TcpStream,
    mut state: watch::Receiver<State>,
    limit: usize,
    taken: Taken,
) {
    // One borrow: a second one beside it blocks for ever if a change waits between them.
    let State {
        silenced: born,
        closed,
        ..
    } = *state.borrow();
    let there = |state: &State| !state.cut && state.silenced == born;
    let back = |state: &State| there(state) && !state.mute;
    if state.wait_for(there).await.is_err() {
        return;
    }
    let target = state.borrow().target;
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let there = pump(near_read, far_write, state.clone(), there, usize::MAX, None);
    let back = pump(
        far_read,
        near_write,
        state.clone(),
        back,
        limit,
        Some(taken),
    );
    tokio::select! {
        _ = state.wait_for(|state| state.closed != closed) => {}
        // The end of an answer ends both directions; a caller's half-close does
        // not.
        () = back => {}
        () = async { there.await; std::future::pending().await } => {}
    }
}

/// Waits until bytes may pass; `false` if the link is gone, or if the sender has
/// reset its connection meanwhile: a network then loses what it had held up.
async fn passes(
    from: &OwnedReadHalf,
    state: &mut watch::Receiver<State>,
    open: impl Fn(&State) -> bool,
) -> bool {
    let delay = state.borrow().delay;
    sleep(delay).await;
    let open = state.wait_for(|state| open(state)).await.is_ok();
    open && matches!(from.as_ref().take_error(), Ok(None))
}

/// Waits for a turn on a narrow link.
async fn take(taken: &Taken, rate: Option<u32>, bytes: usize) {
    let Some(rate) = rate else { return };
    let span = Duration::from_secs_f64(bytes as f64 / f64::from(rate));
    let until = {
        let mut taken = taken.lock().unwrap_or_else(PoisonError::into_inner);
        *taken = (*taken).max(Instant::now()) + span;
        *taken
    };
    sleep_until(until).await;
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<State>,
    open: impl Fn(&State) -> bool,
    mut limit: usize,
    taken: Option<Taken>,
) {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let Ok(read) = from.read(&mut buffer).await else {
            return;
        };
        if !passes(&from, &mut state, &open).await {
            return;
        }
        if read == 0 {
            let _ = to.shutdown().await;
            return;
        }
        if let Some(taken) = &taken {
            let rate = state.borrow().rate;
            take(taken, rate, read).await;
        }
        let passed = read.min(limit);
        limit -= passed;
        if to.write_all(&buffer[..passed]).await.is_err() || limit == 0 {
            return;
        }
    }
}
