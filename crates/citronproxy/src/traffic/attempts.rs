//! Attempts of one request, each on a connection of its own.

use {
    super::{
        crash_log::fingerprint,
        deadline,
        exchange::{Exchange, ExchangeError},
        limiters::{Denied, Slot},
        pool::Reuse,
        request::set_grant_headers,
        request_body::{ClientBody, UpstreamBody},
        route_wait::RouteError,
        socket::SocketState,
        state::ThreadState,
        target::Target,
    },
    citron_core::{
        crash::Fingerprint,
        id::Revision,
        routing::{AttemptNo, ConnectionPolicy, Event, ExchangeStage, SendAttempt},
        table::ServerRow,
        time::Time,
    },
    citron_ports::is_final_status,
    citron_wire::grant::HEADER_REFUSED,
    http::{HeaderMap, Request, Response, header, request::Parts},
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

/// Outcome of an attempt.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// The head of a response was read.
    Answered(Box<ServerResponse>),
    /// The attempt ended without a response.
    Failed(Event),
}

/// Response of a server that was not forwarded yet.
#[derive(Debug)]
pub struct ServerResponse {
    /// Number of the attempt.
    pub no: AttemptNo,
    /// The response.
    pub response: Response<Incoming>,
    /// Exchange, which continues until the end of the response body.
    pub exchange: Exchange,
}

/// Request with the state that its attempts share.
#[derive(Debug)]
pub struct Attempts {
    /// State of the traffic thread.
    pub state: Rc<ThreadState>,
    /// Head of the request, prepared for forwarding except for what differs by attempt.
    pub head: Parts,
    /// Body of the request.
    pub body: Rc<ClientBody>,
    /// Time at which the client stops waiting.
    pub deadline: Time,
    /// Revision of the last route that a server refused.
    pub refused_revision: Cell<Option<Revision>>,
    /// Server of the last attempt.
    pub last_server: RefCell<Option<Arc<ServerRow>>>,
    /// Time until which the request may wait for a route, over all its attempts.
    pub wait_until: Cell<Option<Time>>,
    /// Time and address of the first write on a reused connection.
    pub first_reused: OnceCell<(Time, SocketAddr)>,
    /// Notified when [`Self::first_reused`] is set.
    pub reuse_notify: Notify,
}

/// Progress of an attempt, which remains available when the attempt is cancelled.
#[derive(Debug, Default)]
struct Progress {
    socket: RefCell<Option<(Rc<SocketState>, u64)>>,
}

impl Progress {
    fn stage(&self) -> ExchangeStage {
        match &*self.socket.borrow() {
            None => ExchangeStage::Unconnected,
            Some((socket, start_bytes)) if socket.written_bytes() == *start_bytes => {
                ExchangeStage::Connected
            }
            Some(_) => ExchangeStage::Written,
        }
    }
}

impl Attempts {
    /// Fingerprint of the request in the crash log.
    pub fn fingerprint(&self) -> Fingerprint {
        fingerprint(&self.head, &self.body)
    }

    /// Waits for a slot of the server that owns the key at present. Without an owner the
    /// result is `None`.
    ///
    /// # Errors
    /// [`Denied`], immediately, if the client has to retry later.
    pub async fn admit(&self) -> Result<Option<Slot>, Denied> {
        let first = SendAttempt {
            no: AttemptNo(0),
            delay: Duration::ZERO,
            timeout: self.deadline - self.state.clock.now(),
            connection: ConnectionPolicy::Any,
            reroute: false,
        };
        // Without an owner there is no server to wait for; the first attempt reports
        // this.
        let Ok(Ok(target)) = timeout(first.timeout, self.wait_target(first)).await else {
            return Ok(None);
        };
        let server = Arc::clone(&target.server);
        drop(target);
        let slot = self.state.limiters.acquire(&server, self.deadline).await?;
        Ok(Some(slot))
    }

    /// Runs one attempt up to the head of the response.
    pub async fn run(&self, send: SendAttempt) -> AttemptOutcome {
        let progress = Progress::default();
        let outcome = timeout(
            send.timeout + send.delay,
            self.attempt_once(send, &progress),
        )
        .await;
        // An attempt that timed out was dropped together with its connection, so nothing
        // more is written and the stage is final.
        outcome
            .unwrap_or_else(|_| AttemptOutcome::Failed(Event::TimedOut(send.no, progress.stage())))
    }

