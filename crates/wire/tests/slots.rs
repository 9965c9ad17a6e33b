//! Slot messages in datagrams between instances.

use {
    citron_core::{
        dispatch::ReportedLoad,
        id::Slots,
        slots::{DenyReason, SlotAnswer, SlotMessage, SlotOutcome, SlotRequest},
    },
    citron_wire::heartbeat::{Datagram, SlotWireError},
    std::time::Duration,
};

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn request(slots: u32) -> SlotMessage {
    SlotMessage::Request {
        number: 2_000_000,
        request: SlotRequest {
            server: "i-0000abcd".parse().unwrap(),
            slots: Slots(slots),
            priority: 1,
            objective: millis(500),
            deadline: millis(3_000),
        },
    }
}

fn answer(answer: SlotAnswer) -> SlotMessage {
    let number = 2_000_000;
    SlotMessage::Answer { number, answer }
}

fn denied(reason: DenyReason) -> SlotMessage {
    answer(SlotAnswer::Denied {
        retry_after: millis(850),
        reason,
    })
}

fn release(outcome: SlotOutcome) -> SlotMessage {
    let number = 2_000_000;
    SlotMessage::Release { number, outcome }
}

fn load(slots: u32, slowdown: f64) -> ReportedLoad {
    ReportedLoad {
        running: 4,
        waiting: 2,
        slots: Slots(slots),
        slowdown,
    }
}

fn ran(load: Option<ReportedLoad>) -> SlotMessage {
    let span = millis(360);
    release(SlotOutcome::Ran { span, load })
}

fn decode(bytes: &[u8]) -> Result<SlotMessage, SlotWireError> {
    match Datagram::decode(bytes) {
        Some(Datagram::SlotRequest(wire)) => wire.try_into(),
        Some(Datagram::SlotAnswer(wire)) => Ok(wire.into()),
        Some(Datagram::SlotRelease(wire)) => wire.try_into(),
        other => panic!("{other:?}"),
    }
}

fn send(message: &SlotMessage) -> Result<SlotMessage, SlotWireError> {
    decode(&Datagram::from(message).encode().unwrap())
}

fn messages() -> Vec<(&'static str, SlotMessage)> {
    vec![
        ("request", request(4)),
        ("granted", answer(SlotAnswer::Granted)),
        ("queued", answer(SlotAnswer::Queued(millis(240)))),
        ("full", denied(DenyReason::Full)),
        ("shed", denied(DenyReason::Shed)),
        ("leaving", denied(DenyReason::Leaving)),
        ("ran", ran(None)),
        ("ran, load", ran(Some(load(4, 3.0)))),
        ("refused", release(SlotOutcome::Refused { load: None })),
        (
            "refused, load",
            release(SlotOutcome::Refused {
                load: Some(load(4, 1.0)),
            }),
        ),
        ("failed", release(SlotOutcome::Failed)),
        ("unused", release(SlotOutcome::Unused)),
    ]
}

#[test]
fn slot_messages_arrive_as_they_were_sent() {
    for (name, message) in messages() {
        assert_eq!(send(&message).unwrap(), message, "{name}");
    }
}

/// Guards against growth: three of these datagrams cross failure domains for each request.
#[test]
fn slot_datagrams_are_small() {
    let size = |message: &SlotMessage| Datagram::from(message).encode().unwrap().len();
    let lines = messages()
        .into_iter()
        .map(|(name, message)| format!("{name}: {}", size(&message)));
    insta::assert_snapshot!(lines.collect::<Vec<_>>().join("\n"));
}

/// Guards against a broker that divides by the slots of a server without any, or by a run
/// time of zero.
#[test]
fn values_out_of_range_are_refused() {
    assert_eq!(send(&request(0)), Err(SlotWireError::Slots(0)));
    assert_eq!(send(&request(70_000)), Err(SlotWireError::Slots(70_000)));
    assert_eq!(send(&ran(Some(load(0, 1.0)))), Err(SlotWireError::Slots(0)));
    let mut bytes = Datagram::from(&ran(Some(load(4, 0.01)))).encode().unwrap();
    *bytes.last_mut().unwrap() = 0;
    assert_eq!(decode(&bytes), Err(SlotWireError::Slowdown));
}

/// Guards against spans that wrap around: the longest is sent instead.
#[test]
fn long_spans_are_capped() {
    let sent = answer(SlotAnswer::Queued(Duration::from_secs(u64::MAX)));
    let longest = answer(SlotAnswer::Queued(millis(u32::MAX.into())));
    assert_eq!(send(&sent).unwrap(), longest);
}
