//! Steps of one request, without a network.

use {
    citron_core::{
        admission::Rate,
        dispatch::{PermitRequest, RejectReason},
        id::{Epoch, InstanceId, ServerName, Slots},
        registry::{AddressClaim, ServerEntry, ServerRecord, ServerState},
        request::{
            AttemptEnd, DetourEnd, DetourPeer, Event, FinalResponse, Origin, Overload, Reason,
            RefusalProof, RequestContext, RequestProgress, RequestTraits, Shutdown, Step, Target,
            Wake,
        },
        routes::Idempotency,
        routing::Outcome,
        slots::DenyReason,
        time::Time,
    },
    insta::assert_snapshot,
    proptest::prelude::*,
    std::{
        cell::{Cell, RefCell},
        fmt::Write,
        sync::Arc,
        time::Duration,
    },
};

const START: Time = Time::from_micros(1_000_000);
const OBJECTIVE: Duration = Duration::from_millis(400);
const TIMEOUT: Duration = Duration::from_secs(2);
/// Retry-After of the selection.
const RETRY_AFTER: Duration = Duration::from_millis(70);
/// Proof of a refusal.
const PROVEN: Option<RefusalProof> = Some(RefusalProof::Id);
const FULL: Overload = Overload::Servers(RejectReason::QueueTooLong);
const UNREACHABLE: Overload = Overload::Servers(RejectReason::Unreachable);

