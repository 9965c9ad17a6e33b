//! One request against every way in which an exchange can end.

use {
    citron_core::{
        routing::{
            Attempt, BudgetConfig, Event, Link, Outcome, Point, Reason, RequestBody, RequestKind,
            Retries, Send, Step, TRIES_MAX, Try, Verdict,
        },
        time::Time,
    },
    insta::assert_snapshot,
    proptest::prelude::*,
    std::{fmt::Write, time::Duration},
};

const SEED: u64 = 7;
const DEADLINE: Time = Time::from_micros(2_000_000);
const FIRST: Try = Try(1);

fn retries() -> Retries {
    Retries::new(BudgetConfig::STANDARD, SEED)
}

fn kind(idempotent: bool, body: RequestBody) -> RequestKind {
    RequestKind {
        idempotent,
        body,
        deadline: DEADLINE,
    }
}

/// An attempt whose first exchange is open.
fn sent(kind: RequestKind, retries: &mut Retries) -> Attempt {
    let mut attempt = Attempt::new(kind, retries);
    let step = attempt.step(Event::Admitted, Time::ZERO, retries);
    assert!(matches!(step, Step::Send(Send { no: FIRST, .. })));
    attempt
}

fn told(step: Step) -> String {
    match step {
        Step::Send(send) if send.reroute => "reroute".to_string(),
        Step::Send(_) => "retry".to_string(),
        Step::Answer(verdict) => told_verdict(verdict),
        step => format!("{step:?}"),
    }
}

fn told_verdict(verdict: Verdict) -> String {
    let retry = verdict.retry.map_or("-".to_string(), |s| format!("{s}s"));
    format!("{} {} {retry}", verdict.status, verdict.outcome)
}

/// The caller sees an answer of ours or a retried request, depending on how far
/// the exchange got. A request that is not idempotent is sent again only from
/// points at which nothing was written, or after the server's promise; a body
/// that was taken from the caller is never sent again.
#[test]
fn every_point_of_the_exchange() {
    let mut ends: Vec<(String, Event)> = Vec::new();
    for point in Point::ALL {
        ends.push((format!("lost: {point}"), Event::Lost(FIRST, point)));
    }
    for point in Point::ALL {
        ends.push((format!("timeout: {point}"), Event::TimedOut(FIRST, point)));
    }
    let refused = Event::Refused {
        no: FIRST,
        wait: None,
    };
    ends.push(("refused with promise".to_string(), refused));
    ends.push(("fence refusal".to_string(), Event::Fenced(FIRST)));
    ends.push(("leave ran out".to_string(), Event::Withheld(FIRST)));
    ends.push(("answer head".to_string(), Event::Answered(FIRST)));
    ends.push(("caller left".to_string(), Event::CallerLeft));

    let mut table = format!(
        "{:<27}{:<22}{:<22}{:<22}{}\n",
        "end of the exchange", "idempotent", "idempotent, consumed", "other", "other, consumed"
    );
    for (name, event) in ends {
        let mut line = format!("{name:<27}");
        for (idempotent, consumed) in [(true, false), (true, true), (false, false), (false, true)] {
            let cell = told(end_with(event, idempotent, consumed));
            let _ = write!(line, "{cell:<22}");
        }
        table += line.trim_end();
        table.push('\n');
    }
    assert_snapshot!(table);
}

fn end_with(event: Event, idempotent: bool, consumed: bool) -> Step {
    let mut retries = retries();
    let mut attempt = sent(kind(idempotent, RequestBody::Streamed), &mut retries);
    if consumed {
        attempt.step(Event::BodyBegun, Time::ZERO, &mut retries);
    }
    attempt.step(event, Time::ZERO, &mut retries)
}

/// A caller's resend is welcome exactly when it cannot double the request.
#[test]
fn every_reason_has_a_status_and_a_retry_after() {
    let mut table = String::new();
    let wait = Duration::from_millis(2_500);
    for reason in Reason::ALL {
        let verdicts = [
            Verdict::not_run(reason, wait),
            Verdict::unknown(reason, true, wait),
            Verdict::unknown(reason, false, wait),
        ];
        let cells: Vec<String> = verdicts.into_iter().map(told_verdict).collect();
        let _ = writeln!(table, "{:<55}{}", reason.to_string(), cells.join(" | "));
    }
    assert_snapshot!(table);
}

