//! Which server a request goes to, and when it is refused.

use {
    citron_core::{
        dispatch::{
            Candidate, Decision, Finish, IdleTrust, LoadBook, PeerLoad, RejectReason, TimeLimits,
            choose, run_share,
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

fn pick(book: &LoadBook, servers: &[ServerRecord], limits: TimeLimits) -> Decision {
    let candidates = servers.iter().map(|server| Candidate {
        server,
        same_domain: true,
        kept: true,
        load_factor: 1.0,
    });
    choose(book, candidates, limits, NOW, || 0.5)
}

fn ran(book: &mut LoadBook, server: &ServerName, span: u64) {
    book.begin(server, NOW);
    let span = Duration::from_millis(span);
    book.end(server, Finish::Ran, span, 1.0, NOW);
}

fn peers(book: &mut LoadBook, server: &ServerName, busy: u32) {
    let server = server.clone();
    let load = PeerLoad {
        server,
        busy,
        run: None,
    };
    book.report("peer-1".parse().unwrap(), vec![load], NOW);
}

/// A burst at one server of four slots, with 200 ms a request and an objective
/// of 600 ms. Each instance alone sees two requests there and would send more;
/// together they have twelve, and the thirteenth would end after 700 ms. It is
/// refused while it can still go elsewhere, with the time until there is room.
#[test]
fn requests_of_other_instances_fill_a_server_too() {
    let servers = [known("s-1")];
    let name = &servers[0].entry.name;
    let mut book = LoadBook::default();
    for _ in 0..10 {
        ran(&mut book, name, 200);
    }
    book.begin(name, NOW);
    book.begin(name, NOW);
    assert_eq!(
        pick(&book, &servers, millis(600, 2_500)),
        Decision::Send(name.clone())
    );
    peers(&mut book, name, 10);
    let Decision::Reject {
        retry_after,
        reason,
    } = pick(&book, &servers, millis(600, 2_500))
    else {
        panic!("it was sent");
    };
    assert!(retry_after >= Duration::from_millis(80) && retry_after <= Duration::from_millis(900));
    assert_eq!(reason, RejectReason::Queue);
}

/// Servers differ in speed. The fast one gets the request although it is busier.
#[test]
fn the_earliest_end_counts_and_not_the_shortest_queue() {
    let servers = [known("s-fast"), known("s-slow")];
    let mut book = LoadBook::default();
    for _ in 0..40 {
        ran(&mut book, &servers[0].entry.name, 100);
        ran(&mut book, &servers[1].entry.name, 400);
    }
    for _ in 0..5 {
        book.begin(&servers[0].entry.name, NOW);
    }
    let chosen = pick(&book, &servers, millis(800, 3_000));
    assert_eq!(chosen, Decision::Send(servers[0].entry.name.clone()));
}

/// A request that is late already gets a slot that is free, but no place in a
/// queue: there it would make others late, and earn less than they do.
#[test]
fn what_is_late_anyway_does_not_queue() {
    let servers = [known("s-1")];
    let name = &servers[0].entry.name;
    let mut book = LoadBook::default();
    ran(&mut book, name, 200);
    let late = millis(0, 1_500);
    assert_eq!(pick(&book, &servers, late), Decision::Send(name.clone()));
    peers(&mut book, name, 4);
    assert!(matches!(
        pick(&book, &servers, late),
        Decision::Reject { .. }
    ));
}

/// A faulty server answers at once, with failures. By its times alone it would
/// look like the fastest and draw all requests.
#[test]
fn quick_failures_do_not_draw_requests() {
    let servers = [known("s-faulty"), known("s-sound")];
    let mut book = LoadBook::default();
    for _ in 0..30 {
        ran(&mut book, &servers[1].entry.name, 200);
        let faulty = &servers[0].entry.name;
        book.begin(faulty, NOW);
        book.end(faulty, Finish::Failed, Duration::from_millis(1), 1.0, NOW);
    }
    let chosen = pick(&book, &servers, millis(800, 3_000));
    assert_eq!(chosen, Decision::Send(servers[1].entry.name.clone()));
}

/// A server that was slow for a while gets requests again although nobody has
/// measured it since, and one that took no connection is left alone for a time.
#[test]
fn bad_times_are_forgotten_and_refused_connections_pause() {
    let servers = [known("s-1")];
    let name = &servers[0].entry.name;
    let mut book = LoadBook::default();
    ran(&mut book, name, 5_000);
    assert!(matches!(
        pick(&book, &servers, millis(600, 2_500)),
        Decision::Reject { .. }
    ));
    let later = NOW + Duration::from_secs(5);
    let candidates = || {
        servers.iter().map(|server| Candidate {
            server,
            same_domain: true,
            kept: true,
            load_factor: 1.0,
        })
    };
    let chosen = choose(&book, candidates(), millis(600, 2_500), later, || 0.5);
    assert_eq!(chosen, Decision::Send(name.clone()));
    book.begin(name, NOW);
    book.end(name, Finish::Lost, Duration::ZERO, 1.0, later);
    let chosen = choose(&book, candidates(), millis(600, 2_500), later, || 0.5);
    assert!(matches!(chosen, Decision::Reject { .. }));
}

/// A server has joined, and callers get nothing of it: a connection to the other
/// one is kept, which has room for all there is. It has to be tried once to be
/// known, and from then on the connection decides.
#[test]
fn a_server_that_nobody_has_measured_is_tried() {
    let servers = [known("s-1"), known("s-joined")];
    let mut book = LoadBook::default();
    ran(&mut book, &servers[0].entry.name, 30);
    let candidates = |book: &LoadBook| {
        // Chance favours the one that has joined.
        let mut draws = [0.9, 0.1].into_iter().cycle();
        let candidates = servers.iter().map(|server| Candidate {
            server,
            same_domain: true,
            kept: server.entry.name == servers[0].entry.name,
            load_factor: 1.0,
        });
        choose(book, candidates, millis(800, 3_000), NOW, || {
            draws.next().unwrap()
        })
    };
    let joined = &servers[1].entry.name;
    assert_eq!(candidates(&book), Decision::Send(joined.clone()));
    ran(&mut book, joined, 30);
    let first = Decision::Send(servers[0].entry.name.clone());
    assert_eq!(candidates(&book), first);
}

/// An instance that is gone leaves no requests behind in the others' counts.
#[test]
fn old_reports_count_for_nothing() {
    let name: ServerName = "s-1".parse().unwrap();
    let mut book = LoadBook::default();
    peers(&mut book, &name, 10);
    assert_eq!(book.get(&name).busy(), 10);
    let later = NOW + Duration::from_secs(2);
    book.report("peer-2".parse().unwrap(), Vec::new(), later);
    // Reports replace one another, and never add up.
    let load = |busy| PeerLoad {
        server: name.clone(),
        busy,
        run: None,
    };
    book.report("peer-2".parse().unwrap(), vec![load(3)], later);
    book.report("peer-2".parse().unwrap(), Vec::new(), later);
    assert_eq!(book.get(&name).busy(), 0);
}

/// Servers refuse part of their requests at random, with slots free, for a while.
/// Each refusal used to close its server to callers for a run time, so that as
/// many requests were refused untried as by the servers themselves. One that
/// refuses with its slots taken has a full queue, and is left alone.
#[test]
fn a_refusal_with_a_slot_free_closes_no_server() {
    let servers = [known("s-1")];
    let name = &servers[0].entry.name;
    let mut book = LoadBook::default();
    let refuse = |book: &mut LoadBook, busy| {
        book.begin(name, NOW);
        book.end(
            name,
            Finish::Full,
            Duration::from_millis(2),
            run_share(busy, Slots(4)),
            NOW,
        );
    };
    refuse(&mut book, 3);
    assert_eq!(
        pick(&book, &servers, millis(600, 2_500)),
        Decision::Send(name.clone())
    );
    refuse(&mut book, 4);
    let chosen = pick(&book, &servers, millis(600, 2_500));
    assert!(matches!(
        chosen,
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
    let mut book = LoadBook::default();
    for _ in 0..5 {
        book.begin(name, NOW);
        book.end(name, Finish::Closed, Duration::from_millis(2), 1.0, NOW);
    }
    let reason = |book: &LoadBook, now| {
        let candidates = servers.iter().map(|server| Candidate {
            server,
            same_domain: true,
            kept: false,
            load_factor: 1.0,
        });
        match choose(book, candidates, millis(600, 2_500), now, || 0.5) {
            Decision::Reject { reason, .. } => Some(reason),
            Decision::Send(_) => None,
        }
    };
    assert_eq!(reason(&book, NOW), Some(RejectReason::Refusing));
    assert!(book.get(name).is_doubted());
    assert_eq!(reason(&book, NOW + Duration::from_millis(301)), None);
}

/// A key draws many times what its owner can run, for seconds. Callers who were told
/// to come back within 0.9 s were refused a second time, and had no third try. Where
/// one in ten is let in, they come back after ten times the time.
#[test]
fn callers_of_an_owner_that_lets_few_in_come_back_later() {
    let servers = [known("s-1")];
    let name = &servers[0].entry.name;
    let mut book = LoadBook::default();
    ran(&mut book, name, 200);
    let again = |book: &LoadBook| match pick(book, &servers, millis(600, 8_000)) {
        Decision::Reject { retry_after, .. } => retry_after,
        Decision::Send(name) => panic!("sent to {name}"),
    };
    peers(&mut book, name, 13);
    let first = again(&book);
    assert!(first < Duration::from_secs(1), "{first:?}");
    for request in 0..60 {
        match request % 10 {
            0 => ran(&mut book, name, 200),
            _ => book.note_rejected(name),
        }
    }
    let later = again(&book);
    assert!(later > Duration::from_secs(2), "{later:?}");
    (0..40).for_each(|_| ran(&mut book, name, 200));
    let calm = again(&book);
    assert!(calm < Duration::from_secs(1), "{calm:?}");
}

/// A slow server's slots are always taken, as it holds busy keys. If only requests
/// that find a slot free told its time, nothing would be known of it, and it would
/// be taken for one like the others: its callers would wait for answers that come
/// late, and its keys would stay.
#[test]
fn the_time_of_a_server_that_is_never_free_is_known() {
    let mut book = LoadBook::default();
    let name: ServerName = "s-slow".parse().unwrap();
    let run = 0.15;
    for _ in 0..60 {
        let (busy, slots) = (5, Slots(2));
        let waits = f64::from(busy + 1 - slots.0) * run / f64::from(slots.0);
        let span = Duration::from_secs_f64(waits + run);
        book.begin(&name, NOW);
        book.end(&name, Finish::Ran, span, run_share(busy, slots), NOW);
    }
    let known = book.get(&name).run(NOW).unwrap();
    assert!((known - run).abs() < 0.01, "{known}");
}

/// Something between an instance and its servers forgets connections that are idle
/// for 5 s, and requests on them are lost. Requests that may run again find it out;
/// one that may run only once must not go on such a connection, as it could not be
/// sent again. Where idle connections work, it need not open a new one each time.
#[test]
fn what_may_run_once_goes_on_connections_that_others_found_alive() {
    let mut trust = IdleTrust::default();
    let seconds = Duration::from_secs;
    assert!(trust.bound() < seconds(2));
    for _ in 0..7 {
        trust.worked(seconds(4));
    }
    assert!(trust.bound() < seconds(2), "too few have told");
    for _ in 0..40 {
        trust.worked(seconds(1));
        trust.worked(seconds(4));
    }
    assert!(trust.bound() > seconds(3) && trust.bound() < seconds(5));
    trust.was_dead();
    assert!(trust.bound() < seconds(2));
}

/// Guards against a service that is left alone by everybody, as its servers refuse at
/// random though they have room: what they say tells it from a full one.
#[test]
fn a_server_that_sheds_with_room_is_asked_again_at_once() {
    let servers = [known("s-1")];
    let chosen = |finish: Finish| {
        let mut book = LoadBook::default();
        let name = &servers[0].entry.name;
        book.begin(name, NOW);
        book.end(name, finish, Duration::from_millis(2), 0.5, NOW);
        pick(&book, &servers, millis(1_000, 4_000))
    };
    assert!(matches!(chosen(Finish::Full), Decision::Reject { .. }));
    assert!(matches!(chosen(Finish::Shed), Decision::Send(_)));
}
