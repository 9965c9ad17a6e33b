//! Attempts of one request, against all ways in which an exchange can end.

use {
    citron_core::{
        routing::{
            ATTEMPTS_MAX, AttemptNo, BudgetConfig, ConnectionPolicy, Event, ExchangeStage,
            FailureReason, LocalResponse, Outcome, RequestBody, RequestKind, RetryPolicy,
            RetryState, SendAttempt, Step,
        },
        time::Time,
    },
    insta::assert_snapshot,
    proptest::prelude::*,
    std::{fmt::Write, time::Duration},
};

const SEED: u64 = 7;
const DEADLINE: Time = Time::from_micros(2_000_000);
const FIRST: AttemptNo = AttemptNo(1);

fn policy() -> RetryPolicy {
    RetryPolicy::new(BudgetConfig::STANDARD, SEED)
}

fn kind(idempotent: bool, body: RequestBody) -> RequestKind {
    RequestKind {
        idempotent,
        body,
        deadline: DEADLINE,
    }
}

/// State of a request whose first attempt is open.
fn sent_request(kind: RequestKind, policy: &mut RetryPolicy) -> RetryState {
    let mut state = RetryState::new(kind, policy);
    let step = state.step(Event::Admitted, Time::ZERO, policy);
    assert!(matches!(step, Step::Send(SendAttempt { no: FIRST, .. })));
    state
}

fn describe_step(step: Step) -> String {
    match step {
        Step::Send(send) if send.reroute => "reroute".to_string(),
        Step::Send(_) => "retry".to_string(),
        Step::Answer(response) => describe_response(response),
        step => format!("{step:?}"),
    }
}

fn describe_response(response: LocalResponse) -> String {
    let retry = response
        .retry_after
        .map_or("-".to_string(), |s| format!("{s}s"));
    format!("{} {} {retry}", response.status, response.outcome)
}

/// Guards against requests that run twice. Each table row is a stage at which an exchange
/// ends. A request that is not idempotent is sent again only if nothing was written or
/// the server guarantees that it did not run; a body that was read from the client is
/// never sent again.
#[test]
fn every_point_of_the_exchange() {
    let mut endings: Vec<(String, Event)> = Vec::new();
    for stage in ExchangeStage::ALL {
        endings.push((format!("lost: {stage}"), Event::Lost(FIRST, stage)));
    }
    for stage in ExchangeStage::ALL {
        endings.push((format!("timeout: {stage}"), Event::TimedOut(FIRST, stage)));
    }
    let refused = Event::Refused {
        no: FIRST,
        wait: None,
    };
    endings.push(("refused with guarantee".to_string(), refused));
    endings.push(("epoch refused".to_string(), Event::Fenced(FIRST)));
    endings.push(("lease expired".to_string(), Event::Unconfirmed(FIRST)));
    endings.push(("response head".to_string(), Event::Answered(FIRST)));
    endings.push(("client disconnected".to_string(), Event::ClientDisconnected));

    let mut table = format!(
        "{:<27}{:<22}{:<22}{:<22}{}\n",
        "end of the exchange", "idempotent", "idempotent, consumed", "other", "other, consumed"
    );
    for (name, event) in endings {
        let mut line = format!("{name:<27}");
        for (idempotent, consumed) in [(true, false), (true, true), (false, false), (false, true)] {
            let cell = describe_step(end_with(event, idempotent, consumed));
            let _ = write!(line, "{cell:<22}");
        }
        table += line.trim_end();
        table.push('\n');
    }
    assert_snapshot!(table);
}

fn end_with(event: Event, idempotent: bool, consumed: bool) -> Step {
    let mut policy = policy();
    let mut state = sent_request(kind(idempotent, RequestBody::Streamed), &mut policy);
    if consumed {
        state.step(Event::BodyStarted, Time::ZERO, &mut policy);
    }
    state.step(event, Time::ZERO, &mut policy)
}

/// Guards against a Retry-After that could make a client run a request twice.
#[test]
fn every_reason_has_a_status_and_a_retry_after() {
    let mut table = String::new();
    let wait = Duration::from_millis(2_500);
    for reason in FailureReason::ALL {
        let responses = [
            LocalResponse::not_run(reason, wait),
            LocalResponse::unknown(reason, true, wait),
            LocalResponse::unknown(reason, false, wait),
        ];
        let cells: Vec<String> = responses.into_iter().map(describe_response).collect();
        let _ = writeln!(table, "{:<55}{}", reason.to_string(), cells.join(" | "));
    }
    assert_snapshot!(table);
}

