//! What an instance concludes from servers that do not respond.

use {
    citron_core::{
        dispatch::{Failure, Links, Reach, Reachability},
        id::ServerName,
        time::Time,
    },
    std::time::Duration,
};

fn at(millis: u64) -> Time {
    Time::ZERO + Duration::from_millis(millis)
}

fn server(number: usize) -> ServerName {
    format!("s-{number}").parse().unwrap()
}

/// An instance that has just received a response.
fn reached() -> Reach {
    let mut reach = Reach::default();
    for number in 0..6 {
        reach.record_response(&server(number), at(1_000));
    }
    reach
}

/// Guards against an instance that takes its own cut for the end of many servers.
#[test]
fn servers_that_refuse_with_no_response_in_between_are_cut_off() {
    let mut reach = reached();
    let unreachable = Failure::Unreachable;
    assert!(!reach.record_failure(&server(0), unreachable, at(1_010), at(1_020)));
    assert!(!reach.record_failure(&server(1), unreachable, at(1_030), at(1_040)));
    assert!(reach.record_failure(&server(1), unreachable, at(1_250), at(1_260)));
    assert!(!reach.is_cut_off());
    assert!(reach.record_failed_checks(at(1_260), at(1_265)));
    assert!(reach.is_cut_off());
    assert!(!reach.is_surely_cut_off(at(1_700)));
    assert!(reach.is_surely_cut_off(at(1_800)));
    assert!(reach.record_response(&server(2), at(1_900)));
    assert!(!reach.is_cut_off());
}

/// Guards against requests that wait for their deadline on connections that pass no bytes, and
/// against a cut that is concluded from silence alone, as of servers with long requests.
#[test]
fn servers_that_are_all_silent_for_a_second_are_cut_off_if_checks_fail_too() {
    let mut reach = reached();
    let failing = Failure::Failing;
    assert!(!reach.record_silence(&server(0), failing, at(1_010), at(1_810)));
    assert!(!reach.record_silence(&server(1), failing, at(1_020), at(1_820)));
    assert!(!reach.record_silence(&server(2), failing, at(1_030), at(1_830)));
    assert!(reach.record_silence(&server(3), failing, at(1_220), at(2_020)));
    assert_eq!(reach.links(), Links::Suspected);
    assert!(!reach.is_cut_off());
    assert!(reach.record_failed_checks(at(2_020), at(2_270)));
    assert!(reach.is_cut_off());
}

/// Guards against servers that end while the store is silent: an instance whose requests are
/// few and long has no response for a while, and would take its own links for cut.
#[test]
fn servers_that_end_together_are_not_a_cut_while_another_responds_to_a_check() {
    let mut reach = reached();
    for number in 0..4 {
        let started = at(1_010 + 80 * number as u64);
        reach.record_failure(&server(number), Failure::Unreachable, started, started);
    }
    assert_eq!(reach.links(), Links::Suspected);
    assert!(!reach.is_cut_off());
    let likely: Vec<&ServerName> = reach.by_last_response();
    assert_eq!(likely[..2], [&server(4), &server(5)]);
    assert!(reach.record_response(&server(5), at(1_310)));
    assert!(!reach.record_failed_checks(at(1_300), at(1_550)));
    assert_eq!(reach.links(), Links::Sound);
}

/// Guards against a planner that resigns as half of the servers have ended: an instance of
/// another failure domain does not reach these either.
#[test]
fn servers_that_others_do_not_reach_say_nothing_of_the_links() {
    let mut reach = reached();
    for number in 0..4 {
        let now = at(1_010 + 10 * number as u64);
        reach.record_failure(&server(number), Failure::Unreachable, now, now);
        reach.record_ended(&server(number), now);
    }
    reach.record_failure(&server(4), Failure::Unreachable, at(1_400), at(1_410));
    assert_eq!(reach.links(), Links::Sound);
    assert_eq!(reach.state(at(1_500)), Reachability::Reached);
}

