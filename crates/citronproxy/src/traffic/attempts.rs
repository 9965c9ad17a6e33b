//! The tries of one request, each on a connection of its own.

use {
    super::{
        crash_log::fingerprint,
        deadline,
        exchange::{Exchange, ExchangeError},
        limiters::{Denied, Slot},
        pool::Reuse,
        request::set_grant,
        request_body::{Source, Upload},
        route_wait::NoRoute,
        socket::Wire,
        state::State,
        target::Target,
    },
    citron_core::{
        crash::Fingerprint,
        id::Revision,
        routing::{AttemptNo, ConnectionPolicy, Event, ExchangeStage, SendAttempt},
        table::ServerRow,
        time::Time,
    },
    citron_wire::grant::HEADER_REFUSED,
    http::{HeaderMap, Request, Response, StatusCode, header, request::Parts},
    hyper::body::{Body, Incoming},
    std::{
        cell::{Cell, OnceCell, RefCell},
        net::SocketAddr,
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::{
        sync::Notify,
        time::{sleep, timeout},
    },
};

/// How a try ended.
#[derive(Debug)]
pub enum Ended {
    /// The head of an answer was read.
    Answered(Box<Answered>),
    /// It gave none.
    Failed(Event),
}

/// A server's answer, not yet passed on.
#[derive(Debug)]
pub struct Answered {
    /// Which try.
    pub no: AttemptNo,
    /// The answer.
    pub response: Response<Incoming>,
    /// The exchange, which goes on until the answer's end.
    pub exchange: Exchange,
}

/// One request that is being tried.
#[derive(Debug)]
pub struct Tries {
    /// The thread's state.
    pub state: Rc<State>,
    /// The head, ready to be passed on but for what differs by try.
    pub head: Parts,
    /// The body.
    pub source: Rc<Source>,
    /// When the caller stops waiting.
    pub deadline: Time,
    /// The revision of the last route that was refused.
    pub refused: Cell<Option<Revision>>,
    /// The server of the last try.
    pub server: RefCell<Option<Arc<ServerRow>>>,
    /// Until when it waits for its key's owner to be certain.
    pub patient: Cell<Option<Time>>,
    /// Begin and address of the first write on a connection that was used before.
    pub reused: OnceCell<(Time, SocketAddr)>,
    /// Tells when the field above is set.
    pub noted: Notify,
}

/// How far a try has got; outlives it when it is cancelled.
#[derive(Debug, Default)]
struct Progress {
    wire: RefCell<Option<(Rc<Wire>, u64)>>,
}

impl Progress {
    fn point(&self) -> ExchangeStage {
        match &*self.wire.borrow() {
            None => ExchangeStage::Unconnected,
            Some((wire, begun)) if wire.written() == *begun => ExchangeStage::Connected,
            Some(_) => ExchangeStage::Written,
        }
    }
}

impl Tries {
    /// What tells the request from others.
    pub fn fingerprint(&self) -> Fingerprint {
        fingerprint(&self.head, &self.source)
    }

    /// Waits for a slot of the server that owns the key now.
    ///
    /// # Errors
    /// [`Denied`], at once, if the request has to come back later.
    pub async fn admit(&self) -> Result<Option<Slot>, Denied> {
        let first = SendAttempt {
            no: AttemptNo(0),
            delay: Duration::ZERO,
            timeout: self.deadline - self.state.clock.now(),
            connection: ConnectionPolicy::Any,
            reroute: false,
        };
        // Without an owner there is no server to wait for; the first try tells so.
        let Ok(Ok(target)) = timeout(first.timeout, self.target(first)).await else {
            return Ok(None);
        };
        let server = Arc::clone(&target.server);
        drop(target);
        let slot = self.state.gates.enter(&server, self.deadline).await?;
        Ok(Some(slot))
    }

    /// Runs one try to the head of an answer.
    pub async fn run(&self, send: SendAttempt) -> Ended {
        let progress = Progress::default();
        let tried = timeout(send.timeout + send.delay, self.try_once(send, &progress)).await;
        // A try that ran out of time was dropped with its connection, so that
        // nothing is written any more: the point is final.
        tried.unwrap_or_else(|_| Ended::Failed(Event::TimedOut(send.no, progress.point())))
    }

    async fn try_once(&self, send: SendAttempt, progress: &Progress) -> Ended {
        if !send.delay.is_zero() {
            sleep(send.delay).await;
        }
        let target = match self.target(send).await {
            Ok(target) => target,
            Err(NoRoute::Unconfirmed) => return Ended::Failed(Event::Unconfirmed(send.no)),
            Err(NoRoute::Moving) => return Ended::Failed(Event::Fenced(send.no)),
        };
        let revision = target.leave.snapshot.map.revision;
        let address = target.server.address;
        self.server.replace(Some(Arc::clone(&target.server)));
        let reuse = match send.connection {
            ConnectionPolicy::Any => Reuse::ANY,
            ConnectionPolicy::Trusted => Reuse::FRESH,
            ConnectionPolicy::New => Reuse::Never,
        };
        let connection = match self.state.pool.take(address, reuse).await {
            Ok(connection) => connection,
            Err(error) => {
                log::debug!("{address}: {error}");
                return Ended::Failed(Event::Lost(send.no, ExchangeStage::Unconnected));
            }
        };
        let now = self.state.clock.now();
        if connection.reused {
            let _ = self.reused.set((now, address));
            self.noted.notify_one();
        }
        let wire = Rc::clone(&connection.wire);
        progress
            .wire
            .replace(Some((Rc::clone(&wire), wire.written())));
        let request = self.request(&target, now);
        let pool = &self.state.pool;
        let mut exchange = Exchange::new(pool, address, connection, target.flight, &self.source);
        match exchange.send(request, target.leave, self.deadline).await {
            Ok(response) => {
                self.state.observe(address, self.state.clock.now() - now);
                self.answered(send.no, response, exchange, revision)
            }
            Err(error) => {
                log::debug!("{address}: {error}");
                let event = match error {
                    ExchangeError::Leave => Event::Unconfirmed(send.no),
                    ExchangeError::Before(_) => Event::Lost(send.no, ExchangeStage::Connected),
                    ExchangeError::After(_) => Event::Lost(send.no, ExchangeStage::Written),
                };
                Ended::Failed(event)
            }
        }
    }

    fn answered(
        &self,
        no: AttemptNo,
        response: Response<Incoming>,
        exchange: Exchange,
        revision: Revision,
    ) -> Ended {
        if let Some(reason) = response.headers().get(HEADER_REFUSED) {
            let shed = reason == "shed";
            let wait = retry_after(response.headers());
            exchange.refused(response.body().is_end_stream());
            if shed {
                return Ended::Failed(Event::Refused { no, wait });
            }
            self.refused.set(Some(revision));
            return Ended::Failed(Event::Fenced(no));
        }
        if !is_delimited(&response) {
            return Ended::Failed(Event::Lost(no, ExchangeStage::AnswerPart));
        }
        Ended::Answered(Box::new(Answered {
            no,
            response,
            exchange,
        }))
    }

    /// Waits for the first write on a connection that was used before.
    pub async fn reused(&self) -> (Time, SocketAddr) {
        loop {
            if let Some(reused) = self.reused.get() {
                return *reused;
            }
            self.noted.notified().await;
        }
    }

    fn request(&self, target: &Target, now: Time) -> Request<Upload> {
        let mut head = self.head.clone();
        set_grant(&mut head.headers, &target.service.row, &target.route);
        deadline::pass_on(&mut head.headers, self.deadline, now);
        Request::from_parts(head, Upload::new(&self.source))
    }
}

/// Whether the end of the answer can be told from its being cut short. One that
/// ends with its connection looks whole wherever it is cut.
fn is_delimited(response: &Response<Incoming>) -> bool {
    if response.status() == StatusCode::SWITCHING_PROTOCOLS {
        return false;
    }
    let chunked = response.headers().contains_key(header::TRANSFER_ENCODING);
    let body = response.body();
    chunked || body.is_end_stream() || body.size_hint().exact().is_some()
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(header::RETRY_AFTER)?;
    let seconds: u64 = value.to_str().ok()?.parse().ok()?;
    Some(Duration::from_secs(seconds))
}
