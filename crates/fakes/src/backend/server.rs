//! HTTP server of the fake backend server.

use {
    super::{Execution, ExecutionLog, Fence},
    crate::http::{HttpResponse, byte_response, json_response},
    citron_core::{
        id::{Epoch, ServiceName},
        ownership::{BootId, Grant, GrantKind, GrantResult, Scope, ServerLease},
    },
    citron_wire::grant::{
        GRANTS_PATH, GrantOrderWire, GrantReplyWire, GrantResultWire, HEADER_EPOCH, HEADER_REFUSED,
        HEADER_SCOPE, HEADER_SERVICE, parse_scope,
    },
    http::{HeaderMap, HeaderValue, Method, Request, StatusCode},
    http_body_util::BodyExt,
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    serde_json::json as json_value,
    std::{
        convert::Infallible,
        io,
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
        time::{Duration, Instant, SystemTime},
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{Semaphore, watch},
    },
};

/// Request header with the milliseconds left until the caller's deadline.
const HEADER_TIMEOUT: &str = "citron-timeout-ms";

/// Settings of a fake backend server.
#[derive(Debug, Clone)]
pub struct BackendConfig {
    /// Name of the server.
    pub name: String,
    /// Number of requests that run at the same time.
    pub slots: usize,
    /// Execution time of a request.
    pub work: Duration,
    /// Whether the server rejects requests that its grants do not allow.
    pub checks_grants: bool,
}

/// Fake backend server with its HTTP server, which stops with its runtime.
#[derive(Debug, Clone)]
pub struct BackendServer {
    /// Address of the HTTP server.
    pub address: SocketAddr,
    /// Log of the executed requests.
    pub executions: ExecutionLog,
    config: BackendConfig,
    slots: Arc<Semaphore>,
    fence: Arc<Mutex<Fence>>,
    is_draining: Arc<AtomicBool>,
    frozen: watch::Sender<bool>,
    crashed: watch::Sender<bool>,
    started_at: Instant,
}

