//! Callers that send requests continuously, and records of the responses.

use {
    super::{Reply, post},
    citron_fakes::backend::Execution,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::atomic::{AtomicU32, Ordering},
        time::{Duration, Instant},
    },
    tokio::{
        sync::watch,
        task::JoinSet,
        time::{sleep, timeout},
    },
};

/// Time for which a caller waits for a response.
const CALL_TIMEOUT: Duration = Duration::from_secs(8);
/// Pause between two requests of one caller.
const CALL_INTERVAL: Duration = Duration::from_millis(4);

/// Number of the next caller; makes the request ids of all callers different.
static NEXT_GROUP: AtomicU32 = AtomicU32::new(0);

/// One request of a caller and its response.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// `test-id` of the request.
    pub id: String,
    /// Number in the request's key.
    pub key: u32,
    /// Traffic address of the called instance.
    pub instance: SocketAddr,
    /// Time at which the request was sent.
    pub started: Instant,
    /// Time until the complete response, or until the caller gave up.
    pub latency: Duration,
    /// Status code; 0 without a response.
    pub status: u16,
    /// Value of `citron-outcome`; `none` without a response.
    pub outcome: String,
    /// Text of an error response.
    pub reason: String,
}

/// Two callers for each instance, each with one non-idempotent request at a time.
pub struct Callers {
    stop: watch::Sender<bool>,
    tasks: JoinSet<Vec<CallRecord>>,
}

impl Callers {
    /// Starts callers for the keys `bar-0` to `bar-(keys - 1)`.
    pub fn start(instances: &[SocketAddr], keys: u32) -> Self {
        Self::start_for_keys(instances, &(0..keys).collect::<Vec<_>>())
    }

    /// Starts callers for the keys with these numbers.
    pub fn start_for_keys(instances: &[SocketAddr], keys: &[u32]) -> Self {
        let stop = watch::Sender::default();
        let mut tasks = JoinSet::new();
        for (number, instance) in instances.iter().enumerate() {
            for parity in 0..2 {
                let group = NEXT_GROUP.fetch_add(1, Ordering::Relaxed);
                let name = format!("{group}-{number}-{parity}");
                let keys = keys.to_vec();
                tasks.spawn(run_caller(name, *instance, parity, keys, stop.subscribe()));
            }
        }
        Self { stop, tasks }
    }

    /// Stops the callers after their present requests and returns all records.
    pub async fn stop(self) -> Vec<CallRecord> {
        self.stop.send_replace(true);
        self.tasks.join_all().await.concat()
    }
}

/// Sends requests for every other key until stopped.
async fn run_caller(
    name: String,
    instance: SocketAddr,
    parity: usize,
    keys: Vec<u32>,
    stop: watch::Receiver<bool>,
) -> Vec<CallRecord> {
    let mut records = Vec::new();
    let mut number = parity;
    while !*stop.borrow() {
        let key = keys[number % keys.len()];
        let id = format!("{name}-{number}");
        number += 2;
        let path = format!("/kegs/bar-{key}");
        let started = Instant::now();
        let reply = timeout(CALL_TIMEOUT, post(instance, &path, &id, "x")).await;
        let (status, outcome, reason) = match reply {
            Ok(Ok(reply)) => (
                reply.status.as_u16(),
                reply.header("citron-outcome").to_string(),
                reason(&reply),
            ),
            _ => (0, "none".to_string(), String::new()),
        };
        let latency = started.elapsed();
        records.push(CallRecord {
            id,
            key,
            instance,
            started,
            latency,
            status,
            outcome,
            reason,
        });
        sleep(CALL_INTERVAL).await;
    }
    records
}

fn reason(reply: &Reply) -> String {
    match reply.status.is_success() {
        true => String::new(),
        false => String::from_utf8_lossy(&reply.body).trim().to_string(),
    }
}

/// Checks the reported outcomes against what the servers ran: no request ran twice, requests
/// with the outcome `not-run` did not run, and those with `ran` did.
pub fn check_outcomes(records: &[CallRecord], runs: &[Execution]) {
    let mut count: BTreeMap<&str, u32> = BTreeMap::new();
    for run in runs {
        *count.entry(&run.id).or_default() += 1;
    }
    for record in records {
        let ran = count.get(record.id.as_str()).copied().unwrap_or(0);
        match record.outcome.as_str() {
            "ran" => assert_eq!(ran, 1, "{record:?}"),
            "not-run" => assert_eq!(ran, 0, "{record:?}"),
            _ => assert!(ran <= 1, "{record:?}"),
        }
    }
}

/// Checks that no scope had two owners at the same time: once a run under an epoch has started,
/// no run under a lower epoch starts, and none continues on another server.
pub fn check_single_owner(runs: &[Execution]) {
    let mut scopes: BTreeMap<&str, Vec<&Execution>> = BTreeMap::new();
    for run in runs {
        scopes.entry(&run.scope).or_default().push(run);
    }
    for (scope, mut runs) in scopes {
        runs.sort_by_key(|run| run.at_us);
        for (number, later) in runs.iter().enumerate() {
            for earlier in &runs[..number] {
                let order = earlier.epoch <= later.epoch;
                assert!(
                    order,
                    "{scope}: epoch decreased from {earlier:?} to {later:?}"
                );
                let ended = earlier.end_us != 0 && earlier.end_us <= later.at_us;
                let same = earlier.server == later.server;
                assert!(same || ended, "{scope}: {earlier:?} overlaps {later:?}");
            }
        }
    }
}

/// Longest time without a successful response for a key: from `from` to the first one after it,
/// or between two successive ones.
pub fn longest_gap(records: &[CallRecord], from: Instant) -> Duration {
    let mut last: BTreeMap<u32, Instant> = BTreeMap::new();
    let mut longest = Duration::ZERO;
    let mut served: Vec<&CallRecord> = records
        .iter()
        .filter(|record| record.status == 200)
        .collect();
    served.sort_by_key(|record| record.started + record.latency);
    for record in served {
        let at = record.started + record.latency;
        let before = last.insert(record.key, at).unwrap_or(from).max(from);
        longest = longest.max(at.saturating_duration_since(before));
    }
    longest
}
