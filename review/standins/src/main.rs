//! Runs one case: starts the stand-ins and the instances, and checks a rule.
//!
//! `standins CASE RECORD` writes to RECORD what was sent, answered and run. It exits with 1 if
//! the rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` in the
//! environment the disruption is left out.

// The project's own stand-ins; a case uses only some of them.
#[allow(dead_code, unused_imports)]
#[path = "../../../platform/tests/processes/support/mod.rs"]
mod support;

mod deployment;
mod extras;
mod keyed;
mod pipelined;
mod reborn;
mod record;
mod uploads;
mod upstream;

use {
    record::Record,
    std::{env, process::exit, time::Duration},
    tokio::{
        signal::unix::{SignalKind, signal},
        time::timeout,
    },
};

/// Time limit of a case; the instances that it started end with it.
const CASE_TIME_MAX: Duration = Duration::from_secs(105);
/// Exit status of a case that could not run.
const COULD_NOT_RUN: i32 = 2;

#[tokio::main]
async fn main() {
    let words: Vec<String> = env::args().collect();
    let [_, case, path] = &words[..] else {
        eprintln!("usage: standins CASE RECORD");
        exit(COULD_NOT_RUN);
    };
    let record = Record::new(path);
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let run = async {
        match case.as_str() {
            "uploads" => Some(uploads::run(&record, has_trouble).await),
            "extras" => Some(extras::run(&record, has_trouble).await),
            "reborn" => Some(reborn::run(&record, has_trouble).await),
            "pipelined" => Some(pipelined::run(&record, has_trouble).await),
            _ => None,
        }
    };
    let mut terminate = signal(SignalKind::terminate()).unwrap();
    // A case that is given up ends its instances.
    let is_broken = tokio::select! {
        run = timeout(CASE_TIME_MAX, run) => run.ok().flatten(),
        _ = terminate.recv() => None,
    };
    record.line(&format!("rule broken: {is_broken:?}"));
    record.write();
    exit(is_broken.map_or(COULD_NOT_RUN, i32::from));
}
