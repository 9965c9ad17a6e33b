//! What the decisions on the request path cost: nanoseconds and bytes.
//!
//! `cargo run --release -p citron-core --example policy_cost`

use {
    citron_core::{
        admission::{
            Admission, AdmissionConfig, AdmissionController, Demand, DemandTracker, Rate,
            ReleaseReason, SlotShare, Ticket,
        },
        crash::{CrashConfig, CrashTracker, Fingerprint},
        health::{HealthConfig, PoolHealth},
        id::{ServerName, Slots},
        routing::{
            AttemptNo, BudgetConfig, Event, RequestBody, RequestKind, RetryPolicy, RetryState,
        },
        time::Time,
    },
    std::{
        hint::black_box,
        mem::size_of,
        time::{Duration, Instant},
    },
};

const ROUNDS: u64 = 1_000_000;
const INSTANCES: usize = 10;
const SERVERS: usize = 20;
const HOLD: Duration = Duration::from_millis(20);

fn main() {
    println!(
        "bytes: gate {}, attempt {}",
        size_of::<AdmissionController>(),
        size_of::<RetryState>()
    );
    measure("attempt, one try", attempt());
    measure("gate, a free slot", free_gate());
    measure("gate, shed by a full queue", full_gate());
    measure("health, check and answer", health());
    measure("crash log, with 256 entries", crash());
    measure("a part from ten reports", part());
}

fn measure(name: &str, mut round: impl FnMut(u64)) {
    let begun = Instant::now();
    (0..ROUNDS).for_each(&mut round);
    let nanos = begun.elapsed().as_nanos() as f64 / ROUNDS as f64;
    println!("{name}: {nanos:.0} ns");
}

fn at(round: u64) -> Time {
    Time::from_micros(round * 1_000)
}

fn servers() -> Vec<ServerName> {
    let name = |n| format!("server-{n}").parse().expect("a valid name");
    (0..SERVERS).map(name).collect()
}

fn attempt() -> impl FnMut(u64) {
    let mut retries = RetryPolicy::new(BudgetConfig::STANDARD, 1);
    move |round| {
        let kind = RequestKind {
            idempotent: true,
            body: RequestBody::Buffered,
            deadline: at(round + 1_000),
        };
        let mut attempt = RetryState::new(kind, &mut retries);
        for event in [
            Event::Admitted,
            Event::Answered(AttemptNo(1)),
            Event::Completed(AttemptNo(1)),
        ] {
            black_box(attempt.step(event, at(round), &mut retries));
        }
    }
}

fn free_gate() -> impl FnMut(u64) {
    let mut gate =
        AdmissionController::new(AdmissionConfig::STANDARD, SlotShare::new(4.0), Time::ZERO);
    move |round| {
        let admitted = gate.admit(Ticket(round), at(round + 1_000), at(round));
        assert_eq!(admitted, Admission::Start);
        gate.end(ReleaseReason::Answered, HOLD, at(round));
        black_box(gate.next(at(round)));
    }
}

fn full_gate() -> impl FnMut(u64) {
    let config = AdmissionConfig {
        wait_max: Duration::from_secs(3_600),
        ..AdmissionConfig::STANDARD
    };
    let mut gate = AdmissionController::new(config, SlotShare::new(4.0), Time::ZERO);
    let far = at(u64::MAX / 2_000);
    for ticket in 0..68 {
        gate.admit(Ticket(ticket), far, Time::ZERO);
    }
    move |round| {
        let shed = gate.admit(Ticket(round + 100), far, at(round));
        assert!(matches!(shed, Admission::Shed { .. }));
    }
}

fn health() -> impl FnMut(u64) {
    let names = servers();
    let mut pool = PoolHealth::new(HealthConfig::STANDARD);
    pool.set_servers(names.iter().cloned());
    move |round| {
        let name = &names[round as usize % SERVERS];
        black_box(pool.check(name, true, at(round)));
        pool.record_success(name, HOLD, at(round));
    }
}

fn crash() -> impl FnMut(u64) {
    let mut log = CrashTracker::new(CrashConfig::STANDARD);
    let server = &servers()[0];
    for number in 0..CrashConfig::STANDARD.max_entries as u64 {
        log.record_crash(Fingerprint(number), "GET /", server, Time::ZERO);
    }
    move |round| {
        let print = Fingerprint::from_parts(&[b"GET", b"/sets/7", &round.to_le_bytes()]);
        black_box(log.refused_for(print, Time::ZERO));
    }
}

fn part() -> impl FnMut(u64) {
    let demand = Demand {
        arrivals: Rate(30.0),
        answers: Rate(20.0),
    };
    let names = servers();
    let mut book = DemandTracker::default();
    for peer in 1..INSTANCES {
        let from = format!("instance-{peer}").parse().expect("a valid name");
        let demands = names.iter().map(|name| (name.clone(), demand));
        book.record(from, demands.collect(), Time::ZERO);
    }
    move |round| {
        let name = &names[round as usize % SERVERS];
        black_box(book.quota(name, Slots(4), None, demand, INSTANCES, Time::ZERO));
    }
}
