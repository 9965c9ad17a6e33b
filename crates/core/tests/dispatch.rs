//! Selection of servers, and rejections.

use {
    citron_core::{
        dispatch::{
            AttemptOutcome, Candidate, Decision, IdleLimit, LoadTracker, PeerLoad, RejectReason,
            TimeLimits, run_share, select_server,
        },
        id::{ServerName, Slots},
        registry::{AddressClaim, ServerEntry, ServerRecord, ServerState},
        time::Time,
    },
    std::time::Duration,
};

const NOW: Time = Time::from_micros(60_000_000);

fn known(name: &str) -> ServerRecord {
    ServerRecord {
        entry: ServerEntry {
            name: name.parse().unwrap(),
            service: "balances".parse().unwrap(),
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
    }
}

fn millis(objective: u64, deadline: u64) -> TimeLimits {
    TimeLimits {
        objective: Duration::from_millis(objective),
        deadline: Duration::from_millis(deadline),
        sample_size: usize::MAX,
    }
}

fn pick(tracker: &LoadTracker, servers: &[ServerRecord], limits: TimeLimits) -> Decision {
    let candidates = servers.iter().map(|server| Candidate {
        server,
        same_domain: true,
        has_connection: true,
        load_factor: 1.0,
        is_brokered: false,
    });
    select_server(tracker, candidates, limits, NOW, || 0.5)
}

fn run_request(tracker: &mut LoadTracker, server: &ServerName, span: u64) {
    tracker.begin(server, NOW);
    let span = Duration::from_millis(span);
    tracker.end(server, AttemptOutcome::Ran, span, 1.0, NOW);
}

fn report_peer_load(tracker: &mut LoadTracker, server: &ServerName, in_flight: u32) {
    let server = server.clone();
    let load = PeerLoad {
        server,
        in_flight,
        run_time: None,
    };
    tracker.apply_report("peer-1".parse().unwrap(), vec![load], NOW);
}

/// Guards against instances that ignore each other's load. A server has four slots,
/// requests take 200 ms, and the objective is 600 ms. Each instance alone has two
/// requests there and would send more. Together they have twelve, and the thirteenth
/// would end after 700 ms, so it is rejected with the time until there is capacity.
#[test]
fn requests_of_other_instances_fill_a_server_too() {
    let servers = [known("s-1")];
    let name = &servers[0].entry.name;
    let mut tracker = LoadTracker::default();
    for _ in 0..10 {
        run_request(&mut tracker, name, 200);
    }
    tracker.begin(name, NOW);
    tracker.begin(name, NOW);
    assert_eq!(
        pick(&tracker, &servers, millis(600, 2_500)),
        Decision::Send(name.clone())
    );
    report_peer_load(&mut tracker, name, 10);
    let Decision::Reject {
        retry_after,
        reason,
    } = pick(&tracker, &servers, millis(600, 2_500))
    else {
        panic!("the request was sent");
    };
    assert!(retry_after >= Duration::from_millis(80) && retry_after <= Duration::from_millis(900));
    assert_eq!(reason, RejectReason::QueueTooLong);
}

/// Guards against a choice by queue length where servers differ in speed: the fast server
/// is selected although it is busier.
#[test]
fn the_earliest_end_counts_and_not_the_shortest_queue() {
    let servers = [known("s-fast"), known("s-slow")];
    let mut tracker = LoadTracker::default();
    for _ in 0..40 {
        run_request(&mut tracker, &servers[0].entry.name, 100);
        run_request(&mut tracker, &servers[1].entry.name, 400);
    }
    for _ in 0..5 {
        tracker.begin(&servers[0].entry.name, NOW);
    }
    let decision = pick(&tracker, &servers, millis(800, 3_000));
    assert_eq!(decision, Decision::Send(servers[0].entry.name.clone()));
}

/// Guards against requests that miss their objective and delay others: they may take a
/// free slot but not queue.
#[test]
fn what_is_late_anyway_does_not_queue() {
    let servers = [known("s-1")];
    let name = &servers[0].entry.name;
    let mut tracker = LoadTracker::default();
    run_request(&mut tracker, name, 200);
    let late = millis(0, 1_500);
    assert_eq!(pick(&tracker, &servers, late), Decision::Send(name.clone()));
    report_peer_load(&mut tracker, name, 4);
    assert!(matches!(
        pick(&tracker, &servers, late),
        Decision::Reject { .. }
    ));
}

/// Guards against a faulty server that attracts all requests. It returns errors at once,
/// and by response time alone would look like the fastest.
#[test]
fn quick_failures_do_not_draw_requests() {
    let servers = [known("s-faulty"), known("s-sound")];
    let mut tracker = LoadTracker::default();
    for _ in 0..30 {
        run_request(&mut tracker, &servers[1].entry.name, 200);
        let faulty = &servers[0].entry.name;
        tracker.begin(faulty, NOW);
        tracker.end(
            faulty,
            AttemptOutcome::Failed,
            Duration::from_millis(1),
            1.0,
            NOW,
        );
    }
    let decision = pick(&tracker, &servers, millis(800, 3_000));
    assert_eq!(decision, Decision::Send(servers[1].entry.name.clone()));
}

/// Guards against a server that is avoided for ever after a slow period: its run time
/// expires. A server with a failed connection gets no requests for a while.
#[test]
fn bad_times_are_forgotten_and_refused_connections_pause() {
    let servers = [known("s-1")];
    let name = &servers[0].entry.name;
    let mut tracker = LoadTracker::default();
    run_request(&mut tracker, name, 5_000);
    assert!(matches!(
        pick(&tracker, &servers, millis(600, 2_500)),
        Decision::Reject { .. }
    ));
    let later = NOW + Duration::from_secs(5);
    let candidates = || {
        servers.iter().map(|server| Candidate {
            server,
            same_domain: true,
            has_connection: true,
            load_factor: 1.0,
            is_brokered: false,
        })
    };
    let decision = select_server(&tracker, candidates(), millis(600, 2_500), later, || 0.5);
    assert_eq!(decision, Decision::Send(name.clone()));
    tracker.begin(name, NOW);
    tracker.end(name, AttemptOutcome::Lost, Duration::ZERO, 1.0, later);
    let decision = select_server(&tracker, candidates(), millis(600, 2_500), later, || 0.5);
    assert!(matches!(decision, Decision::Reject { .. }));
}

/// Guards against a joined server that gets no requests because another server with an
/// idle connection has capacity for all. The new server is tried once to measure it;
/// after that, connections count.
#[test]
fn a_server_that_nobody_has_measured_is_tried() {
    let servers = [known("s-1"), known("s-joined")];
    let mut tracker = LoadTracker::default();
    run_request(&mut tracker, &servers[0].entry.name, 30);
    let candidates = |tracker: &LoadTracker| {
        // The random numbers favour the server that joined.
        let mut draws = [0.9, 0.1].into_iter().cycle();
        let candidates = servers.iter().map(|server| Candidate {
            server,
            same_domain: true,
            has_connection: server.entry.name == servers[0].entry.name,
            load_factor: 1.0,
            is_brokered: false,
        });
        select_server(tracker, candidates, millis(800, 3_000), NOW, || {
            draws.next().unwrap()
        })
    };
    let joined = &servers[1].entry.name;
    assert_eq!(candidates(&tracker), Decision::Send(joined.clone()));
    run_request(&mut tracker, joined, 30);
    let first = Decision::Send(servers[0].entry.name.clone());
    assert_eq!(candidates(&tracker), first);
}

/// Guards against requests of an ended instance that stay in the counts of others.
#[test]
fn old_reports_count_for_nothing() {
    let name: ServerName = "s-1".parse().unwrap();
    let mut tracker = LoadTracker::default();
    report_peer_load(&mut tracker, &name, 10);
    assert_eq!(tracker.get(&name).in_flight(), 10);
    let later = NOW + Duration::from_secs(2);
    tracker.apply_report("peer-2".parse().unwrap(), Vec::new(), later);
    // A report replaces the former one of its instance and is not added to it.
    let load = |in_flight| PeerLoad {
        server: name.clone(),
        in_flight,
        run_time: None,
    };
    tracker.apply_report("peer-2".parse().unwrap(), vec![load(3)], later);
    tracker.apply_report("peer-2".parse().unwrap(), Vec::new(), later);
    assert_eq!(tracker.get(&name).in_flight(), 0);
}

/// Guards against servers that are avoided after random refusals with slots free. Each
/// such refusal used to block its server for a run time, so that as many requests were
/// rejected unsent as were refused by servers. A server that refuses with all slots taken
/// has a full queue and is blocked.
#[test]
fn a_refusal_with_a_slot_free_closes_no_server() {
    let servers = [known("s-1")];
    let name = &servers[0].entry.name;
    let mut tracker = LoadTracker::default();
    let refuse = |tracker: &mut LoadTracker, in_flight| {
        tracker.begin(name, NOW);
        tracker.end(
            name,
            AttemptOutcome::Full,
            Duration::from_millis(2),
            run_share(in_flight, Slots(4)),
            NOW,
        );
    };
    refuse(&mut tracker, 3);
    assert_eq!(
        pick(&tracker, &servers, millis(600, 2_500)),
        Decision::Send(name.clone())
    );
    refuse(&mut tracker, 4);
    let decision = pick(&tracker, &servers, millis(600, 2_500));
    assert!(matches!(
        decision,
        Decision::Reject {
            reason: RejectReason::Refusing,
            ..
        }
    ));
}

/// Guards against a full server that counts as unreachable. The owner of hot keys reaches
/// its connection limit and closes new connections at once. Instances took it for gone,
/// for longer with each attempt, and told all clients that no server is reachable.
#[test]
fn a_server_that_closes_new_connections_is_full_and_not_gone() {
    let servers = [known("s-1")];
    let name = &servers[0].entry.name;
    let mut tracker = LoadTracker::default();
    for _ in 0..5 {
        tracker.begin(name, NOW);
        tracker.end(
            name,
            AttemptOutcome::Closed,
            Duration::from_millis(2),
            1.0,
            NOW,
        );
    }
    let reason = |tracker: &LoadTracker, now| {
        let candidates = servers.iter().map(|server| Candidate {
            server,
            same_domain: true,
            has_connection: false,
            load_factor: 1.0,
            is_brokered: false,
        });
        match select_server(tracker, candidates, millis(600, 2_500), now, || 0.5) {
            Decision::Reject { reason, .. } => Some(reason),
            Decision::Send(_) => None,
        }
    };
    assert_eq!(reason(&tracker, NOW), Some(RejectReason::Refusing));
    assert!(tracker.get(name).is_suspect());
    assert_eq!(reason(&tracker, NOW + Duration::from_millis(301)), None);
}

/// Guards against clients that use up their attempts on an overloaded owner. When a key
/// got many times the load that its owner can run, clients told to retry within 0.9 s
/// were rejected again and had no third attempt. Where one client in ten is admitted,
/// they retry after ten times as long.
#[test]
fn callers_of_an_owner_that_lets_few_in_come_back_later() {
    let servers = [known("s-1")];
    let name = &servers[0].entry.name;
    let mut tracker = LoadTracker::default();
    run_request(&mut tracker, name, 200);
    let retry_after = |tracker: &LoadTracker| match pick(tracker, &servers, millis(600, 8_000)) {
        Decision::Reject { retry_after, .. } => retry_after,
        Decision::Send(name) => panic!("the request was sent to {name}"),
    };
    report_peer_load(&mut tracker, name, 13);
    let first = retry_after(&tracker);
    assert!(first < Duration::from_secs(1), "{first:?}");
    for request in 0..60 {
        match request % 10 {
            0 => run_request(&mut tracker, name, 200),
            _ => tracker.record_rejection(name),
        }
    }
    let later = retry_after(&tracker);
    assert!(later > Duration::from_secs(2), "{later:?}");
    (0..40).for_each(|_| run_request(&mut tracker, name, 200));
    let calm = retry_after(&tracker);
    assert!(calm < Duration::from_secs(1), "{calm:?}");
}

/// Guards against a slow server whose run time stays unknown. Its slots are always taken,
/// as it holds busy keys. If only requests that find a free slot were measured, it would
/// be taken for an average server, its responses would be late, and its keys would not be
/// moved.
#[test]
fn the_time_of_a_server_that_is_never_free_is_known() {
    let mut tracker = LoadTracker::default();
    let name: ServerName = "s-slow".parse().unwrap();
    let run = 0.15;
    for _ in 0..60 {
        let (in_flight, slots) = (5, Slots(2));
        let waits = f64::from(in_flight + 1 - slots.0) * run / f64::from(slots.0);
        let span = Duration::from_secs_f64(waits + run);
        tracker.begin(&name, NOW);
        tracker.end(
            &name,
            AttemptOutcome::Ran,
            span,
            run_share(in_flight, slots),
            NOW,
        );
    }
    let known = tracker.get(&name).run_time(NOW).unwrap();
    assert!((known - run).abs() < 0.01, "{known}");
}

/// Guards against lost requests where a middlebox drops connections that are idle for 5
/// s. Idempotent requests detect such connections; one that must not run twice must not
/// use them, as it could not be sent again. Where idle connections work, no new ones are
/// needed.
#[test]
fn what_may_run_once_goes_on_connections_that_others_found_alive() {
    let mut idle_limit = IdleLimit::default();
    let seconds = Duration::from_secs;
    assert!(idle_limit.limit() < seconds(2));
    for _ in 0..7 {
        idle_limit.record_success(seconds(4));
    }
    assert!(
        idle_limit.limit() < seconds(2),
        "fewer responses than a step needs"
    );
    for _ in 0..40 {
        idle_limit.record_success(seconds(1));
        idle_limit.record_success(seconds(4));
    }
    assert!(idle_limit.limit() > seconds(3) && idle_limit.limit() < seconds(5));
    idle_limit.record_dead_connection();
    assert!(idle_limit.limit() < seconds(2));
}

/// Guards against a service that gets no requests because its servers refuse at random
/// with capacity free. Their reported load distinguishes them from full servers.
#[test]
fn a_server_that_sheds_with_room_is_asked_again_at_once() {
    let servers = [known("s-1")];
    let decision = |outcome: AttemptOutcome| {
        let mut tracker = LoadTracker::default();
        let name = &servers[0].entry.name;
        tracker.begin(name, NOW);
        tracker.end(name, outcome, Duration::from_millis(2), 0.5, NOW);
        pick(&tracker, &servers, millis(1_000, 4_000))
    };
    assert!(matches!(
        decision(AttemptOutcome::Full),
        Decision::Reject { .. }
    ));
    assert!(matches!(decision(AttemptOutcome::Shed), Decision::Send(_)));
}

/// Guards against requests to a server that has asked this instance for rest, and against
/// clients that return before the rest is over or all at its end.
#[test]
fn a_server_at_rest_gets_nothing_until_its_rest_is_over() {
    let servers = [known("s-1"), known("s-2")];
    let mut tracker = LoadTracker::default();
    let rest = Duration::from_secs(5);
    assert!(tracker.record_rest(&servers[0].entry.name, NOW + rest, NOW));
    assert!(!tracker.record_rest(&servers[0].entry.name, NOW + rest / 2, NOW));
    let limits = millis(800, 2_000);
    let other = Decision::Send(servers[1].entry.name.clone());
    assert_eq!(pick(&tracker, &servers, limits), other);
    let Decision::Reject {
        retry_after,
        reason,
    } = pick(&tracker, &servers[..1], limits)
    else {
        panic!("sent to a server at rest");
    };
    assert_eq!(reason, RejectReason::Resting);
    assert!(retry_after > rest && retry_after < rest * 2);
    let remaining = tracker
        .get(&servers[0].entry.name)
        .remaining_rest(NOW + rest);
    assert_eq!(remaining, None);
}