/// Guards against a truncated response that looks complete: when the server's connection
/// breaks after the head, the client's connection must break too.
#[test]
fn an_answer_cut_short_breaks_the_callers_connection() {
    for event in [
        Event::Truncated(FIRST),
        Event::Lost(FIRST, ExchangeStage::AnswerPart),
    ] {
        let mut policy = policy();
        let mut state = sent_request(kind(true, RequestBody::Buffered), &mut policy);
        let head = state.step(Event::Answered(FIRST), Time::ZERO, &mut policy);
        assert_eq!(head, Step::Forward(FIRST));
        let step = state.step(event, Time::ZERO, &mut policy);
        assert_eq!(step, Step::Abort);
    }
}

/// Guards against two responses to one request: the first attempt hangs, the hedge is
/// answered, and the late response of the first attempt is dropped.
#[test]
fn the_first_answer_wins_and_the_late_one_is_dropped() {
    let mut policy = policy();
    let mut state = sent_request(kind(true, RequestBody::Buffered), &mut policy);
    let step = state.step(Event::HedgeDue, Time::ZERO, &mut policy);
    assert!(matches!(
        step,
        Step::Send(SendAttempt {
            no: AttemptNo(2),
            connection: ConnectionPolicy::New,
            ..
        })
    ));
    let second = Event::Answered(AttemptNo(2));
    let step = state.step(second, Time::ZERO, &mut policy);
    assert_eq!(step, Step::Forward(AttemptNo(2)));
    let late = state.step(Event::Answered(FIRST), Time::ZERO, &mut policy);
    assert_eq!(late, Step::Wait);
    let done = state.step(Event::Completed(AttemptNo(2)), Time::ZERO, &mut policy);
    assert_eq!(done, Step::Done);
}

/// Guards against retries and hedges that multiply the load on a failing server beyond
/// the budget.
#[test]
fn an_empty_budget_stops_retries_and_hedges() {
    let config = BudgetConfig {
        share: 0.0,
        burst: 0.5,
    };
    let mut policy = RetryPolicy::new(config, SEED);
    let mut state = sent_request(kind(true, RequestBody::Buffered), &mut policy);
    let hedge = state.step(Event::HedgeDue, Time::ZERO, &mut policy);
    assert_eq!(hedge, Step::Wait);
    let lost = Event::Lost(FIRST, ExchangeStage::Written);
    let step = state.step(lost, Time::ZERO, &mut policy);
    assert!(matches!(step, Step::Answer(_)));
}

/// Guards against endless attempts at a server that refuses every epoch: the client gets
/// a response after a few attempts, long before its deadline.
#[test]
fn tries_are_counted_even_without_a_budget() {
    let mut policy = RetryPolicy::new(BudgetConfig::UNLIMITED, SEED);
    let mut state = sent_request(kind(false, RequestBody::Buffered), &mut policy);
    let fenced = |no| Event::Fenced(AttemptNo(no));
    let steps: Vec<Step> = (1..=ATTEMPTS_MAX)
        .map(|no| state.step(fenced(no), Time::ZERO, &mut policy))
        .collect();
    let sends = steps.iter().filter(|step| matches!(step, Step::Send(_)));
    assert_eq!(sends.count(), ATTEMPTS_MAX as usize - 1);
    assert!(matches!(steps.last(), Some(Step::Answer(_))));
}

/// Guards against a hedge that runs a request twice that must not.
#[test]
fn requests_that_are_not_idempotent_are_never_hedged() {
    let mut policy = policy();
    let mut state = sent_request(kind(false, RequestBody::Buffered), &mut policy);
    let step = state.step(Event::HedgeDue, Time::ZERO, &mut policy);
    assert_eq!(step, Step::Wait);
}

/// Guards against a refusal of the second attempt being applied to the first, which may
/// have run.
#[test]
fn a_promise_does_not_cover_an_earlier_try() {
    let mut policy = RetryPolicy::new(
        BudgetConfig {
            share: 0.0,
            burst: 1.0,
        },
        SEED,
    );
    let mut state = sent_request(kind(true, RequestBody::Buffered), &mut policy);
    let lost = Event::Lost(FIRST, ExchangeStage::Written);
    let step = state.step(lost, Time::ZERO, &mut policy);
    assert!(matches!(step, Step::Send(_)));
    let refused = Event::Refused {
        no: AttemptNo(2),
        wait: None,
    };
    let Step::Answer(response) = state.step(refused, Time::ZERO, &mut policy) else {
        panic!("the budget has no token left");
    };
    assert_eq!(response.outcome, Outcome::Unknown);
}

