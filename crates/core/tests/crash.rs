//! Requests that crash servers, over several instances.

use {
    citron_core::{
        crash::{CrashConfig, CrashLog, Fingerprint},
        id::{Incarnation, InstanceId, ServerName},
        time::Time,
    },
    std::time::Duration,
};

const CRASHES: u32 = CrashConfig::STANDARD.crashes;
const INSTANCES: usize = 10;

fn at(seconds: u64) -> Time {
    Time::ZERO + Duration::from_secs(seconds)
}

fn print(path: &str) -> Fingerprint {
    Fingerprint::of(&[b"GET", path.as_bytes()])
}

fn server(number: usize) -> ServerName {
    format!("server-{number}").parse().unwrap()
}

fn sender(number: usize) -> (InstanceId, Incarnation) {
    (
        format!("instance-{number}").parse().unwrap(),
        Incarnation(1),
    )
}

fn logs() -> Vec<CrashLog> {
    (0..INSTANCES)
        .map(|_| CrashLog::new(CrashConfig::STANDARD))
        .collect()
}

/// Every instance hears from every other one.
fn exchange(logs: &mut [CrashLog], now: Time) {
    let reports: Vec<_> = logs.iter_mut().map(|log| log.report(now)).collect();
    for (to, log) in logs.iter_mut().enumerate() {
        for (from, report) in reports.iter().enumerate() {
            if from != to {
                log.merge(sender(from), report.clone(), now);
            }
        }
    }
}

/// A caller sends a request that crashes its server once a second, each time to
/// another instance. No instance alone sees two crashes; together they refuse it
/// everywhere after the named number. A request of the same key goes through.
#[test]
fn crashes_add_up_over_instances() {
    let mut logs = logs();
    let (bad, good) = (print("/sets/1?view=3d"), print("/sets/1"));
    let mut crashes = 0;
    for second in 0..60 {
        let instance = second as usize % INSTANCES;
        let log = &mut logs[instance];
        if log.refused(bad, at(second)).is_none() {
            log.crashed(bad, "GET /sets/1?view=3d", &server(instance), at(second));
            crashes += 1;
        }
        exchange(&mut logs, at(second));
        assert!(
            logs.iter()
                .all(|log| log.refused(good, at(second)).is_none())
        );
    }
    assert_eq!(crashes, CRASHES);
    let left = logs[9].refused(bad, at(60));
    assert!(left.is_some_and(|left| left > Duration::from_secs(500)));
}

/// Reports come twice, late and out of order. A crash still counts once.
#[test]
fn a_report_counts_once_in_whatever_order() {
    let mut logs = logs();
    let bad = print("/bad");
    logs[0].crashed(bad, "", &server(0), at(0));
    let first = logs[0].report(at(0));
    logs[0].crashed(bad, "", &server(1), at(1));
    let second = logs[0].report(at(1));
    for report in [&second, &first, &second, &first] {
        logs[1].merge(sender(0), report.clone(), at(2));
    }
    assert_eq!(logs[1].entries(at(2))[0].crashes, 2);
    assert_eq!(logs[1].refused(bad, at(2)), None);
}

/// A popular request is in flight whenever a server crashes for another reason.
/// As it is answered in between, it is not refused; the one at fault is.
#[test]
fn requests_that_are_answered_are_innocent() {
    let mut logs = logs();
    let (bad, popular) = (print("/bad"), print("/popular"));
    for second in 0..20 {
        let log = &mut logs[second as usize % INSTANCES];
        log.crashed(bad, "", &server(second as usize), at(second));
        log.crashed(popular, "", &server(second as usize), at(second));
        exchange(&mut logs, at(second));
        logs[3].answered(popular, at(second));
        exchange(&mut logs, at(second));
        assert!(
            logs.iter()
                .all(|log| log.refused(popular, at(second)).is_none())
        );
    }
    assert!(logs.iter().all(|log| log.refused(bad, at(20)).is_some()));
}

