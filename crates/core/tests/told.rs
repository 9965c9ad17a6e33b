//! What servers say of their load.

use {
    citron_core::{
        dispatch::{Candidate, Decision, Finish, LoadBook, TimeLimits, ToldLoad, choose},
        id::Slots,
        registry::{Known, Place, ServerEntry, ServerState},
        time::Time,
    },
    proptest::prelude::*,
    std::time::Duration,
};

const NOW: Time = Time::from_micros(60_000_000);

/// Guards against figures that are missing, absurd, or of another unit and change what is
/// known of a server.
#[test]
fn figures_that_cannot_be_are_refused() {
    let broken = [
        "",
        ",",
        "3",
        "3,1",
        "3,1,",
        "3,1,0",
        "3,1,4,",
        "3,1,4,0",
        "-1,0,4",
        "1.5,0,4",
        "99999999999,0,4",
        "200000,0,4",
        "3,1,4,1000000",
        "three,1,4",
        "3;1;4",
    ];
    for text in broken {
        assert!(text.parse::<ToldLoad>().is_err(), "'{text}'");
    }
    let told: ToldLoad = " 3, 0 ,3,95".parse().unwrap();
    assert_eq!((told.slots, told.has_room()), (Slots(3), false));
    assert_eq!(told.to_string(), "3,0,3,95");
    // What further figures may say is not known yet.
    assert!("3,1,4,100,5".parse::<ToldLoad>().is_ok());
}

proptest! {
    #[test]
    fn no_text_stops_the_reader(text in "[0-9,. x-]{0,24}") {
        if let Ok(told) = text.parse::<ToldLoad>() {
            prop_assert_eq!(told.to_string().parse::<ToldLoad>().unwrap(), told);
        }
    }
}

/// Guards against a service that is left alone by everybody, as its servers refuse at
/// random though they have room: what they say tells it from a full one.
#[test]
fn a_server_that_sheds_with_room_is_asked_again_at_once() {
    let known = Known {
        entry: ServerEntry {
            name: "s-1".parse().unwrap(),
            service: "balances".parse().unwrap(),
            address: "127.0.0.1:1".parse().unwrap(),
            domain: "east".parse().unwrap(),
            slots: Slots(3),
            state: ServerState::Ready,
            warm_up: Duration::ZERO,
        },
        left: None,
        seen: Time::ZERO,
        cold: Time::ZERO,
        evacuated: None,
        place: Place::Own,
    };
    let chosen = |finish: Finish| {
        let mut book = LoadBook::default();
        let name = &known.entry.name;
        book.begin(name, NOW);
        book.end(name, finish, Duration::from_millis(2), 0.5, NOW);
        let candidate = Candidate {
            server: &known,
            near: true,
            kept: true,
            load_factor: 1.0,
        };
        let limits = TimeLimits {
            objective: Duration::from_secs(1),
            deadline: Duration::from_secs(4),
            sample_size: usize::MAX,
        };
        choose(&book, [candidate].into_iter(), limits, NOW, || 0.5)
    };
    assert!(matches!(chosen(Finish::Full), Decision::Reject { .. }));
    assert!(matches!(chosen(Finish::Shed), Decision::Send(_)));
}
