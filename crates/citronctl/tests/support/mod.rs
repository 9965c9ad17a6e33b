//! An instance's admin API within the test, and the command line as a process.
#![allow(dead_code, reason = "each test file uses its own part")]

use {
    citron_core::{
        crash::Fingerprint,
        membership::Confirmation,
        routing::{RouteMap, Snapshot},
        table::Table,
    },
    citron_platform::{LaneStore, Memory, TableStore},
    citronproxy::{
        admin::{Admin, AdminServer, serve},
        clock::Clock,
        traffic::{self, CrashNote, TrafficHandle, Workers},
    },
    std::{
        net::SocketAddr,
        process::{Command, Stdio},
        rc::Rc,
        sync::{Arc, mpsc},
        thread,
        time::Duration,
    },
    tokio::{
        runtime::Builder,
        task::{LocalSet, spawn_local},
        time::sleep,
    },
};

/// The pause between two reads of the table.
const READ_PAUSE: Duration = Duration::from_millis(50);
const TOKEN: &str = "a-token-for-tests";

/// What a command left.
#[derive(Debug)]
pub struct Ran {
    pub code: i32,
    pub out: String,
    pub err: String,
}

/// An operator at a shell.
#[derive(Debug, Clone, Copy)]
pub struct Shell {
    pub admin: SocketAddr,
}

impl Shell {
    /// Serves an empty table; ends with the test's process.
    pub fn start() -> Self {
        Self::start_with(Memory::default())
    }

    /// As [`Self::start`], with a traffic thread that saw these crash servers, a
    /// different one each time.
    pub fn start_crashed(crashes: &'static [&'static str]) -> Self {
        Self::start_all(Memory::default(), crashes)
    }

    /// As [`Self::start`], with what the platform holds.
    pub fn start_with(memory: Memory) -> Self {
        Self::start_all(memory, &[])
    }

    fn start_all(memory: Memory, crashes: &'static [&'static str]) -> Self {
        let (sender, address) = mpsc::channel();
        thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build().unwrap();
            LocalSet::new().block_on(&runtime, async move {
                let any = "127.0.0.1:0".parse().unwrap();
                let server = AdminServer::bind(any).await.unwrap();
                sender.send(server.address).unwrap();
                let handle = TrafficHandle::default();
                let _workers = crash(&handle, crashes);
                run(server, memory, handle).await;
            });
        });
        let admin = address.recv().unwrap();
        Self { admin }
    }

    /// Runs a command as ann; the words are separated by spaces.
    pub fn run(&self, line: &str) -> Ran {
        let ran = Command::new(env!("CARGO_BIN_EXE_citronctl"))
            .args(line.split_whitespace())
            .env("CITRON_ADMIN", self.admin.to_string())
            .env("CITRON_TOKEN", TOKEN)
            .env("USER", "ann")
            .stdin(Stdio::null())
            .output()
            .expect("the command runs");
        Ran {
            code: ran.status.code().expect("an exit code"),
            out: String::from_utf8(ran.stdout).unwrap(),
            err: String::from_utf8(ran.stderr).unwrap(),
        }
    }
}

fn crash(handle: &TrafficHandle, labels: &[&str]) -> Option<Workers> {
    labels.first()?;
    let any = "127.0.0.1:0".parse().unwrap();
    let workers = traffic::start(any, 1, handle, Clock::start()).unwrap();
    for (number, label) in labels.iter().enumerate() {
        handle.note_crash(&CrashNote::Crashed {
            print: Fingerprint::of(&[label.as_bytes()]),
            label: label.to_string(),
            server: format!("server-{number}").parse().unwrap(),
        });
    }
    Some(workers)
}

async fn run(server: AdminServer, memory: Memory, handle: TrafficHandle) {
    let domain = "kingston-1".parse().unwrap();
    let store = LaneStore::new(memory.clone(), "admin".to_string());
    let name = "entry-1".parse().unwrap();
    let token = Some(TOKEN.to_string());
    let admin = Admin::new(name, domain, store, handle.clone(), token);
    spawn_local(serve(server, Rc::new(admin)));
    let store = LaneStore::new(memory, "control".to_string());
    follow(&store, &handle).await;
}

/// Publishes each revision of the table, as an instance's control thread does.
async fn follow(store: &impl TableStore, handle: &TrafficHandle) {
    let mut table = Table::default();
    loop {
        let changes = store.changes(table.revision()).await.unwrap();
        table.apply(changes).unwrap();
        handle.publish(Snapshot {
            map: Arc::new(RouteMap::build(&table)),
            confirmation: Confirmation::default(),
            domain: "kingston-1".parse().unwrap(),
        });
        sleep(READ_PAUSE).await;
    }
}
