//! The admin API of an instance inside the test process, and the command line as a child
//! process.
#![allow(dead_code, reason = "each test file uses its own part")]

use {
    citron_core::{
        crash::{CrashConfig, CrashEntry, CrashTracker, Fingerprint},
        id::Revision,
        table::Table,
        time::Time,
    },
    citron_ports::{IdempotentStore, MemoryPlatform, PlatformError, TableStore},
    citronproxy::admin::{AdminApi, AdminListener, ControlView, serve},
    std::{
        cell::RefCell,
        net::SocketAddr,
        process::{Command, Stdio},
        rc::Rc,
        sync::mpsc,
        thread,
        time::Duration,
    },
    tokio::{
        runtime::Builder,
        task::{LocalSet, spawn_local},
        time::sleep,
    },
};

/// Interval between two reads of the table.
const READ_PAUSE: Duration = Duration::from_millis(50);
const TOKEN: &str = "a-token-for-tests";

/// Exit code and output of a command.
#[derive(Debug)]
pub struct CommandOutput {
    pub code: i32,
    pub stdout: String,
    pub stderr: String,
}

/// Runs `citronctl` commands against one admin address.
#[derive(Debug, Clone, Copy)]
pub struct Shell {
    pub admin: SocketAddr,
}

impl Shell {
    /// Serves the admin API with an empty table until the test process ends.
    pub fn start() -> Self {
        Self::start_with(MemoryPlatform::default())
    }

    /// Serves the admin API with the contents of this platform storage.
    pub fn start_with(memory: MemoryPlatform) -> Self {
        let (sender, address) = mpsc::channel();
        thread::spawn(move || {
            let runtime = Builder::new_current_thread().enable_all().build().unwrap();
            LocalSet::new().block_on(&runtime, async move {
                let any = "127.0.0.1:0".parse().unwrap();
                let server = AdminListener::bind(any).await.unwrap();
                sender.send(server.address).unwrap();
                run(server, memory).await;
            });
        });
        let admin = address.recv().unwrap();
        Self { admin }
    }

    /// Runs a command as the operator `ann`. Arguments are separated by whitespace.
    pub fn run(&self, line: &str) -> CommandOutput {
        let output = Command::new(env!("CARGO_BIN_EXE_citronctl"))
            .args(line.split_whitespace())
            .env("CITRON_ADMIN", self.admin.to_string())
            .env("CITRON_TOKEN", TOKEN)
            .env("USER", "ann")
            .stdin(Stdio::null())
            .output()
            .expect("the command runs");
        CommandOutput {
            code: output.status.code().expect("an exit code"),
            stdout: String::from_utf8(output.stdout).unwrap(),
            stderr: String::from_utf8(output.stderr).unwrap(),
        }
    }
}

async fn run(server: AdminListener, memory: MemoryPlatform) {
    let domain = "kingston-1".parse().unwrap();
    let store = IdempotentStore::new(memory.clone(), "admin".to_string());
    let control = TableView {
        store: Rc::new(IdempotentStore::new(memory, "control".to_string())),
        table: Rc::default(),
        crashes: Rc::new(RefCell::new(crashes())),
    };
    spawn_local(poll_table(control.clone()));
    let admin = AdminApi {
        instance: "entry-1".parse().unwrap(),
        domain,
        store,
        control,
        token: Some(TOKEN.to_string()),
    };
    serve(server, Rc::new(admin)).await;
}

/// Creates a tracker with a refused request, and one below the threshold of refusal.
fn crashes() -> CrashTracker {
    let mut tracker = CrashTracker::new(CrashConfig::STANDARD);
    for (path, servers) in [("/sets/666", 3), ("/sets/7", 1)] {
        let fingerprint = Fingerprint::from_parts(&[b"GET", path.as_bytes()]);
        for server in 0..servers {
            let server = format!("catalogue-{server}").parse().unwrap();
            tracker.record_crash(fingerprint, &format!("GET {path}"), &server, Time::ZERO);
        }
    }
    tracker
}

async fn poll_table(table_view: TableView) {
    loop {
        table_view.refresh().await.unwrap();
        sleep(READ_PAUSE).await;
    }
}

/// View of the table that puts each revision in force as soon as it is read.
#[derive(Clone)]
struct TableView {
    store: Rc<IdempotentStore<MemoryPlatform>>,
    table: Rc<RefCell<Table>>,
    crashes: Rc<RefCell<CrashTracker>>,
}

impl ControlView for TableView {
    fn revision_in_force(&self) -> Revision {
        self.table.borrow().revision()
    }

    fn with_table<T>(&self, read: impl FnOnce(&Table) -> T) -> T {
        read(&self.table.borrow())
    }

    async fn refresh(&self) -> Result<(), PlatformError> {
        let since = self.revision_in_force();
        let read = self.store.changes(since).await?;
        self.table.borrow_mut().apply(read.changes).unwrap();
        Ok(())
    }

    async fn crash_entries(&self) -> Vec<CrashEntry> {
        self.crashes.borrow().entries(Time::ZERO)
    }

    fn lift_refusal(&self, fingerprint: Fingerprint) {
        self.crashes.borrow_mut().lift(fingerprint, Time::ZERO);
    }

    fn on_edit_accepted(&self) {}
}