/// One crash breaks several connections of one instance: it counts once.
#[test]
fn connections_that_die_together_are_one_crash() {
    let mut log = CrashLog::new(CrashConfig::STANDARD);
    for _ in 0..4 {
        log.crashed(print("/bad"), "", &server(0), at(0));
    }
    assert_eq!(log.entries(at(0))[0].crashes, 1);
}

/// An operator lists the refused requests on one instance and lets one through.
/// All instances follow; if it crashes servers again, it is refused again.
#[test]
fn an_operator_lifts_an_entry_everywhere() {
    let mut logs = logs();
    let bad = print("/bad");
    for (instance, log) in logs.iter_mut().enumerate().take(3) {
        log.crashed(bad, "GET /bad", &server(instance), at(instance as u64));
    }
    exchange(&mut logs, at(3));
    let listed = logs[5].entries(at(3));
    assert_eq!(
        (listed[0].label.as_str(), listed[0].crashes),
        ("GET /bad", CRASHES)
    );
    assert!(listed[0].refused.is_some());
    logs[5].lift(bad, at(4));
    exchange(&mut logs, at(4));
    exchange(&mut logs, at(5));
    assert!(logs.iter().all(|log| log.refused(bad, at(5)).is_none()));
    for (instance, log) in logs.iter_mut().enumerate().take(3) {
        log.crashed(bad, "", &server(instance), at(6));
    }
    exchange(&mut logs, at(6));
    assert!(logs.iter().all(|log| log.refused(bad, at(6)).is_some()));
}

/// The refusal ends by itself, and a restarted instance does not forget for the
/// others what its earlier start has seen.
#[test]
fn a_refusal_ends_and_outlives_a_restart() {
    let mut logs = logs();
    let bad = print("/bad");
    for (instance, log) in logs.iter_mut().enumerate().take(3) {
        log.crashed(bad, "", &server(instance), at(0));
    }
    exchange(&mut logs, at(0));
    let mut restarted = CrashLog::new(CrashConfig::STANDARD);
    let again = (sender(0).0, Incarnation(2));
    logs[4].merge(again, restarted.report(at(1)), at(1));
    assert!(logs[4].refused(bad, at(1)).is_some());
    assert_eq!(logs[4].refused(bad, at(600)), None);
}

/// A caller invents new requests without end, and all of them are let through
/// again; instances are replaced all the time. The memory stays bounded.
#[test]
fn memory_is_bounded() {
    let mut log = CrashLog::new(CrashConfig::STANDARD);
    for number in 0..2_000 {
        log.crashed(print(&format!("/{number}")), "", &server(0), at(0));
        log.lift(print(&format!("/lifted/{number}")), at(0));
    }
    let report = log.report(at(0));
    let most = CrashConfig::STANDARD.entries;
    assert_eq!((report.counts.len(), report.lifts.len()), (most, most));

    let mut other = CrashLog::new(CrashConfig::STANDARD);
    other.merge(sender(0), report, at(0));
    assert_eq!(other.entries(at(0)).len(), most);
    other.report(at(600));
    assert_eq!(other.entries(at(600)).len(), 0);
}

/// Servers are named by their starts. A failure domain is cut off, and requests
/// for one busy key are lost at its owner again and again: a start crashes once,
/// so that all these losses are one crash at most, and callers of the key are not
/// refused for it. The same request at three starts is another matter.
#[test]
fn a_start_crashes_once() {
    let mut log = CrashLog::new(CrashConfig::STARTS);
    let print = Fingerprint::of(&[b"GET", b"/bars/7"]);
    let at = |second| Time::ZERO + Duration::from_secs(second);
    for second in 0..6 {
        log.crashed(print, "GET /bars/7", &"i-1".parse().unwrap(), at(second));
    }
    assert_eq!(log.refused(print, at(6)), None);
    for (second, name) in [(7, "i-2"), (8, "i-3")] {
        log.crashed(print, "GET /bars/7", &name.parse().unwrap(), at(second));
    }
    assert!(log.refused(print, at(9)).is_some());
    assert_eq!(log.refused(print, at(39)), None);
}
