//! A client's request in progress: executes the steps that its state machine decides.

use {
    super::{
        attempt::{AttemptResult, send},
        crash,
        detour::{self, DetourResult, mark_unreached},
        permit,
        request_log::{AbandonmentLog, RequestLog},
        request_scope::RequestScope,
        response::{ResponseBody, local_response, not_run_response},
        slot::{self, SlotDecision, SlotLease, SlotQuery},
        target::{TargetQuery, select_target},
    },
    crate::{edge::view::View, events, events::Event as LogEvent},
    citron_core::{
        dispatch::Links,
        id::{InstanceId, ServerName},
        registry::ServerRecord,
        request::{
            DetourPeer, Event, FinalResponse, Reason, RequestContext, RequestProgress, Step,
            Target, Wake,
        },
        routes::RouteRule,
        slots::SlotOutcome,
    },
    http::{Response, StatusCode},
    std::{fmt, future::pending, pin::pin, sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// Response that can be forwarded.
type Reply = Response<ResponseBody>;

/// Ends of an attempt at a server and of one beside it through another instance. One of them
/// is missing if it was not made, or was given up because the other has responded.
#[derive(Debug)]
struct SendEnd {
    direct: Option<AttemptResult>,
    detour: Option<(DetourPeer, DetourResult)>,
}

impl SendEnd {
    fn direct(result: AttemptResult) -> Self {
        Self {
            direct: Some(result),
            detour: None,
        }
    }
}

/// A client's request in progress.
#[derive(Debug)]
pub struct ActiveRequest<'a> {
    /// Route of the request, as configured by the operator.
    pub rule: &'a RouteRule,
    /// The request and the state of its traffic thread.
    pub scope: RequestScope<'a>,
    /// Log lines of the request.
    pub log: RequestLog<'a>,
    /// What was done so far, which decides the next step.
    pub progress: RequestProgress,
    /// Time for which the client waits, as it stated with the request.
    pub client_timeout: Duration,
    /// Slot for the next attempt, if a broker has granted one.
    pub slot: Option<SlotLease>,
    /// Broker that denied a slot.
    pub denied_by: Option<InstanceId>,
}

impl ActiveRequest<'_> {
    /// Runs the request until it has a response or its deadline passes.
    pub async fn run(mut self) -> Reply {
        let state = self.scope.state;
        let remaining = self.scope.request.deadline - state.clock.now();
        let mut abandonment = AbandonmentLog::new(self.log);
        let result = timeout(remaining, self.run_steps()).await;
        abandonment.cancel();
        let response = result.unwrap_or_else(|_| {
            let sent = self.scope.request.sent.get();
            let may_be_sent = sent.is_some_and(|sent| sent.is_sent());
            let now = state.clock.now();
            let response = self.progress.expire(may_be_sent, now, &self.scope);
            self.respond(response)
        });
        let mut metrics = state.local_metrics.borrow_mut();
        metrics.count_request(
            self.scope.service,
            self.progress.outcome(),
            self.progress.attempts(),
            self.elapsed(),
        );
        response
    }

    /// Executes steps until one of them yields the response.
    async fn run_steps(&mut self) -> Reply {
        let mut step = Step::ReadView;
        loop {
            step = match step {
                Step::Send(server) => {
                    let slot = self.slot.take();
                    let end = self.send_to(&server, slot).await;
                    let step = self.on_send_end(&server, end);
                    self.scope.request.sent.set(None);
                    step
                }
                Step::Detour(peer, owner) => self.send_through(peer, owner).await,
                Step::ReadView
                | Step::Select
                | Step::AcquireSlot(_)
                | Step::AcquirePermit(..)
                | Step::Wait { .. } => self.select_hop().await,
                Step::Respond(response) => return self.respond(response),
            };
        }
    }

    /// Reads the view and selects a server until the request is sent or responded to.
    async fn select_hop(&mut self) -> Step<Reply> {
        let state = self.scope.state;
        let mut view_updates = state.shared.subscribe_views();
        loop {
            view_updates.borrow_and_update();
            let Some(view) = state.shared.view() else {
                return self.handle(Event::NoView);
            };
            let capacity_freed = state.capacity_freed.notified();
            let mut step = self.handle(Event::ViewRead);
            if let Step::Select = step {
                step = self.handle(Event::Selected(self.select(&view)));
            }
            if let Step::AcquireSlot(server) = step {
                step = self.acquire_slot(&view, server).await;
            }
            if let Step::AcquirePermit(server, request) = step {
                step = self.handle(match permit::acquire(state, &view, request).await {
                    true => Event::PermitGranted(server),
                    false => Event::PermitDenied,
                });
            }
            match step {
                Step::ReadView => {}
                Step::Wait { until, wake } => {
                    let limit = until - state.clock.now();
                    // A wait that times out has the same effect as one that is ended.
                    match wake {
                        Wake::CapacityFreed => drop(timeout(limit, capacity_freed).await),
                        Wake::ViewChanged => drop(timeout(limit, view_updates.changed()).await),
                    }
                }
                step => return step,
            }
        }
    }

    /// Asks the broker of a server for a slot, which is kept for the attempt.
    async fn acquire_slot(&mut self, view: &View, server: Arc<ServerRecord>) -> Step<Reply> {
        let query = SlotQuery {
            route: &self.rule.name,
            priority: self.rule.priority,
            timeout: self.client_timeout,
            objective: self.scope.request.objective,
            deadline: self.scope.request.deadline,
        };
        let event = match slot::acquire(self.scope.state, view, &server, &query).await {
            SlotDecision::Granted(lease) => {
                self.slot = Some(lease);
                Event::SlotGranted(server)
            }
            SlotDecision::Denied {
                retry_after,
                reason,
                broker,
            } => {
                self.denied_by = Some(broker);
                Event::SlotDenied {
                    retry_after,
                    reason,
                }
            }
            SlotDecision::Unavailable => Event::SlotUnavailable,
        };
        let step = self.handle(event);
        if !matches!(step, Step::Send(_))
            && let Some(lease) = self.slot.take()
        {
            lease.close(SlotOutcome::Unused);
        }
        step
    }

    /// Reports an event and returns the next step.
    fn handle(&mut self, event: Event<Reply>) -> Step<Reply> {
        let now = self.scope.state.clock.now();
        self.progress.handle(event, now, &self.scope)
    }

    /// Selects a server by the given view.
    fn select(&self, view: &Arc<View>) -> Target {
        let request = &self.scope.request;
        let query = TargetQuery {
            service: self.scope.service,
            key: self.scope.key,
            objective: request.objective,
            deadline: request.deadline,
            idempotency: request.idempotency,
            tried: self.progress.tried(),
            stale_owner: self.progress.stale_owner(),
            asks_brokers: self.progress.asks_brokers(),
        };
        select_target(self.scope.state, view, &query)
    }

    /// Sends the request to a server. If this instance is cut off from all servers meanwhile,
    /// and the request may run twice, a second attempt is made through another instance. The
    /// first one goes on: its server may be at work, and the response may still come.
    async fn send_to(&self, server: &ServerRecord, slot: Option<SlotLease>) -> SendEnd {
        let (state, request) = (self.scope.state, &self.scope.request);
        let mut direct = pin!(send(state, server, request, slot));
        let peer = tokio::select! {
            result = &mut direct => return SendEnd::direct(result),
            peer = self.wait_for_second_attempt() => peer,
        };
        let through = peer.clone();
        let mut detour = pin!(detour::send(state, &through, request));
        tokio::select! {
            result = &mut direct => match result {
                AttemptResult::Responded(_) => {
                    self.log.superseded(&format!("detour through {}", peer.instance));
                    SendEnd::direct(result)
                }
                _ => SendEnd { direct: Some(result), detour: Some((peer, detour.await)) },
            },
            result = &mut detour => match result.is_final() {
                true => {
                    self.log.superseded(&format!("attempt at server {}", server.entry.name));
                    SendEnd { direct: None, detour: Some((peer, result)) }
                }
                false => SendEnd { direct: Some(direct.await), detour: Some((peer, result)) },
            },
        }
    }

    /// Waits until a second attempt may be made, and returns the instance for it. Never
    /// returns if the request must not run twice.
    async fn wait_for_second_attempt(&self) -> DetourPeer {
        let state = self.scope.state;
        let mut links = state.shared.subscribe_links();
        // The sender is part of the shared state and lives as long as the process.
        let _ = links.wait_for(|links| *links == Links::CutOff).await;
        match self.progress.second_attempt(state.clock.now(), &self.scope) {
            Some(peer) => peer,
            None => pending().await,
        }
    }

    /// Logs and records the end of the attempts that [`Self::send_to`] made.
    fn on_send_end(&mut self, server: &ServerRecord, end: SendEnd) -> Step<Reply> {
        if let Some(result) = &end.direct {
            self.log_attempt(server, result);
            self.record_attempt(server, result);
        }
        if let Some((peer, result)) = &end.detour {
            self.log_detour(peer, result);
        }
        let name = server.entry.name.clone();
        let direct = end.direct.map(AttemptResult::into_end);
        self.handle(match (direct, end.detour) {
            (direct, Some((peer, result))) => Event::BothEnded {
                server: name,
                direct,
                peer: peer.instance,
                detour: result.into_end(),
            },
            (Some(direct), None) => Event::AttemptEnded(name, direct),
            (None, None) => return Step::ReadView,
        })
    }

    /// Records what the end of an attempt says about requests that crash servers.
    fn record_attempt(&self, server: &ServerRecord, result: &AttemptResult) {
        let (shared, clock) = (&self.scope.state.shared, self.scope.state.clock);
        match result {
            AttemptResult::Responded(response) if response.status().is_success() => {
                let mut crashes = shared.crashes();
                if !crashes.is_empty() {
                    crashes.record_answer(self.scope.fingerprint(), clock.now());
                }
            }
            AttemptResult::Lost(_) => {
                let head = self.scope.request.head;
                let label = format!("{} {}", head.method, head.uri);
                let fingerprint = self.scope.fingerprint();
                crash::detect_crash(Arc::clone(shared), clock, &server.entry, fingerprint, label);
            }
            _ => {}
        }
    }

    /// Sends the request through another instance.
    async fn send_through(&mut self, peer: DetourPeer, owner: Option<ServerName>) -> Step<Reply> {
        let state = self.scope.state;
        let result = detour::send(state, &peer, &self.scope.request).await;
        self.log_detour(&peer, &result);
        self.scope.request.sent.set(None);
        if let (DetourResult::Unreached(_), Some(owner)) = (&result, owner) {
            let now = state.clock.now();
            // An instance of this failure domain may be behind the same cut.
            if !peer.is_near {
                state.shared.record_ended(&owner, now);
            }
            state.unreached.borrow_mut().insert(owner, now);
        }
        self.handle(Event::DetourEnded(peer.instance, result.into_end()))
    }

    /// The response to the client, with a log line if this instance generates it.
    fn respond(&self, response: FinalResponse<Reply>) -> Reply {
        match response {
            FinalResponse::Forward(response) => response,
            FinalResponse::Reject {
                retry_after,
                reason,
                is_unreached,
            } => {
                let broker = self.denied_by.as_ref();
                let broker = broker.map_or_else(String::new, |broker| format!(" broker={broker}"));
                self.log_end(
                    events::REQUEST_REFUSED,
                    format_args!("{broker} again={retry_after:?}"),
                    reason,
                );
                let mut response = not_run_response(retry_after, &reason.to_string());
                if is_unreached {
                    mark_unreached(&mut response);
                }
                response
            }
            FinalResponse::Unknown { reason, is_late } => {
                self.log_end(events::REQUEST_UNKNOWN, format_args!(""), reason);
                let status = match is_late {
                    true => StatusCode::GATEWAY_TIMEOUT,
                    false => StatusCode::BAD_GATEWAY,
                };
                local_response(status, &reason.to_string())
            }
        }
    }

    /// Time since the request was received.
    fn elapsed(&self) -> Duration {
        self.progress.elapsed(self.scope.state.clock.now())
    }

    /// Logs the response that this instance generates.
    fn log_end(&self, event: LogEvent, details: fmt::Arguments<'_>, reason: Reason) {
        let owner = self.scope.owner();
        log::info!(
            "{event} id={} route={} service={} server={} waited={:?} tried={} {}{details}{}: {reason}",
            self.log.request_id,
            self.rule.name,
            self.scope.service,
            owner.map_or("-".to_string(), |owner| owner.to_string()),
            self.elapsed(),
            self.progress.tried().len(),
            self.scope.state.table_ages(),
            self.sent_text()
        );
    }

    /// What the attempt in progress has written, or that which has just ended.
    fn sent_text(&self) -> String {
        let sent = self.scope.request.sent.get();
        sent.map_or_else(String::new, |sent| format!(" {sent}"))
    }

    /// Logs an attempt through another instance that failed or was rejected there.
    fn log_detour(&self, peer: &DetourPeer, result: &DetourResult) {
        if !result.is_final() {
            self.log
                .failed_detour(&peer.instance, &self.sent_text(), result);
        }
    }

    /// Logs an attempt that failed. Other responses are not logged.
    fn log_attempt(&self, server: &ServerRecord, result: &AttemptResult) {
        if let AttemptResult::Responded(response) = result
            && !response.status().is_server_error()
        {
            return;
        }
        log::info!(
            "{} id={} server={} epoch={} waited={:?}{}{}: {result}",
            events::TRY_FAILED,
            self.log.request_id,
            server.entry.name,
            self.scope.epoch(),
            self.elapsed(),
            self.sent_text(),
            result.proof_text()
        );
    }
}