impl BackendServer {
    /// Starts the server in the current runtime. Port 0 chooses a free port.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub async fn start(address: SocketAddr, config: BackendConfig) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let boot = BootId(unix_micros());
        let server = Self {
            address: listener.local_addr()?,
            executions: ExecutionLog::default(),
            slots: Arc::new(Semaphore::new(config.slots)),
            fence: Arc::new(Mutex::new(Fence::new(boot))),
            is_draining: Arc::default(),
            frozen: watch::Sender::default(),
            crashed: watch::Sender::default(),
            started_at: Instant::now(),
            config,
        };
        tokio::spawn(server.clone().accept(listener));
        Ok(server)
    }

    async fn accept(self, listener: TcpListener) {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = self.wait_crashed() => return,
            };
            let Ok((stream, _)) = accepted else {
                continue;
            };
            tokio::spawn(self.clone().handle_connection(stream));
        }
    }

    async fn handle_connection(self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let service = service_fn(|request| self.handle(request));
        let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::select! {
            ended = served => log::debug!("backend connection ended: {ended:?}"),
            () = self.wait_crashed() => {}
        }
    }

    async fn handle(&self, request: Request<Incoming>) -> Result<HttpResponse, Infallible> {
        let (head, body) = request.into_parts();
        let Ok(body) = body.collect().await else {
            return Ok(byte_response(StatusCode::BAD_REQUEST, Vec::new()));
        };
        let body = body.to_bytes();
        self.wait_thawed().await;
        if head.method == Method::OPTIONS {
            return Ok(self.health_response());
        }
        match head.uri.path() {
            GRANTS_PATH => Ok(self.apply_grants(&body).await),
            "/.citron/runs" => Ok(json_response(StatusCode::OK, &self.executions.all())),
            path => Ok(self.execute(path, &head.headers, body.len()).await),
        }
    }

    /// Suspends the server as SIGSTOP does: connections are still accepted and requests
    /// wait, while the server's clock goes on.
    pub fn freeze(&self) {
        self.frozen.send_replace(true);
    }

    /// Stops the server as SIGKILL does: open connections are closed, new ones are refused,
    /// and running requests end at once.
    pub fn crash(&self) {
        self.crashed.send_replace(true);
        self.executions.finish_all(unix_micros());
    }

    /// Waits until [`Self::crash`] is called.
    async fn wait_crashed(&self) {
        let mut crashed = self.crashed.subscribe();
        let _ = crashed.wait_for(|crashed| *crashed).await;
    }

    /// Resumes the server after [`Self::freeze`].
    pub fn thaw(&self) {
        self.frozen.send_replace(false);
    }

    /// Waits while the server is suspended.
    async fn wait_thawed(&self) {
        let mut frozen = self.frozen.subscribe();
        let _ = frozen.wait_for(|frozen| !frozen).await;
    }

    /// Makes health checks report that the server is draining, from now on.
    pub fn drain(&self) {
        self.is_draining.store(true, Ordering::Relaxed);
    }

    fn health_response(&self) -> HttpResponse {
        match self.is_draining.load(Ordering::Relaxed) {
            true => misdirected("draining"),
            false => byte_response(StatusCode::OK, Vec::new()),
        }
    }

    async fn apply_grants(&self, body: &[u8]) -> HttpResponse {
        let order: GrantOrderWire = match serde_json::from_slice(body) {
            Ok(order) => order,
            Err(error) => {
                return byte_response(StatusCode::BAD_REQUEST, error.to_string().into_bytes());
            }
        };
        let grants: Result<Vec<Grant>, _> = order.grants.into_iter().map(Grant::try_from).collect();
        let grants = match grants {
            Ok(grants) => grants,
            Err(error) => {
                return byte_response(StatusCode::BAD_REQUEST, error.to_string().into_bytes());
            }
        };
        let boot = order.boot.map(BootId);
        let lease = order.lease.map(ServerLease::from);
        let clock = self.started_at.elapsed();
        self.wait_thawed().await;
        let reply = self.fence().apply(boot, &grants, lease, clock);
        // A revocation is acknowledged only after all running requests of the scope ended.
        for grant in grants.iter().filter(|g| g.kind == GrantKind::Revoke) {
            while self
                .executions
                .is_running(&grant.scope.to_string(), grant.epoch.0)
            {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        }
        let results = reply
            .results
            .iter()
            .zip(&grants)
            .map(|(result, grant)| match result {
                GrantResult::Accepted => GrantResultWire {
                    accepted: true,
                    seen: grant.epoch.0,
                },
                GrantResult::Stale { seen } => GrantResultWire {
                    accepted: false,
                    seen: seen.0,
                },
            });
        let wire = GrantReplyWire {
            boot: reply.boot.0,
            clock_us: reply.clock.as_micros() as u64,
            results: results.collect(),
        };
        json_response(StatusCode::OK, &wire)
    }

    async fn execute(&self, path: &str, headers: &HeaderMap, size: usize) -> HttpResponse {
        let Ok(_slot) = self.slots.acquire().await else {
            return byte_response(StatusCode::SERVICE_UNAVAILABLE, Vec::new());
        };
        self.wait_thawed().await;
        let Some(index) = self.start_execution(path, headers) else {
            return misdirected("epoch");
        };
        // A started request runs to its end even if the caller disconnects. Its recorded end
        // is capped at its deadline, as a server that is past the deadline after a
        // suspension abandons the request.
        let server = self.clone();
        let deadline = unix_micros().saturating_add(remaining_micros(headers));
        let work = tokio::spawn(async move {
            tokio::time::sleep(server.config.work).await;
            server.wait_thawed().await;
            server.executions.finish(index, unix_micros().min(deadline));
        });
        let _ = work.await;
        let body = json_value!({ "server": self.config.name, "path": path, "received": size });
        json_response(StatusCode::OK, &body)
    }

    /// Checks the grant and records the execution under one lock, so that no revocation
    /// can come between the two. Returns the index of the execution, or `None` if the
    /// grants do not allow the request.
    fn start_execution(&self, path: &str, headers: &HeaderMap) -> Option<usize> {
        let fence = self.fence();
        let is_allowed = !self.config.checks_grants || self.is_allowed(&fence, headers);
        is_allowed.then(|| self.executions.push(self.new_execution(path, headers)))
    }

    fn fence(&self) -> MutexGuard<'_, Fence> {
        self.fence.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_allowed(&self, fence: &Fence, headers: &HeaderMap) -> bool {
        parse_grant_headers(headers).is_some_and(|(service, scope, epoch)| {
            fence.allows(&service, scope, epoch, self.started_at.elapsed())
        })
    }

    fn new_execution(&self, path: &str, headers: &HeaderMap) -> Execution {
        Execution {
            server: self.config.name.clone(),
            scope: header_text(headers, HEADER_SCOPE).to_string(),
            epoch: header_text(headers, HEADER_EPOCH).parse().unwrap_or(0),
            path: path.to_string(),
            id: header_text(headers, "test-id").to_string(),
            at_us: unix_micros(),
            end_us: 0,
        }
    }
}

/// Returns the time until the request's deadline in microseconds.
fn remaining_micros(headers: &HeaderMap) -> u64 {
    let millis: Option<u64> = header_text(headers, HEADER_TIMEOUT).parse().ok();
    millis.map_or(u64::MAX, |millis| millis.saturating_mul(1_000))
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or("")
}

fn parse_grant_headers(headers: &HeaderMap) -> Option<(ServiceName, Scope, Epoch)> {
    let service = header_text(headers, HEADER_SERVICE).parse().ok()?;
    let scope = parse_scope(header_text(headers, HEADER_SCOPE)).ok()?;
    let epoch = header_text(headers, HEADER_EPOCH).parse().ok()?;
    Some((service, scope, epoch))
}

fn misdirected(reason: &'static str) -> HttpResponse {
    let mut response = byte_response(StatusCode::MISDIRECTED_REQUEST, Vec::new());
    let value = HeaderValue::from_static(reason);
    response.headers_mut().insert(HEADER_REFUSED, value);
    response
}

fn unix_micros() -> u64 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    now.map_or(0, |since| since.as_micros() as u64)
}