/// Guards against a wrong outcome when a retry is rejected by the quarantine: only the
/// first attempt decides it.
#[test]
fn a_retry_that_is_refused_adds_no_doubt() {
    let cases = [
        (ExchangeStage::Unconnected, Outcome::NotRun),
        (ExchangeStage::Written, Outcome::Unknown),
    ];
    for (stage, outcome) in cases {
        let mut policy = policy();
        let mut state = sent_request(kind(true, RequestBody::Buffered), &mut policy);
        state.step(Event::Lost(FIRST, stage), Time::ZERO, &mut policy);
        let denied = Event::Denied {
            reason: FailureReason::Quarantined,
            wait: Duration::from_secs(60),
        };
        let Step::Answer(response) = state.step(denied, Time::ZERO, &mut policy) else {
            panic!("no attempt is open");
        };
        assert_eq!((response.status, response.outcome), (422, outcome));
    }
}

/// Guards against a hedge without a free slot that ends the first attempt.
#[test]
fn a_hedge_that_is_refused_ends_nothing() {
    let mut policy = policy();
    let mut state = sent_request(kind(true, RequestBody::Buffered), &mut policy);
    state.step(Event::HedgeDue, Time::ZERO, &mut policy);
    let denied = Event::Denied {
        reason: FailureReason::Overloaded,
        wait: Duration::ZERO,
    };
    assert_eq!(state.step(denied, Time::ZERO, &mut policy), Step::Wait);
    let step = state.step(Event::Answered(FIRST), Time::ZERO, &mut policy);
    assert_eq!(step, Step::Forward(FIRST));
}

/// Guards against a client that waits until its deadline when the backoff would end after
/// it.
#[test]
fn a_retry_that_would_come_too_late_is_answered_now() {
    let mut policy = policy();
    let mut state = sent_request(kind(true, RequestBody::Buffered), &mut policy);
    let late = Time::from_micros(DEADLINE.as_micros() - 1_000);
    let event = Event::Lost(FIRST, ExchangeStage::Written);
    let step = state.step(event, late, &mut policy);
    assert!(matches!(step, Step::Answer(_)));
}

fn any_event() -> impl Strategy<Value = Event> {
    let no = (1..=ATTEMPTS_MAX).prop_map(AttemptNo);
    let stage = (0..ExchangeStage::ALL.len()).prop_map(|i| ExchangeStage::ALL[i]);
    (0..11u8, no, stage).prop_map(|(which, no, stage)| match which {
        0 => Event::Lost(no, stage),
        1 => Event::TimedOut(no, stage),
        2 => Event::Refused { no, wait: None },
        3 => Event::Fenced(no),
        4 => Event::Unconfirmed(no),
        5 => Event::Answered(no),
        6 => Event::Truncated(no),
        7 => Event::Completed(no),
        8 => Event::HedgeDue,
        9 => Event::BodyStarted,
        _ => Event::ClientDisconnected,
    })
}

proptest! {
    /// For any sequence of events: a request that is not idempotent is not sent again
    /// once it may have run, `not-run` is not reported then, and nothing follows the
    /// final response.
    #[test]
    fn never_twice_and_never_wrongly_not_run(
        events in proptest::collection::vec(any_event(), 1..24),
        idempotent: bool,
    ) {
        let mut policy = RetryPolicy::new(BudgetConfig::UNLIMITED, SEED);
        let mut state = sent_request(kind(idempotent, RequestBody::Streamed), &mut policy);
        let (mut last, mut may_have_run, mut is_over) = (FIRST, false, false);
        let mut forwarded = 0;
        let mut ended_attempts = std::collections::BTreeSet::new();
        for event in events {
            if let Event::Lost(no, stage) | Event::TimedOut(no, stage) = event {
                may_have_run |= no <= last && !ended_attempts.contains(&no) && !stage.is_unsent();
            }
            if let Event::Lost(no, _) | Event::TimedOut(no, _) | Event::Refused { no, .. }
                | Event::Fenced(no) | Event::Unconfirmed(no) = event
                && no <= last { ended_attempts.insert(no); }
            let step = state.step(event, Time::ZERO, &mut policy);
            prop_assert!(!is_over || step == Step::Wait);
            match step {
                Step::Send(send) => {
                    prop_assert!(idempotent || !may_have_run);
                    prop_assert_eq!(send.no, AttemptNo(last.0 + 1));
                    last = send.no;
                }
                Step::Answer(response) => {
                    prop_assert!(!may_have_run || response.outcome == Outcome::Unknown);
                    is_over = true;
                }
                Step::Abort | Step::Done | Step::Drop => is_over = true,
                Step::Forward(_) => forwarded += 1,
                Step::Wait => {}
            }
        }
        prop_assert!(forwarded <= 1, "two responses to one request");
    }
}