/// The head of an answer is out when the server's connection breaks. The caller
/// must see its connection break too, not an answer that looks whole.
#[test]
fn an_answer_cut_short_breaks_the_callers_connection() {
    for event in [Event::Cut(FIRST), Event::Lost(FIRST, Point::AnswerPart)] {
        let mut retries = retries();
        let mut attempt = sent(kind(true, RequestBody::Kept), &mut retries);
        let head = attempt.step(Event::Answered(FIRST), Time::ZERO, &mut retries);
        assert_eq!(head, Step::Forward(FIRST));
        let step = attempt.step(event, Time::ZERO, &mut retries);
        assert_eq!(step, Step::Abort);
    }
}

/// The first exchange hangs, the hedge is answered. The late answer of the first
/// one must reach nobody.
#[test]
fn the_first_answer_wins_and_the_late_one_is_dropped() {
    let mut retries = retries();
    let mut attempt = sent(kind(true, RequestBody::Kept), &mut retries);
    let step = attempt.step(Event::HedgeDue, Time::ZERO, &mut retries);
    assert!(matches!(
        step,
        Step::Send(Send {
            no: Try(2),
            link: Link::New,
            ..
        })
    ));
    let second = Event::Answered(Try(2));
    let step = attempt.step(second, Time::ZERO, &mut retries);
    assert_eq!(step, Step::Forward(Try(2)));
    let late = attempt.step(Event::Answered(FIRST), Time::ZERO, &mut retries);
    assert_eq!(late, Step::Wait);
    let done = attempt.step(Event::Completed(Try(2)), Time::ZERO, &mut retries);
    assert_eq!(done, Step::Done);
}

/// A server is in trouble and every request to it fails. Neither retries nor hedges
/// may multiply the load on it beyond the budget.
#[test]
fn an_empty_budget_stops_retries_and_hedges() {
    let config = BudgetConfig {
        share: 0.0,
        burst: 0.5,
    };
    let mut retries = Retries::new(config, SEED);
    let mut attempt = sent(kind(true, RequestBody::Kept), &mut retries);
    let hedge = attempt.step(Event::HedgeDue, Time::ZERO, &mut retries);
    assert_eq!(hedge, Step::Wait);
    let lost = Event::Lost(FIRST, Point::Written);
    let step = attempt.step(lost, Time::ZERO, &mut retries);
    assert!(matches!(step, Step::Answer(_)));
}

/// A server refuses every epoch. The caller gets an answer after a few tries, long
/// before its deadline.
#[test]
fn tries_are_counted_even_without_a_budget() {
    let mut retries = Retries::new(BudgetConfig::UNLIMITED, SEED);
    let mut attempt = sent(kind(false, RequestBody::Kept), &mut retries);
    let fenced = |no| Event::Fenced(Try(no));
    let steps: Vec<Step> = (1..=TRIES_MAX)
        .map(|no| attempt.step(fenced(no), Time::ZERO, &mut retries))
        .collect();
    let sends = steps.iter().filter(|step| matches!(step, Step::Send(_)));
    assert_eq!(sends.count(), TRIES_MAX as usize - 1);
    assert!(matches!(steps.last(), Some(Step::Answer(_))));
}

/// A hedge of a purchase would buy twice.
#[test]
fn requests_that_are_not_idempotent_are_never_hedged() {
    let mut retries = retries();
    let mut attempt = sent(kind(false, RequestBody::Kept), &mut retries);
    let step = attempt.step(Event::HedgeDue, Time::ZERO, &mut retries);
    assert_eq!(step, Step::Wait);
}

/// The first try of an idempotent request may have run, the second one was
/// refused with a promise. The promise covers the second try only.
#[test]
fn a_promise_does_not_cover_an_earlier_try() {
    let mut retries = Retries::new(
        BudgetConfig {
            share: 0.0,
            burst: 1.0,
        },
        SEED,
    );
    let mut attempt = sent(kind(true, RequestBody::Kept), &mut retries);
    let lost = Event::Lost(FIRST, Point::Written);
    let step = attempt.step(lost, Time::ZERO, &mut retries);
    assert!(matches!(step, Step::Send(_)));
    let refused = Event::Refused {
        no: Try(2),
        wait: None,
    };
    let Step::Answer(verdict) = attempt.step(refused, Time::ZERO, &mut retries) else {
        panic!("the budget is used up");
    };
    assert_eq!(verdict.outcome, Outcome::Unknown);
}

