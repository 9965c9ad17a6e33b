//! Parsing of loads that servers report.

use {
    citron_core::{dispatch::ReportedLoad, id::Slots},
    proptest::prelude::*,
};

/// Guards against malformed, out-of-range or misscaled values that would change a
/// server's known load.
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
        assert!(text.parse::<ReportedLoad>().is_err(), "'{text}'");
    }
    let load: ReportedLoad = " 3, 0 ,3,95".parse().unwrap();
    assert_eq!((load.slots, load.has_room()), (Slots(3), false));
    assert_eq!(load.to_string(), "3,0,3,95");
    // Further fields are reserved and ignored.
    assert!("3,1,4,100,5".parse::<ReportedLoad>().is_ok());
}

proptest! {
    #[test]
    fn no_text_stops_the_reader(text in "[0-9,. x-]{0,24}") {
        if let Ok(load) = text.parse::<ReportedLoad>() {
            prop_assert_eq!(load.to_string().parse::<ReportedLoad>().unwrap(), load);
        }
    }
}