    async fn attempt_once(&self, send: SendAttempt, progress: &Progress) -> AttemptOutcome {
        if !send.delay.is_zero() {
            sleep(send.delay).await;
        }
        let target = match self.wait_target(send).await {
            Ok(target) => target,
            Err(RouteError::Unconfirmed) => {
                return AttemptOutcome::Failed(Event::Unconfirmed(send.no));
            }
            Err(RouteError::NoOwner) => return AttemptOutcome::Failed(Event::Fenced(send.no)),
        };
        let revision = target.permit.snapshot.map.revision;
        let address = target.server.address;
        self.last_server.replace(Some(Arc::clone(&target.server)));
        let reuse = match send.connection {
            ConnectionPolicy::Any => Reuse::ANY,
            ConnectionPolicy::Trusted => Reuse::RECENT,
            ConnectionPolicy::New => Reuse::Never,
        };
        let connection = match self.state.pool.acquire(address, reuse, &[]).await {
            Ok(connection) => connection,
            Err(error) => {
                log::debug!("no connection to {address}: {error}");
                return AttemptOutcome::Failed(Event::Lost(send.no, ExchangeStage::Unconnected));
            }
        };
        let now = self.state.clock.now();
        if connection.is_reused {
            let _ = self.first_reused.set((now, address));
            self.reuse_notify.notify_one();
        }
        let socket = Rc::clone(&connection.socket);
        progress
            .socket
            .replace(Some((Rc::clone(&socket), socket.written_bytes())));
        let request = self.build_request(&target, now);
        let pool = &self.state.pool;
        let mut exchange = Exchange::new(pool, address, connection, target.in_flight, &self.body);
        match exchange.send(request, target.permit, self.deadline).await {
            Ok(response) => {
                self.state
                    .observe_latency(address, self.state.clock.now() - now);
                self.classify_response(send.no, response, exchange, revision)
            }
            Err(error) => {
                log::debug!("exchange with {address} failed: {error}");
                let event = match error {
                    ExchangeError::PermitExpired => Event::Unconfirmed(send.no),
                    ExchangeError::BeforeWrite(_) => Event::Lost(send.no, ExchangeStage::Connected),
                    ExchangeError::AfterWrite(_) => Event::Lost(send.no, ExchangeStage::Written),
                };
                AttemptOutcome::Failed(event)
            }
        }
    }

    fn classify_response(
        &self,
        no: AttemptNo,
        response: Response<Incoming>,
        exchange: Exchange,
        revision: Revision,
    ) -> AttemptOutcome {
        if !is_final_status(response.status()) {
            log::debug!("status {} is not final", response.status());
            return AttemptOutcome::Failed(Event::Lost(no, ExchangeStage::AnswerPart));
        }
        if let Some(reason) = response.headers().get(HEADER_REFUSED) {
            let is_shed = reason == "shed";
            let wait = retry_after(response.headers());
            exchange.finish_refused(response.body().is_end_stream());
            if is_shed {
                return AttemptOutcome::Failed(Event::Refused { no, wait });
            }
            self.refused_revision.set(Some(revision));
            return AttemptOutcome::Failed(Event::Fenced(no));
        }
        if !is_delimited(&response) {
            return AttemptOutcome::Failed(Event::Lost(no, ExchangeStage::AnswerPart));
        }
        AttemptOutcome::Answered(Box::new(ServerResponse {
            no,
            response,
            exchange,
        }))
    }

    /// Waits for the first write on a reused connection.
    pub async fn wait_reused(&self) -> (Time, SocketAddr) {
        loop {
            if let Some(reused) = self.first_reused.get() {
                return *reused;
            }
            self.reuse_notify.notified().await;
        }
    }

    fn build_request(&self, target: &Target, now: Time) -> Request<UpstreamBody> {
        let mut head = self.head.clone();
        set_grant_headers(&mut head.headers, &target.service.row, &target.route);
        deadline::set_timeout_header(&mut head.headers, self.deadline, now);
        Request::from_parts(head, UpstreamBody::new(&self.body))
    }
}

/// Whether the end of a response can be distinguished from its truncation. A response
/// that ends with its connection looks complete wherever it is cut.
fn is_delimited(response: &Response<Incoming>) -> bool {
    let is_chunked = response.headers().contains_key(header::TRANSFER_ENCODING);
    let body = response.body();
    is_chunked || body.is_end_stream() || body.size_hint().exact().is_some()
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(header::RETRY_AFTER)?;
    let seconds: u64 = value.to_str().ok()?.parse().ok()?;
    Some(Duration::from_secs(seconds))
}