/// A request waits to be sent again when the instance learns that requests like
/// it crash servers. What the first try left open decides the outcome.
#[test]
fn a_retry_that_is_refused_adds_no_doubt() {
    let cases = [
        (Point::Unconnected, Outcome::NotRun),
        (Point::Written, Outcome::Unknown),
    ];
    for (point, outcome) in cases {
        let mut retries = retries();
        let mut attempt = sent(kind(true, RequestBody::Kept), &mut retries);
        attempt.step(Event::Lost(FIRST, point), Time::ZERO, &mut retries);
        let denied = Event::Denied {
            reason: Reason::Quarantined,
            wait: Duration::from_secs(60),
        };
        let Step::Answer(verdict) = attempt.step(denied, Time::ZERO, &mut retries) else {
            panic!("nothing is open");
        };
        assert_eq!((verdict.status, verdict.outcome), (422, outcome));
    }
}

/// A hedge finds no free slot. The first exchange goes on.
#[test]
fn a_hedge_that_is_refused_ends_nothing() {
    let mut retries = retries();
    let mut attempt = sent(kind(true, RequestBody::Kept), &mut retries);
    attempt.step(Event::HedgeDue, Time::ZERO, &mut retries);
    let denied = Event::Denied {
        reason: Reason::Overloaded,
        wait: Duration::ZERO,
    };
    assert_eq!(attempt.step(denied, Time::ZERO, &mut retries), Step::Wait);
    let step = attempt.step(Event::Answered(FIRST), Time::ZERO, &mut retries);
    assert_eq!(step, Step::Forward(FIRST));
}

/// The deadline is nearer than the backoff: the caller is told at once, not at
/// the deadline.
#[test]
fn a_retry_that_would_come_too_late_is_answered_now() {
    let mut retries = retries();
    let mut attempt = sent(kind(true, RequestBody::Kept), &mut retries);
    let late = Time::from_micros(DEADLINE.as_micros() - 1_000);
    let event = Event::Lost(FIRST, Point::Written);
    let step = attempt.step(event, late, &mut retries);
    assert!(matches!(step, Step::Answer(_)));
}

fn any_event() -> impl Strategy<Value = Event> {
    let no = (1..=TRIES_MAX).prop_map(Try);
    let point = (0..Point::ALL.len()).prop_map(|i| Point::ALL[i]);
    (0..11u8, no, point).prop_map(|(which, no, point)| match which {
        0 => Event::Lost(no, point),
        1 => Event::TimedOut(no, point),
        2 => Event::Refused { no, wait: None },
        3 => Event::Fenced(no),
        4 => Event::Withheld(no),
        5 => Event::Answered(no),
        6 => Event::Cut(no),
        7 => Event::Completed(no),
        8 => Event::HedgeDue,
        9 => Event::BodyBegun,
        _ => Event::CallerLeft,
    })
}

proptest! {
    /// Whatever happens in whatever order: a request that is not idempotent is
    /// never sent again once it may have run, `not-run` is never said then, and
    /// nothing follows the last answer.
    #[test]
    fn never_twice_and_never_wrongly_not_run(
        events in proptest::collection::vec(any_event(), 1..24),
        idempotent: bool,
    ) {
        let mut retries = Retries::new(BudgetConfig::UNLIMITED, SEED);
        let mut attempt = sent(kind(idempotent, RequestBody::Streamed), &mut retries);
        let (mut last, mut doubt, mut over) = (FIRST, false, false);
        let mut forwarded = 0;
        let mut settled = std::collections::BTreeSet::new();
        for event in events {
            if let Event::Lost(no, point) | Event::TimedOut(no, point) = event {
                doubt |= no <= last && !settled.contains(&no) && !point.is_clean();
            }
            if let Event::Lost(no, _) | Event::TimedOut(no, _) | Event::Refused { no, .. }
                | Event::Fenced(no) | Event::Withheld(no) = event
                && no <= last { settled.insert(no); }
            let step = attempt.step(event, Time::ZERO, &mut retries);
            prop_assert!(!over || step == Step::Wait);
            match step {
                Step::Send(send) => {
                    prop_assert!(idempotent || !doubt);
                    prop_assert_eq!(send.no, Try(last.0 + 1));
                    last = send.no;
                }
                Step::Answer(verdict) => {
                    prop_assert!(!doubt || verdict.outcome == Outcome::Unknown);
                    over = true;
                }
                Step::Abort | Step::Done | Step::Drop => over = true,
                Step::Forward(_) => forwarded += 1,
                Step::Wait => {}
            }
        }
        prop_assert!(forwarded <= 1, "two answers for one caller");
    }
}
