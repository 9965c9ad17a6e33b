//! Which server a request goes to, and when it is refused.

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

/// A burst at one server of four slots, with 200 ms a request and an objective
/// of 600 ms. Each instance alone sees two requests there and would send more;
/// together they have twelve, and the thirteenth would end after 700 ms. It is
/// refused while it can still go elsewhere, with the time until there is room.
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
        panic!("it was sent");
    };
    assert!(retry_after >= Duration::from_millis(80) && retry_after <= Duration::from_millis(900));
    assert_eq!(reason, RejectReason::QueueTooLong);
}

/// Servers differ in speed. The fast one gets the request although it is busier.
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

/// A request that is late already gets a slot that is free, but no place in a
/// queue: there it would make others late, and earn less than they do.
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

/// A faulty server answers at once, with failures. By its times alone it would
/// look like the fastest and draw all requests.
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

/// A server that was slow for a while gets requests again although nobody has
/// measured it since, and one that took no connection is left alone for a time.
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
        })
    };
    let decision = select_server(&tracker, candidates(), millis(600, 2_500), later, || 0.5);
    assert_eq!(decision, Decision::Send(name.clone()));
    tracker.begin(name, NOW);
    tracker.end(name, AttemptOutcome::Lost, Duration::ZERO, 1.0, later);
    let decision = select_server(&tracker, candidates(), millis(600, 2_500), later, || 0.5);
    assert!(matches!(decision, Decision::Reject { .. }));
}

/// A server has joined, and callers get nothing of it: a connection to the other
/// one is kept, which has room for all there is. It has to be tried once to be
/// known, and from then on the connection decides.
#[test]
fn a_server_that_nobody_has_measured_is_tried() {
    let servers = [known("s-1"), known("s-joined")];
    let mut tracker = LoadTracker::default();
    run_request(&mut tracker, &servers[0].entry.name, 30);
    let candidates = |tracker: &LoadTracker| {
        // Chance favours the one that has joined.
        let mut draws = [0.9, 0.1].into_iter().cycle();
        let candidates = servers.iter().map(|server| Candidate {
            server,
            same_domain: true,
            has_connection: server.entry.name == servers[0].entry.name,
            load_factor: 1.0,
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

/// An instance that is gone leaves no requests behind in the others' counts.
#[test]
fn old_reports_count_for_nothing() {
    let name: ServerName = "s-1".parse().unwrap();
    let mut tracker = LoadTracker::default();
    report_peer_load(&mut tracker, &name, 10);
    assert_eq!(tracker.get(&name).in_flight(), 10);
    let later = NOW + Duration::from_secs(2);
    tracker.apply_report("peer-2".parse().unwrap(), Vec::new(), later);
    // Reports replace one another, and never add up.
    let load = |in_flight| PeerLoad {
        server: name.clone(),
        in_flight,
        run_time: None,
    };
    tracker.apply_report("peer-2".parse().unwrap(), vec![load(3)], later);
    tracker.apply_report("peer-2".parse().unwrap(), Vec::new(), later);
    assert_eq!(tracker.get(&name).in_flight(), 0);
}

/// Servers refuse part of their requests at random, with slots free, for a while.
/// Each refusal used to close its server to callers for a run time, so that as
/// many requests were refused untried as by the servers themselves. One that
/// refuses with its slots taken has a full queue, and is left alone.
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

/// All instances send to one owner whose keys have turned hot. It takes a connection
/// more than it may have from each and closes it at once, and each of them took it for
/// gone: all its callers were told that nothing can be reached, longer with each time.
/// It is there, and full.
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

/// A key draws many times what its owner can run, for seconds. Callers who were told
/// to come back within 0.9 s were refused a second time, and had no third try. Where
/// one in ten is let in, they come back after ten times the time.
#[test]
fn callers_of_an_owner_that_lets_few_in_come_back_later() {
    let servers = [known("s-1")];
    let name = &servers[0].entry.name;
    let mut tracker = LoadTracker::default();
    run_request(&mut tracker, name, 200);
    let retry_after = |tracker: &LoadTracker| match pick(tracker, &servers, millis(600, 8_000)) {
        Decision::Reject { retry_after, .. } => retry_after,
        Decision::Send(name) => panic!("sent to {name}"),
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

/// A slow server's slots are always taken, as it holds busy keys. If only requests
/// that find a slot free told its time, nothing would be known of it, and it would
/// be taken for one like the others: its callers would wait for answers that come
/// late, and its keys would stay.
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

/// Something between an instance and its servers forgets connections that are idle
/// for 5 s, and requests on them are lost. Requests that may run again find it out;
/// one that may run only once must not go on such a connection, as it could not be
/// sent again. Where idle connections work, it need not open a new one each time.
#[test]
fn what_may_run_once_goes_on_connections_that_others_found_alive() {
    let mut idle_limit = IdleLimit::default();
    let seconds = Duration::from_secs;
    assert!(idle_limit.limit() < seconds(2));
    for _ in 0..7 {
        idle_limit.record_success(seconds(4));
    }
    assert!(idle_limit.limit() < seconds(2), "too few have told");
    for _ in 0..40 {
        idle_limit.record_success(seconds(1));
        idle_limit.record_success(seconds(4));
    }
    assert!(idle_limit.limit() > seconds(3) && idle_limit.limit() < seconds(5));
    idle_limit.record_dead_connection();
    assert!(idle_limit.limit() < seconds(2));
}

/// Guards against a service that is left alone by everybody, as its servers refuse at
/// random though they have room: what they say tells it from a full one.
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
