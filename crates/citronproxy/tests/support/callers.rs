//! Callers that keep asking, and what they were told.

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

/// How long a caller waits for an answer.
const PATIENCE: Duration = Duration::from_secs(8);
/// The pause between two requests of one caller.
const PAUSE: Duration = Duration::from_millis(4);

/// Makes the marks of all callers different.
static GROUPS: AtomicU32 = AtomicU32::new(0);

/// What one caller was told.
#[derive(Debug, Clone)]
pub struct Told {
    pub id: String,
    pub key: u32,
    pub instance: SocketAddr,
    pub begun: Instant,
    pub took: Duration,
    /// 0 if there was no answer.
    pub status: u16,
    pub outcome: String,
    /// The answer's text, unless the request ran.
    pub reason: String,
}

/// Two callers at each instance, each with one non-idempotent request at a time.
pub struct Callers {
    stop: watch::Sender<bool>,
    tasks: JoinSet<Vec<Told>>,
}

impl Callers {
    /// Starts them; the keys are `bar-0` to `bar-(keys - 1)`.
    pub fn start(instances: &[SocketAddr], keys: u32) -> Self {
        Self::on(instances, &(0..keys).collect::<Vec<_>>())
    }

    /// Starts them for the keys of these numbers.
    pub fn on(instances: &[SocketAddr], keys: &[u32]) -> Self {
        let stop = watch::Sender::default();
        let mut tasks = JoinSet::new();
        for (number, instance) in instances.iter().enumerate() {
            for half in 0..2 {
                let group = GROUPS.fetch_add(1, Ordering::Relaxed);
                let name = format!("{group}-{number}-{half}");
                let keys = keys.to_vec();
                tasks.spawn(call_on(name, *instance, half, keys, stop.subscribe()));
            }
        }
        Self { stop, tasks }
    }

    /// Lets every caller finish its request, and gives all that they were told.
    pub async fn stop(self) -> Vec<Told> {
        self.stop.send_replace(true);
        self.tasks.join_all().await.concat()
    }
}

async fn call_on(
    name: String,
    instance: SocketAddr,
    first: usize,
    keys: Vec<u32>,
    stop: watch::Receiver<bool>,
) -> Vec<Told> {
    let mut told = Vec::new();
    let mut number = first;
    while !*stop.borrow() {
        let key = keys[number % keys.len()];
        let id = format!("{name}-{number}");
        number += 2;
        let path = format!("/kegs/bar-{key}");
        let begun = Instant::now();
        let reply = timeout(PATIENCE, post(instance, &path, &id, "x")).await;
        let (status, outcome, reason) = match reply {
            Ok(Ok(reply)) => (
                reply.status.as_u16(),
                reply.header("citron-outcome").to_string(),
                reason(&reply),
            ),
            _ => (0, "none".to_string(), String::new()),
        };
        let took = begun.elapsed();
        told.push(Told {
            id,
            key,
            instance,
            begun,
            took,
            status,
            outcome,
            reason,
        });
        sleep(PAUSE).await;
    }
    told
}

fn reason(reply: &Reply) -> String {
    match reply.status.is_success() {
        true => String::new(),
        false => String::from_utf8_lossy(&reply.body).trim().to_string(),
    }
}

/// Checks what the servers ran against what the callers were told: nothing ran
/// twice, nothing that was told not to have run did, and all that was told to
/// have run did.
pub fn check_told(told: &[Told], runs: &[Execution]) {
    let mut count: BTreeMap<&str, u32> = BTreeMap::new();
    for run in runs {
        *count.entry(&run.id).or_default() += 1;
    }
    for one in told {
        let ran = count.get(one.id.as_str()).copied().unwrap_or(0);
        match one.outcome.as_str() {
            "ran" => assert_eq!(ran, 1, "{one:?}"),
            "not-run" => assert_eq!(ran, 0, "{one:?}"),
            _ => assert!(ran <= 1, "{one:?}"),
        }
    }
}

/// Checks that no scope ever had two owners: once a run under an epoch has
/// begun, none under a lower one begins or goes on.
pub fn check_owners(runs: &[Execution]) {
    let mut scopes: BTreeMap<&str, Vec<&Execution>> = BTreeMap::new();
    for run in runs {
        scopes.entry(&run.scope).or_default().push(run);
    }
    for (scope, mut runs) in scopes {
        runs.sort_by_key(|run| run.at_us);
        for (number, later) in runs.iter().enumerate() {
            for earlier in &runs[..number] {
                let order = earlier.epoch <= later.epoch;
                assert!(order, "{scope}: {earlier:?} was before {later:?}");
                let ended = earlier.end_us != 0 && earlier.end_us <= later.at_us;
                let same = earlier.server == later.server;
                assert!(same || ended, "{scope}: {earlier:?} ran on into {later:?}");
            }
        }
    }
}

/// The longest time in which a key got no whole answer, between the first and
/// the last request for it that were begun after `from`.
pub fn longest_gap(told: &[Told], from: Instant) -> Duration {
    let mut last: BTreeMap<u32, Instant> = BTreeMap::new();
    let mut longest = Duration::ZERO;
    let mut served: Vec<&Told> = told.iter().filter(|one| one.status == 200).collect();
    served.sort_by_key(|one| one.begun + one.took);
    for one in served {
        let at = one.begun + one.took;
        let before = last.insert(one.key, at).unwrap_or(from).max(from);
        longest = longest.max(at.saturating_duration_since(before));
    }
    longest
}