/// Label of a row in a snapshot, and what creates its event.
type Case<T> = (&'static str, fn() -> T);

/// Shared state with fixed answers. The defaults let a request take every step.
#[derive(Debug)]
struct Context {
    tokens: Cell<u32>,
    is_cut_off: bool,
    is_surely_cut_off: bool,
    is_unreached_elsewhere: bool,
    peers: Vec<DetourPeer>,
    rest: Option<Duration>,
    clients_per_admission: f64,
    rejections: RefCell<Vec<ServerName>>,
    quarantine: Option<Duration>,
    shutdown: Option<Shutdown>,
    is_body_consumed: bool,
}

impl Default for Context {
    fn default() -> Self {
        let peer = |name: &str| DetourPeer {
            instance: name.parse().unwrap(),
            address: "127.0.0.1:1".parse().unwrap(),
            is_near: true,
        };
        Self {
            tokens: Cell::new(100),
            is_cut_off: false,
            is_surely_cut_off: false,
            is_unreached_elsewhere: false,
            peers: ["i-1", "i-2", "i-3"].map(peer).to_vec(),
            rest: None,
            clients_per_admission: 1.0,
            rejections: RefCell::default(),
            quarantine: None,
            shutdown: None,
            is_body_consumed: false,
        }
    }
}

impl RequestContext for Context {
    fn take_retry(&self) -> bool {
        let tokens = self.tokens.get();
        self.tokens.set(tokens.saturating_sub(1));
        tokens > 0
    }

    fn is_cut_off(&self) -> bool {
        self.is_cut_off
    }

    fn is_surely_cut_off(&self) -> bool {
        self.is_surely_cut_off
    }

    fn is_unreached_elsewhere(&self, _: &ServerName) -> bool {
        self.is_unreached_elsewhere
    }

    fn choose_peer(&self, tried: &[InstanceId]) -> Option<DetourPeer> {
        let mut peers = self.peers.iter();
        peers.find(|peer| !tried.contains(&peer.instance)).cloned()
    }

    fn owner(&self) -> Option<ServerName> {
        Some(name("owner"))
    }

    fn can_resend(&self) -> bool {
        !self.is_body_consumed
    }

    fn can_send_twice(&self) -> bool {
        !self.is_body_consumed
    }

    fn epoch(&self) -> Epoch {
        Epoch(7)
    }

    fn remaining_rest(&self, _: &ServerName) -> Option<Duration> {
        self.rest
    }

    fn clients_per_admission(&self, _: &ServerName) -> f64 {
        self.clients_per_admission
    }

    fn record_rejection(&self, owner: &ServerName) {
        self.rejections.borrow_mut().push(owner.clone());
    }

    fn quarantine_left(&self) -> Option<Duration> {
        self.quarantine
    }

    fn shutdown(&self) -> Option<Shutdown> {
        self.shutdown
    }

    fn random(&self) -> f64 {
        0.5
    }
}

fn name(name: &str) -> ServerName {
    name.parse().unwrap()
}

fn server(name: &str) -> Arc<ServerRecord> {
    Arc::new(ServerRecord {
        entry: ServerEntry {
            name: name.parse().unwrap(),
            service: "views".parse().unwrap(),
            address: "127.0.0.1:1".parse().unwrap(),
            domain: "east".parse().unwrap(),
            slots: Slots(4),
            state: ServerState::Ready,
            warm_up: Duration::ZERO,
        },
        leaving_since: None,
        first_seen: Time::ZERO,
        cold_until: Time::ZERO,
        evacuated_since: None,
        address_claim: AddressClaim::Exclusive,
    })
}

fn traits(idempotency: Idempotency) -> RequestTraits {
    RequestTraits {
        origin: Origin::Client,
        is_keyed: true,
        idempotency,
        started: START,
        latency_objective: OBJECTIVE,
        deadline: START + TIMEOUT,
        max_attempts: 3,
    }
}

fn idempotent() -> RequestProgress {
    RequestProgress::new(traits(Idempotency::Idempotent))
}

fn at_most_once() -> RequestProgress {
    RequestProgress::new(traits(Idempotency::AtMostOnce))
}

fn from_peer() -> RequestProgress {
    RequestProgress::new(RequestTraits {
        origin: Origin::Peer,
        ..traits(Idempotency::Idempotent)
    })
}

fn after(millis: u64) -> Time {
    START + Duration::from_millis(millis)
}

/// Handles an event that occurs `millis` after the request was received.
fn step(
    progress: &mut RequestProgress,
    event: Event<u16>,
    millis: u64,
    context: &Context,
) -> String {
    describe(&progress.handle(event, after(millis), context))
}

fn ended(end: AttemptEnd<u16>) -> Event<u16> {
    Event::AttemptEnded(name("s-1"), end)
}

fn detour_ended(end: DetourEnd<u16>) -> Event<u16> {
    Event::DetourEnded("i-1".parse().unwrap(), end)
}

fn both_ended(direct: Option<AttemptEnd<u16>>, detour: DetourEnd<u16>) -> Event<u16> {
    Event::BothEnded {
        server: name("s-1"),
        direct,
        peer: "i-1".parse().unwrap(),
        detour,
    }
}

fn responded(status: u16) -> AttemptEnd<u16> {
    AttemptEnd::Responded(status, status)
}

fn describe(step: &Step<u16>) -> String {
    match step {
        Step::ReadView => "read view".to_string(),
        Step::Select => "select".to_string(),
        Step::AcquireSlot(server) => format!("slot of {}", server.entry.name),
        Step::AcquirePermit(server, _) => format!("permit for {}", server.entry.name),
        Step::Wait { until, wake } => format!("wait until {:?}, {wake:?}", *until - START),
        Step::Send(server) => format!("send to {}", server.entry.name),
        Step::Detour(peer, owner) => {
            let owner = owner
                .as_ref()
                .map_or("any".to_string(), ToString::to_string);
            format!("detour through {} to {owner}", peer.instance)
        }
        Step::Respond(response) => describe_response(response),
    }
}

fn describe_response(response: &FinalResponse<u16>) -> String {
    match response {
        FinalResponse::Forward(status) => format!("forward {status}"),
        FinalResponse::Reject {
            retry_after,
            reason,
            is_unreached,
        } => {
            let mark = if *is_unreached { ", marked" } else { "" };
            format!("reject, again in {retry_after:?}{mark}: {reason}")
        }
        FinalResponse::Unknown { reason, is_late } => {
            let status = if *is_late { 504 } else { 502 };
            format!("{status}: {reason}")
        }
    }
}

/// Guards against requests that are not sent, or not counted for the metrics, although
/// nothing prevents it.
#[test]
fn a_request_is_sent_and_its_response_forwarded() {
    let (mut progress, context) = (at_most_once(), Context::default());
    assert_eq!(step(&mut progress, Event::ViewRead, 0, &context), "select");
    let selected = Event::Selected(Target::Server(server("s-1")));
    assert_eq!(step(&mut progress, selected, 0, &context), "send to s-1");
    let end = ended(responded(200));
    assert_eq!(step(&mut progress, end, 9, &context), "forward 200");
    assert_eq!((progress.attempts(), progress.outcome()), (1, Outcome::Ran));
}

/// Guards against requests that are sent without the permit that a rate limit demands, and
/// against a denial that ends the request while other servers may have permits.
#[test]
fn a_limited_server_gets_the_request_only_with_a_permit() {
    let (mut progress, context) = (idempotent(), Context::default());
    let request = PermitRequest {
        server: name("s-1"),
        limit: Rate(5.0),
        arrivals: 1,
    };
    let selected = Event::Selected(Target::LimitedServer(server("s-1"), request));
    let next = step(&mut progress, selected, 0, &context);
    assert_eq!(next, "permit for s-1");
    let denied = step(&mut progress, Event::PermitDenied, 3, &context);
    assert_eq!((denied.as_str(), progress.attempts()), ("read view", 0));
    let granted = Event::PermitGranted(server("s-1"));
    assert_eq!(step(&mut progress, granted, 3, &context), "send to s-1");
}

/// Guards against requests that crowd a server although its broker has no slot for them, and
/// against a broker that is asked again and again while it does not answer.
#[test]
fn a_brokered_server_gets_the_request_only_with_a_slot() {
    let selected = || Event::Selected(Target::BrokeredServer(server("owner")));
    let (mut progress, context) = (at_most_once(), Context::default());
    let next = step(&mut progress, selected(), 0, &context);
    assert_eq!(next, "slot of owner");
    let granted = Event::SlotGranted(server("owner"));
    assert_eq!(step(&mut progress, granted, 3, &context), "send to owner");

    let denied = Event::SlotDenied {
        retry_after: RETRY_AFTER,
        reason: DenyReason::Full,
    };
    let next = step(&mut at_most_once(), denied, 3, &context);
    let rejection = "no slot of the owner (all slots are taken)";
    assert_eq!(
        next,
        format!("reject, again in {RETRY_AFTER:?}: {rejection}")
    );

    let mut progress = at_most_once();
    let next = step(&mut progress, Event::SlotUnavailable, 60, &context);
    assert_eq!(
        (next.as_str(), progress.asks_brokers()),
        ("read view", false)
    );
}

/// Guards against a slot of the former owner that is used after the key has moved while the
/// request was queued for it.
#[test]
fn a_slot_is_not_used_after_the_key_has_moved() {
    let (mut progress, context) = (idempotent(), Context::default());
    let granted = Event::SlotGranted(server("former"));
    assert_eq!(step(&mut progress, granted, 200, &context), "read view");
    assert_eq!(progress.attempts(), 0);
}

/// Guards against requests that wait without limit or are rejected without a wait. Capacity
/// may be freed within an eighth of the objective; a key moves for longer.
#[test]
fn waits_for_capacity_a_server_and_a_key_have_limits() {
    let context = Context::default();
    let mut table = String::new();
    let cases: [Case<Target>; 5] = [
        ("full", || Target::Reject(RETRY_AFTER, FULL)),
        ("cold", || {
            Target::Reject(RETRY_AFTER, Overload::ColdServers)
        }),
        ("limited", || {
            Target::Reject(RETRY_AFTER, Overload::StatedLimits)
        }),
        ("moving", || Target::KeyMoving),
        ("none", || Target::Unavailable),
    ];
    for (label, target) in cases {
        for millis in [0, 50, 51, 320, 321] {
            let event = Event::Selected(target());
            let next = step(&mut idempotent(), event, millis, &context);
            writeln!(table, "{label:<8}{millis:>4} ms: {next}").unwrap();
        }
    }
    assert_snapshot!("waits", table);
}

/// Guards against Retry-After that ignores the demand for an owner: it grows with the
/// rejections that are recorded, and only a lack of capacity is one.
#[test]
fn a_rejection_for_lack_of_capacity_is_recorded_for_the_owner() {
    let context = Context::default();
    for (overload, millis) in [(FULL, 10), (Overload::StatedLimits, 100)] {
        let event = Event::Selected(Target::Reject(Duration::ZERO, overload));
        step(&mut idempotent(), event, millis, &context);
    }
    assert_eq!(context.rejections.borrow().len(), 0);
    let event = Event::Selected(Target::Reject(Duration::ZERO, FULL));
    step(&mut idempotent(), event, 100, &context);
    assert_eq!(*context.rejections.borrow(), [name("owner")]);
}

/// Guards against requests that run twice, and against rejections of requests that may have
/// run. Each row is the end of the first attempt.
#[test]
fn what_follows_the_end_of_an_attempt() {
    let context = Context::default();
    let mut table = String::new();
    let ends: [Case<AttemptEnd<u16>>; 10] = [
        ("200", || responded(200)),
        ("404", || responded(404)),
        ("429", || responded(429)),
        ("500", || responded(500)),
        ("503", || responded(503)),
        ("refused", || AttemptEnd::Refused(PROVEN)),
        ("refused?", || AttemptEnd::Refused(None)),
        ("moved?", || AttemptEnd::Misdirected(None)),
        ("not sent", || AttemptEnd::NotSent),
        ("lost", || AttemptEnd::Lost),
    ];
    for (label, end) in ends {
        let twice = step(&mut idempotent(), ended(end()), 10, &context);
        let once = step(&mut at_most_once(), ended(end()), 10, &context);
        writeln!(table, "{label:<9}{twice:<24}{once}").unwrap();
    }
    assert_snapshot!("ends", table);
}

/// Guards against retries that keep a failing service overloaded: the route's attempts, the
/// retry budget and the time to the deadline each end them.
#[test]
fn retries_are_bounded_by_attempts_budget_and_time() {
    let context = Context::default();
    let mut progress = idempotent();
    let mut refuse = |millis| {
        step(
            &mut progress,
            ended(AttemptEnd::Refused(PROVEN)),
            millis,
            &context,
        )
    };
    assert_eq!(refuse(1), "read view");
    assert_eq!(refuse(2), "read view");
    assert_eq!(refuse(3), "reject, again in 200ms: no try is left");
    assert_eq!(context.tokens.get(), 98);

    let refused = || ended(AttemptEnd::Refused(PROVEN));
    assert_eq!(
        step(&mut idempotent(), refused(), 1_939, &context),
        "read view"
    );
    let late = step(&mut idempotent(), refused(), 1_940, &context);
    assert_eq!(late, "reject, again in 200ms: no try is left");

    context.tokens.set(0);
    let denied = step(&mut idempotent(), refused(), 1, &context);
    assert_eq!(denied, "reject, again in 200ms: no try is left");
}

/// Guards against rejections while servers are restarted: servers to which nothing was sent
/// count neither against the attempts nor against the budget, but end after four.
#[test]
fn servers_that_got_nothing_do_not_count_as_attempts() {
    let context = Context::default();
    let mut progress = idempotent();
    for _ in 0..3 {
        let next = step(&mut progress, ended(AttemptEnd::NotSent), 1, &context);
        assert_eq!(next, "read view");
    }
    let next = step(
        &mut progress,
        ended(AttemptEnd::Refused(PROVEN)),
        1,
        &context,
    );
    assert_eq!(next, "read view");
    assert_eq!(context.tokens.get(), 99);
    let next = step(&mut progress, ended(AttemptEnd::NotSent), 1, &context);
    assert_eq!(next, "reject, again in 200ms: no try is left");
    assert_eq!(progress.tried().len(), 5);
}

/// Guards against a token spent on a request that is not retried anyway.
#[test]
fn a_lost_request_that_runs_once_takes_no_token() {
    let context = Context::default();
    step(&mut at_most_once(), ended(AttemptEnd::Lost), 1, &context);
    assert_eq!(context.tokens.get(), 100);
}

/// Guards against requests that overtake the grant of their key's new owner, and against an
/// endless exchange with an owner that never gets it.
#[test]
fn an_owner_without_the_key_is_asked_again_after_growing_delays() {
    let context = Context::default();
    let mut progress = at_most_once();
    for delay in [40, 80, 160] {
        let next = step(
            &mut progress,
            ended(AttemptEnd::Misdirected(PROVEN)),
            10,
            &context,
        );
        assert_eq!(next, "read view");
        let stale = progress.stale_owner().unwrap();
        assert_eq!(stale.retry_at, after(10 + delay));
        assert_eq!((&stale.owner, stale.epoch), (&name("s-1"), Epoch(7)));
    }
    let next = step(
        &mut progress,
        ended(AttemptEnd::Misdirected(PROVEN)),
        10,
        &context,
    );
    assert_eq!(next, "read view");
    assert_eq!(progress.stale_owner().unwrap().retry_at, START + TIMEOUT);
    let next = step(
        &mut progress,
        ended(AttemptEnd::Misdirected(PROVEN)),
        10,
        &context,
    );
    assert_eq!(next, "reject, again in 200ms: no try is left");
    assert!(progress.tried().is_empty());
}

/// Guards against a request without a key that is sent again and again to a process which has got
/// the address of its server, while other servers would run it.
#[test]
fn a_request_without_a_key_leaves_a_server_whose_address_is_anothers() {
    let context = Context::default();
    let mut progress = RequestProgress::new(RequestTraits {
        is_keyed: false,
        ..traits(Idempotency::AtMostOnce)
    });
    let misdirected = || ended(AttemptEnd::Misdirected(PROVEN));
    for number in 1..4 {
        let next = step(&mut progress, misdirected(), 10, &context);
        assert_eq!(next, "read view");
        assert_eq!(progress.tried().len(), number);
        assert!(progress.stale_owner().is_none());
    }
    let next = step(&mut progress, misdirected(), 10, &context);
    assert_eq!(next, "reject, again in 200ms: no try is left");
    assert_eq!(context.tokens.get(), 97);
}

/// Guards against requests for a key that go on to an owner which has asked for rest.
/// Without a key, another server may take the request.
#[test]
fn an_owner_at_rest_ends_the_request() {
    let context = Context {
        rest: Some(Duration::from_secs(2)),
        ..Context::default()
    };
    let next = step(
        &mut idempotent(),
        ended(AttemptEnd::Refused(PROVEN)),
        1,
        &context,
    );
    let expected = "reject, again in 2.3s: the owner of the key has asked for rest";
    assert_eq!(next, expected);
    let mut progress = RequestProgress::new(RequestTraits {
        is_keyed: false,
        ..traits(Idempotency::Idempotent)
    });
    let next = step(
        &mut progress,
        ended(AttemptEnd::Refused(PROVEN)),
        1,
        &context,
    );
    assert_eq!(next, "read view");
}

/// Guards against clients that return to a server faster than it admits them, and against
/// ones that are told to stay away for minutes.
#[test]
fn retry_after_grows_with_the_rejection_rate() {
    for (clients_per_admission, expected) in [(1.0, "200ms"), (4.0, "800ms"), (90.0, "3s")] {
        let context = Context {
            clients_per_admission,
            tokens: Cell::new(0),
            ..Context::default()
        };
        let next = step(
            &mut idempotent(),
            ended(AttemptEnd::Refused(PROVEN)),
            1,
            &context,
        );
        assert_eq!(next, format!("reject, again in {expected}: no try is left"));
    }
}

/// Guards against a 503, which promises that the request has not run, after an attempt that
/// may have run it, whatever ends the request.
#[test]
fn nothing_is_rejected_after_an_attempt_that_may_have_run() {
    let normal = Context::default();
    let quarantined = Context {
        quarantine: Some(Duration::from_secs(60)),
        ..Context::default()
    };
    let cut_off = Context {
        is_cut_off: true,
        is_surely_cut_off: true,
        peers: Vec::new(),
        ..Context::default()
    };
    let resting = Context {
        rest: Some(Duration::from_secs(1)),
        ..Context::default()
    };
    let endings: [(Event<u16>, &Context, Reason); 8] = [
        (Event::NoView, &normal, Reason::NoConfiguration),
        (Event::ViewRead, &cut_off, Reason::Unreached),
        (
            Event::Selected(Target::Reject(Duration::ZERO, FULL)),
            &normal,
            Reason::Overload(FULL),
        ),
        (
            Event::Selected(Target::KeyMoving),
            &normal,
            Reason::KeyMoving,
        ),
        (
            Event::Selected(Target::Unavailable),
            &normal,
            Reason::NoServer,
        ),
        (
            Event::Selected(Target::Server(server("s-2"))),
            &quarantined,
            Reason::Quarantined,
        ),
        (
            ended(AttemptEnd::Refused(PROVEN)),
            &resting,
            Reason::OwnerResting,
        ),
        (
            detour_ended(DetourEnd::Responded(503, 503)),
            &normal,
            Reason::RejectedElsewhere,
        ),
    ];
    for (event, context, reason) in endings {
        let mut progress = idempotent();
        let lost = step(&mut progress, ended(AttemptEnd::Lost), 1, &normal);
        assert_eq!(lost, "read view");
        let next = step(&mut progress, event, 500, context);
        assert_eq!(next, format!("502: {reason}"));
        assert_eq!(progress.outcome(), Outcome::Unknown);
    }
}

/// Guards against a 504 for a request of which no byte was sent, and a 503 for one that may
/// be running.
#[test]
fn at_the_deadline_only_a_request_that_may_be_sent_is_unknown() {
    let (context, end) = (Context::default(), START + TIMEOUT);
    let unsent: FinalResponse<u16> = idempotent().expire(false, end, &context);
    let expected = "reject, again in 200ms: the deadline passed";
    assert_eq!(describe_response(&unsent), expected);
    let sent: FinalResponse<u16> = idempotent().expire(true, end, &context);
    assert_eq!(describe_response(&sent), "504: the deadline passed");
    let mut progress = idempotent();
    step(&mut progress, ended(AttemptEnd::Lost), 1, &context);
    let lost: FinalResponse<u16> = progress.expire(false, end, &context);
    assert_eq!(describe_response(&lost), "504: the deadline passed");
}

/// Guards against requests like those that crashed servers.
#[test]
fn a_quarantined_request_is_not_sent() {
    let context = Context {
        quarantine: Some(Duration::from_secs(60)),
        ..Context::default()
    };
    let mut progress = idempotent();
    let selected = Event::Selected(Target::Server(server("s-1")));
    let next = step(&mut progress, selected, 0, &context);
    assert_eq!(next, "reject, again in 60s: requests like it crash servers");
    assert_eq!(progress.attempts(), 0);
}

/// Guards against requests that fail at an instance without links to the servers, while
/// other instances reach them, and against requests that circle among instances.
#[test]
fn an_instance_that_is_cut_off_sends_through_two_others_at_most() {
    let mut context = Context {
        is_cut_off: true,
        ..Context::default()
    };
    let mut progress = idempotent();
    let next = step(&mut progress, Event::ViewRead, 0, &context);
    assert_eq!(next, "detour through i-1 to any");
    let unreached = detour_ended(DetourEnd::Unreached(503));
    assert_eq!(step(&mut progress, unreached, 5, &context), "read view");
    let next = step(&mut progress, Event::ViewRead, 5, &context);
    assert_eq!(next, "detour through i-2 to any");
    let unreached = Event::DetourEnded("i-2".parse().unwrap(), DetourEnd::Unreached(503));
    assert_eq!(step(&mut progress, unreached, 9, &context), "forward 503");
    assert_eq!(progress.outcome(), Outcome::NotRun);

    let rejected = "reject, again in 300ms, marked: no server responds to this instance";
    let next = step(&mut from_peer(), Event::ViewRead, 0, &context);
    assert_eq!(next, rejected);
    context.is_cut_off = false;
    let unreachable = || Event::Selected(Target::Reject(Duration::ZERO, UNREACHABLE));
    // The server may have ended; that says nothing of this instance's links.
    let rejected = "reject, again in 300ms, marked: the server does not respond to this \
        instance either";
    assert_eq!(step(&mut from_peer(), unreachable(), 0, &context), rejected);
}

/// Guards against a cut that is only suspected for a moment and rejects requests which
/// cannot take a detour.
#[test]
fn without_a_detour_only_a_lasting_cut_rejects() {
    let mut context = Context {
        is_cut_off: true,
        peers: Vec::new(),
        ..Context::default()
    };
    assert_eq!(
        step(&mut idempotent(), Event::ViewRead, 0, &context),
        "select"
    );
    context.is_surely_cut_off = true;
    let next = step(&mut idempotent(), Event::ViewRead, 0, &context);
    assert_eq!(
        next,
        "reject, again in 300ms: no server responds to this instance"
    );
}

/// Guards against detours to an owner that other instances do not reach either.
#[test]
fn an_unreachable_owner_gets_the_request_through_another_instance() {
    let mut context = Context::default();
    let unreachable = || Event::Selected(Target::Reject(Duration::ZERO, UNREACHABLE));
    let next = step(&mut idempotent(), unreachable(), 0, &context);
    assert_eq!(next, "detour through i-1 to owner");
    context.is_unreached_elsewhere = true;
    let next = step(&mut idempotent(), unreachable(), 0, &context);
    assert_eq!(next, format!("wait until 25ms, {:?}", Wake::CapacityFreed));
}

/// Guards against a second run of a request that runs at most once, and against second
/// attempts beyond the route's attempts, the budget and the deadline.
#[test]
fn a_second_attempt_needs_an_idempotent_request_attempts_budget_and_time() {
    let context = Context::default();
    assert!(idempotent().second_attempt(after(5), &context).is_some());
    assert_eq!(context.tokens.get(), 99);
    assert!(at_most_once().second_attempt(after(5), &context).is_none());
    assert!(from_peer().second_attempt(after(5), &context).is_none());
    assert!(
        idempotent()
            .second_attempt(after(1_940), &context)
            .is_none()
    );
    let mut progress = idempotent();
    for _ in 0..2 {
        step(
            &mut progress,
            ended(AttemptEnd::Refused(PROVEN)),
            1,
            &context,
        );
    }
    let tokens = context.tokens.get();
    assert!(progress.second_attempt(after(5), &context).is_none());
    assert_eq!(context.tokens.get(), tokens);
    context.tokens.set(0);
    assert!(idempotent().second_attempt(after(5), &context).is_none());
}

/// Guards against a lost response, and against a rejection through another instance that is
/// forwarded although the attempt beside it may have run.
#[test]
fn of_two_attempts_the_one_with_a_response_counts() {
    let context = Context::default();
    let mut table = String::new();
    let directs: [Case<Option<AttemptEnd<u16>>>; 4] = [
        ("given up", || None),
        ("200", || Some(responded(200))),
        ("lost", || Some(AttemptEnd::Lost)),
        ("refused", || Some(AttemptEnd::Refused(PROVEN))),
    ];
    let detours: [Case<DetourEnd<u16>>; 5] = [
        ("201", || DetourEnd::Responded(201, 201)),
        ("503", || DetourEnd::Responded(503, 503)),
        ("unreached", || DetourEnd::Unreached(503)),
        ("not sent", || DetourEnd::NotSent),
        ("lost", || DetourEnd::Lost),
    ];
    for (direct_label, direct) in directs {
        for (detour_label, detour) in detours {
            let event = both_ended(direct(), detour());
            let next = step(&mut idempotent(), event, 10, &context);
            writeln!(table, "{direct_label:<9}{detour_label:<10}{next}").unwrap();
        }
    }
    assert_snapshot!("pairs", table);
}

fn any_event() -> impl Strategy<Value = Event<u16>> {
    let target = prop_oneof![
        Just(0u8).prop_map(|_| Target::Server(server("s-1"))),
        Just(0u8).prop_map(|_| Target::Reject(Duration::ZERO, FULL)),
        Just(0u8).prop_map(|_| Target::Reject(Duration::ZERO, UNREACHABLE)),
        Just(0u8).prop_map(|_| Target::KeyMoving),
        Just(0u8).prop_map(|_| Target::Unavailable),
    ];
    let status = prop_oneof![Just(200u16), Just(404), Just(429), Just(500), Just(503)];
    prop_oneof![
        Just(0u8).prop_map(|_| Event::ViewRead),
        Just(0u8).prop_map(|_| Event::NoView),
        Just(0u8).prop_map(|_| Event::PermitDenied),
        target.prop_map(Event::Selected),
        status.clone().prop_map(|status| ended(responded(status))),
        Just(0u8).prop_map(|_| ended(AttemptEnd::Refused(PROVEN))),
        Just(0u8).prop_map(|_| ended(AttemptEnd::Misdirected(PROVEN))),
        Just(0u8).prop_map(|_| ended(AttemptEnd::Refused(None))),
        Just(0u8).prop_map(|_| ended(AttemptEnd::Misdirected(None))),
        Just(0u8).prop_map(|_| ended(AttemptEnd::NotSent)),
        Just(0u8).prop_map(|_| ended(AttemptEnd::Lost)),
        status.prop_map(|status| detour_ended(DetourEnd::Responded(status, status))),
        Just(0u8).prop_map(|_| detour_ended(DetourEnd::Unreached(503))),
        Just(0u8).prop_map(|_| detour_ended(DetourEnd::NotSent)),
        Just(0u8).prop_map(|_| detour_ended(DetourEnd::Lost)),
    ]
}

fn may_have_run(event: &Event<u16>, is_once: bool) -> bool {
    match event {
        Event::AttemptEnded(_, AttemptEnd::Refused(None) | AttemptEnd::Misdirected(None)) => {
            is_once
        }
        Event::AttemptEnded(_, end) => {
            matches!(end, AttemptEnd::Lost | AttemptEnd::Responded(..))
        }
        Event::DetourEnded(_, DetourEnd::Lost) => true,
        Event::DetourEnded(_, DetourEnd::Responded(status, _)) => !matches!(status, 429 | 503),
        _ => false,
    }
}

proptest! {
    /// Guards against sequences of events that the tests above do not name: a request that
    /// runs at most once ends with the first attempt that may have run, and no request is
    /// rejected after one.
    #[test]
    fn no_sequence_of_events_breaks_the_promises(
        events in prop::collection::vec(any_event(), 1..12),
        is_once in any::<bool>(),
        is_cut_off in any::<bool>(),
    ) {
        let context = Context { is_cut_off, ..Context::default() };
        let mut progress = if is_once { at_most_once() } else { idempotent() };
        let mut is_uncertain = false;
        for (index, event) in events.into_iter().enumerate() {
            is_uncertain |= may_have_run(&event, is_once);
            let next = progress.handle(event, after(30 * index as u64), &context);
            if is_uncertain {
                let is_reject = matches!(&next, Step::Respond(FinalResponse::Reject { .. }));
                prop_assert!(!is_reject, "{}", describe(&next));
                prop_assert!(!matches!(&next, Step::Respond(FinalResponse::Forward(429 | 503))));
            }
            if is_uncertain && is_once {
                prop_assert!(matches!(&next, Step::Respond(_)), "{}", describe(&next));
            }
            if matches!(next, Step::Respond(_)) {
                break;
            }
        }
    }
}

/// Guards against a second attempt of a request of whose body only the rest is left.
#[test]
fn a_request_whose_body_is_not_whole_is_rejected_at_once() {
    let context = Context {
        is_body_consumed: true,
        ..Context::default()
    };
    let ends: [Case<AttemptEnd<u16>>; 5] = [
        ("not sent", || AttemptEnd::NotSent),
        ("refused", || AttemptEnd::Refused(PROVEN)),
        ("misdirected", || AttemptEnd::Misdirected(PROVEN)),
        ("lost", || AttemptEnd::Lost),
        ("failed", || responded(500)),
    ];
    let detours: [Case<DetourEnd<u16>>; 3] = [
        ("not sent by detour", || DetourEnd::NotSent),
        ("unreached by detour", || DetourEnd::Unreached(503)),
        ("lost by detour", || DetourEnd::Lost),
    ];
    let mut lines = String::new();
    for (label, end) in ends {
        let next = step(&mut idempotent(), ended(end()), 10, &context);
        writeln!(lines, "{label}: {next}").unwrap();
    }
    for (label, end) in detours {
        let next = step(&mut idempotent(), detour_ended(end()), 10, &context);
        writeln!(lines, "{label}: {next}").unwrap();
    }
    assert!(idempotent().second_attempt(after(10), &context).is_none());
    assert_snapshot!(lines, @r"
    not sent: reject, again in 200ms: part of its body was sent and cannot be sent again
    refused: reject, again in 200ms: part of its body was sent and cannot be sent again
    misdirected: reject, again in 200ms: part of its body was sent and cannot be sent again
    lost: 502: part of its body was sent and cannot be sent again
    failed: forward 500
    not sent by detour: reject, again in 200ms: part of its body was sent and cannot be sent again
    unreached by detour: forward 503
    lost by detour: 502: part of its body was sent and cannot be sent again
    ");
}

/// Guards against requests that are aborted without a response, as an attempt or a wait outlasts
/// the shutdown of the instance.
#[test]
fn no_attempt_starts_that_a_shutdown_would_abort() {
    let mut table = String::new();
    for leave_time in [6_000, 3_200] {
        let leave_time = Duration::from_millis(leave_time);
        let context = Context {
            shutdown: Some(Shutdown::new(Time::ZERO, leave_time)),
            ..Context::default()
        };
        let mut row = |label: &str, progress: &mut RequestProgress, event| {
            let next = step(progress, event, 1_000, &context);
            writeln!(table, "{leave_time:?}, {label}: {next}").unwrap();
        };
        row("view", &mut idempotent(), Event::ViewRead);
        row("view, peer", &mut from_peer(), Event::ViewRead);
        let target = || Event::Selected(Target::Server(server("s-1")));
        row("target", &mut at_most_once(), target());
        let lost = || Event::AttemptEnded(name("s-1"), AttemptEnd::Lost);
        let mut retried = idempotent();
        row("lost", &mut retried, lost());
        row("view after that", &mut retried, Event::ViewRead);
        let second = idempotent().second_attempt(after(1_000), &context);
        let second = second.is_some();
        writeln!(table, "{leave_time:?}, second attempt: {second}").unwrap();
    }
    assert_snapshot!(table, @"
    6s, view: select
    6s, view, peer: select
    6s, target: send to s-1
    6s, lost: read view
    6s, view after that: select
    6s, second attempt: true
    3.2s, view: reject, again in 50ms: this instance shuts down
    3.2s, view, peer: reject, again in 50ms, marked: this instance shuts down
    3.2s, target: reject, again in 50ms: this instance shuts down
    3.2s, lost: read view
    3.2s, view after that: 502: this instance shuts down
    3.2s, second attempt: false
    ");
}
