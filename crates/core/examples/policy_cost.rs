//! Cost of the decisions on the request path: nanoseconds for each call, and bytes for each
//! state value.
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

/// Calls for each measurement.
const ROUNDS: u64 = 1_000_000;
/// Instances that report demand, this one included.
const INSTANCES: usize = 10;
const SERVERS: usize = 20;
/// Time for which a request holds its slot.
const SERVICE_TIME: Duration = Duration::from_millis(20);

fn main() {
    println!(
        "bytes: admission {}, retry state {}",
        size_of::<AdmissionController>(),
        size_of::<RetryState>()
    );
    measure("retry state, one attempt", retry());
    measure("admission, a free slot", admit_free());
    measure("admission, shed by a full queue", shed_full());
    measure("health, check and answer", health());
    measure("crash check, 256 entries", crash_check());
    measure("quota from ten reports", quota());
}

/// Prints the mean time of `round` over `ROUNDS` calls.
fn measure(name: &str, mut round: impl FnMut(u64)) {
    let started = Instant::now();
    (0..ROUNDS).for_each(&mut round);
    let nanos = started.elapsed().as_nanos() as f64 / ROUNDS as f64;
    println!("{name}: {nanos:.0} ns");
}

fn at(round: u64) -> Time {
    Time::from_micros(round * 1_000)
}

fn servers() -> Vec<ServerName> {
    let name = |n| format!("server-{n}").parse().expect("a valid name");
    (0..SERVERS).map(name).collect()
}

fn retry() -> impl FnMut(u64) {
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

fn admit_free() -> impl FnMut(u64) {
    let mut admission =
        AdmissionController::new(AdmissionConfig::STANDARD, SlotShare::new(4.0), Time::ZERO);
    move |round| {
        let admitted = admission.admit(Ticket(round), at(round + 1_000), at(round));
        assert_eq!(admitted, Admission::Start);
        admission.end(ReleaseReason::Answered, SERVICE_TIME, at(round));
        black_box(admission.next(at(round)));
    }
}

fn shed_full() -> impl FnMut(u64) {
    let config = AdmissionConfig {
        wait_max: Duration::from_secs(3_600),
        ..AdmissionConfig::STANDARD
    };
    let mut admission = AdmissionController::new(config, SlotShare::new(4.0), Time::ZERO);
    let far = at(u64::MAX / 2_000);
    for ticket in 0..68 {
        admission.admit(Ticket(ticket), far, Time::ZERO);
    }
    move |round| {
        let shed = admission.admit(Ticket(round + 100), far, at(round));
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
        pool.record_success(name, SERVICE_TIME, at(round));
    }
}

fn crash_check() -> impl FnMut(u64) {
    let mut crash_tracker = CrashTracker::new(CrashConfig::STANDARD);
    let server = &servers()[0];
    for number in 0..CrashConfig::STANDARD.max_entries as u64 {
        crash_tracker.record_crash(Fingerprint(number), "GET /", server, Time::ZERO);
    }
    move |round| {
        let fingerprint = Fingerprint::from_parts(&[b"GET", b"/sets/7", &round.to_le_bytes()]);
        black_box(crash_tracker.refused_for(fingerprint, Time::ZERO));
    }
}

fn quota() -> impl FnMut(u64) {
    let demand = Demand {
        arrivals: Rate(30.0),
        answers: Rate(20.0),
    };
    let names = servers();
    let mut demand_tracker = DemandTracker::default();
    for peer in 1..INSTANCES {
        let from = format!("instance-{peer}").parse().expect("a valid name");
        let demands = names.iter().map(|name| (name.clone(), demand));
        demand_tracker.record(from, demands.collect(), Time::ZERO);
    }
    move |round| {
        let name = &names[round as usize % SERVERS];
        black_box(demand_tracker.quota(name, Slots(4), None, demand, INSTANCES, Time::ZERO));
    }
}