/// Guards against a cut that is seen where servers have ended: others respond in between.
#[test]
fn servers_that_fail_between_responses_are_not_cut_off() {
    let mut reach = reached();
    for number in 0..2 {
        let now = at(1_300 + 300 * number as u64);
        assert!(!reach.record_failure(&server(number), Failure::Unreachable, now, now));
        reach.record_response(&server(5), now + Duration::from_millis(10));
    }
    assert!(!reach.is_cut_off());
    assert_eq!(reach.state(at(1_700)), Reachability::Reached);
}

/// Guards against a cut that is seen in an overload: servers at their limit of connections
/// close new ones, and others are slow, while some still respond.
#[test]
fn overloaded_servers_are_not_cut_off() {
    let mut reach = reached();
    for round in 0..20 {
        let begin = 1_000 + 900 * round;
        for number in 0..6 {
            let now = at(begin + 100 * number);
            let server = server(number as usize);
            assert!(!reach.record_failure(&server, Failure::Failing, now, now));
            let started = at(begin.saturating_sub(500));
            assert!(!reach.record_silence(&server, Failure::Failing, started, now));
        }
        assert_eq!(reach.state(at(begin + 600)), Reachability::Reached);
        reach.record_response(&server(5), at(begin + 890));
    }
}

/// Guards against attempts that began before the last response: they tell nothing of what
/// came after it.
#[test]
fn failures_of_earlier_attempts_do_not_count() {
    let mut reach = reached();
    for number in 0..6 {
        let server = server(number);
        assert!(!reach.record_failure(&server, Failure::Unreachable, at(900), at(1_400)));
        assert!(!reach.record_silence(&server, Failure::Failing, at(900), at(2_700)));
    }
    assert!(!reach.is_cut_off());
}

/// Guards against a planner that counts as sound because a few servers respond to it: most of
/// its orders reach nobody.
#[test]
fn an_instance_that_reaches_less_than_half_of_the_servers_says_so() {
    let mut reach = reached();
    for number in 0..3 {
        let now = at(1_100 + 100 * number as u64);
        reach.record_failure(&server(number), Failure::Unreachable, now, now);
        reach.record_response(&server(5), now + Duration::from_millis(10));
    }
    assert!(!reach.is_cut_off());
    assert_eq!(reach.state(at(1_500)), Reachability::CutOff);
    reach.record_response(&server(0), at(1_600));
    assert_eq!(reach.state(at(1_600)), Reachability::Reached);
}

/// Guards against a server that counts as crashed because the links of this instance refuse
/// connections: its requests would be refused everywhere as the cause.
#[test]
fn a_refused_connection_proves_a_crash_only_if_other_servers_respond() {
    let mut reach = reached();
    reach.record_failure(&server(0), Failure::Unreachable, at(1_010), at(1_020));
    assert_eq!(reach.confirms_crash(at(1_050), at(1_100)), None);
    reach.record_response(&server(2), at(1_110));
    assert_eq!(reach.confirms_crash(at(1_050), at(1_120)), Some(true));

    let mut reach = reached();
    reach.record_failure(&server(0), Failure::Unreachable, at(1_010), at(1_020));
    reach.record_failure(&server(1), Failure::Unreachable, at(1_030), at(1_290));
    assert_eq!(reach.confirms_crash(at(1_050), at(1_295)), None);
    reach.record_failed_checks(at(1_290), at(1_295));
    assert_eq!(reach.confirms_crash(at(1_050), at(1_300)), Some(false));
}

/// Guards against crashes that are never counted where one server has all requests.
#[test]
fn a_refused_connection_proves_a_crash_after_a_while() {
    let mut reach = Reach::default();
    reach.record_response(&server(0), at(1_000));
    reach.record_failure(&server(0), Failure::Unreachable, at(1_010), at(1_020));
    assert_eq!(reach.confirms_crash(at(1_050), at(1_500)), None);
    assert_eq!(reach.confirms_crash(at(1_050), at(2_050)), Some(true));
}
