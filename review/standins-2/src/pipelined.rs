//! Clients send further safe requests before the first one is answered, and some upstreams break
//! off two in a hundred of their answers.

use crate::{
    client::{connect, get, head},
    deployment::Deployment,
    record::Record,
    upstream::REPORT_PATH,
};
use std::{
    net::SocketAddr,
    path::Path,
    sync::{
        atomic::{AtomicBool, Ordering::SeqCst},
        Arc, Mutex,
    },
    thread,
    time::Duration,
};

/// How often, and for how long, some upstreams break off answers.
const WINDOWS: usize = 5;
const WINDOW: Duration = Duration::from_secs(5);
/// Time between two such windows.
const PAUSE: Duration = Duration::from_secs(4);
const CLIENTS: usize = 8;
/// Upstreams, of six, that break off answers.
const FAULTY: usize = 2;
/// Requests that are sent behind the first one.
const FURTHER: usize = 3;
/// Requests that may be lost at one machine.
const LOST_MAX: usize = 3;

/// A request without an answer on a connection that was closed.
struct Unanswered {
    id: String,
    machine: SocketAddr,
}

pub fn run(binary: &Path, folder: &Path, has_trouble: bool) -> Result<bool, String> {
    let mut deployment = Deployment::start(binary, folder, 6, 2)?;
    let record = deployment.record.clone();
    let stop: Arc<AtomicBool> = Arc::default();
    let unanswered: Arc<Mutex<Vec<Unanswered>>> = Arc::default();
    let tasks: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let addresses = deployment.addresses();
            let machine = addresses[client % addresses.len()];
            let (stop, unanswered, record) = (stop.clone(), unanswered.clone(), record.clone());
            thread::spawn(move || {
                let mut group = 0;
                while !stop.load(SeqCst) {
                    let name = format!("c{client}");
                    use_connection(&name, machine, &mut group, &stop, &unanswered, &record);
                }
            })
        })
        .collect();
    for _ in 0..WINDOWS {
        let faulty = &deployment.upstreams[..FAULTY];
        let set = |is_on| {
            faulty
                .iter()
                .for_each(|one| one.breaks_off.store(is_on, SeqCst))
        };
        if has_trouble {
            record.line("i-0 and i-1 break off two in a hundred of their answers");
            set(true);
        }
        thread::sleep(WINDOW);
        set(false);
        record.line("all upstreams are sound");
        thread::sleep(PAUSE);
    }
    stop.store(true, SeqCst);
    tasks.into_iter().for_each(|task| drop(task.join()));

    let ended = deployment.ended();
    if !ended.is_empty() {
        record.line(&format!("ended by themselves: {ended:?}"));
    }
    let mut held = true;
    for machine in deployment.addresses() {
        let unanswered = unanswered.lock().unwrap();
        let unanswered = unanswered.iter().filter(|lost| lost.machine == machine);
        let mut lost = 0;
        for request in unanswered {
            let sound = &deployment.upstreams[FAULTY..];
            let server = sound
                .iter()
                .find(|one| one.answered.lock().unwrap().contains(&request.id));
            if let Some(server) = server {
                lost += 1;
                let (id, server) = (&request.id, &server.id);
                record.line(&format!(
                    "LOST: {id} was answered whole by {server}, and {machine} closed the connection \
                     without an answer"
                ));
            }
        }
        record.line(&format!(
            "{machine}: {lost} requests lost, {LOST_MAX} allowed"
        ));
        held &= lost <= LOST_MAX;
    }
    record.line(if held { "held: LOST" } else { "broken: LOST" });
    Ok(held)
}

/// Sends groups of requests on one connection until it is closed.
fn use_connection(
    client: &str,
    machine: SocketAddr,
    group: &mut u16,
    stop: &AtomicBool,
    unanswered: &Mutex<Vec<Unanswered>>,
    record: &Record,
) -> Option<()> {
    // The connection is kept: it carries a plain request first.
    let mut connection = connect(machine)?;
    let key = group.wrapping_mul(7_919);
    connection
        .write(
            &head("/bars/1", key, &format!("{client}-{group}-first")),
            b"",
        )
        .ok()?;
    connection.read(true).ok()??;
    while !stop.load(SeqCst) {
        *group += 1;
        let ids: Vec<String> = (0..=FURTHER)
            .map(|n| format!("{client}-{group}-{n}"))
            .collect();
        for (n, id) in ids.iter().enumerate() {
            let key = group.wrapping_mul(7_919).wrapping_add(n as u16 * 16_411);
            let path = match n {
                0 => format!("{REPORT_PATH}/{group}"),
                _ => format!("/bars/{group}"),
            };
            record.line(&format!("client: sends {id} key {key} to {machine}"));
            connection.write(&head(&path, key, id), b"").ok()?;
        }
        for (n, id) in ids.iter().enumerate() {
            match connection.read(true) {
                Ok(Some(answer)) => {
                    record.line(&format!("client: {id} answered {}", answer.status()));
                }
                Ok(None) | Err(_) => {
                    record.line(&format!("client: connection ended before the end of {id}"));
                    let machine_of = |id: &String| Unanswered {
                        id: id.clone(),
                        machine,
                    };
                    unanswered
                        .lock()
                        .unwrap()
                        .extend(ids[n + 1..].iter().map(machine_of));
                    return None;
                }
            }
        }
        thread::sleep(Duration::from_millis(40));
    }
    // The machine still serves.
    get(machine, key, "last").map(drop)
}
