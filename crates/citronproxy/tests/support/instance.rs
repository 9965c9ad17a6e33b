//! An instance as a separate process.

use std::{
    fs,
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
};

/// Admin token of every instance.
pub const TOKEN: &str = "a-token-for-tests";

/// Number of the next settings file.
static NEXT_FILE: AtomicU32 = AtomicU32::new(0);

/// A running instance process; killed when dropped.
pub struct Instance {
    /// Address for traffic.
    pub traffic: SocketAddr,
    /// Address of the admin API.
    pub admin: SocketAddr,
    /// Address for calls from other instances.
    pub peer: SocketAddr,
    child: Child,
    file: PathBuf,
}

impl Instance {
    /// Starts the binary with a new settings file and waits until it prints its addresses.
    pub fn start(name: &str, domain: &str, platform: SocketAddr) -> Self {
        Self::start_with(name, domain, platform, "")
    }

    /// As [`Self::start`], with extra settings, each as `, "name": value`.
    pub fn start_with(
        name: &str,
        domain: &str,
        platform: SocketAddr,
        extra_settings: &str,
    ) -> Self {
        let (file, mut child) = spawn(name, domain, platform, extra_settings, Stdio::inherit());
        let stdout = child.stdout.take().expect("stdout");
        let mut lines = BufReader::new(stdout);
        Self {
            traffic: read_address(&mut lines, "traffic "),
            admin: read_address(&mut lines, "admin "),
            peer: read_address(&mut lines, "peer "),
            child,
            file,
        }
    }

    /// Starts the binary, which must exit by itself; returns its exit code and standard error.
    pub fn start_refused(name: &str, domain: &str, platform: SocketAddr) -> (Option<i32>, String) {
        let (file, child) = spawn(name, domain, platform, "", Stdio::piped());
        let output = child.wait_with_output().expect("the exit of the instance");
        let _ = fs::remove_file(file);
        let stderr_text = String::from_utf8_lossy(&output.stderr).into_owned();
        (output.status.code(), stderr_text)
    }
}

fn spawn(
    name: &str,
    domain: &str,
    platform: SocketAddr,
    extra_settings: &str,
    stderr: Stdio,
) -> (PathBuf, Child) {
    let number = NEXT_FILE.fetch_add(1, Ordering::Relaxed);
    let file = std::env::temp_dir().join(format!("citron-{}-{number}.json", std::process::id()));
    let settings = format!(
        r#"{{ // written by a test
            "instance": "{name}", "domain": "{domain}", "platform": "{platform}",
            "traffic": "127.0.0.1:0", "peer": "127.0.0.1:0", "admin": "127.0.0.1:0",
            "threads": 2, "token": "{TOKEN}"{extra_settings} }}"#
    );
    fs::write(&file, settings).expect("settings file");
    let child = Command::new(env!("CARGO_BIN_EXE_citronproxy"))
        .arg("run")
        .arg(&file)
        .stdout(Stdio::piped())
        .stderr(stderr)
        .spawn()
        .expect("instance starts");
    (file, child)
}

impl Instance {
    /// Process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends SIGTERM, with which the platform asks an instance to leave.
    pub fn terminate(&self) {
        self.signal(libc::SIGTERM);
    }

    /// Pauses the process with SIGSTOP.
    pub fn pause(&self) {
        self.signal(libc::SIGSTOP);
    }

    /// Resumes a paused process with SIGCONT.
    pub fn resume(&self) {
        self.signal(libc::SIGCONT);
    }

    fn signal(&self, signal: libc::c_int) {
        let pid = libc::pid_t::try_from(self.pid()).expect("a process id");
        // SAFETY: `kill` has no memory effects. The signal goes to a child process that has not
        // been waited for, so that its id cannot have been reused for another process.
        #[allow(unsafe_code, reason = "the standard library cannot send signals")]
        let sent = unsafe { libc::kill(pid, signal) };
        assert_eq!(sent, 0);
    }

    /// Exit code, once the process has exited by itself.
    pub fn exit_code(&mut self) -> Option<i32> {
        let ended = self.child.try_wait().expect("a child");
        ended.and_then(|status| status.code())
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
        let _ = fs::remove_file(&self.file);
    }
}

fn read_address(lines: &mut impl BufRead, label: &str) -> SocketAddr {
    loop {
        let mut line = String::new();
        let read = lines.read_line(&mut line).expect("a line");
        assert!(read > 0, "the instance exited before it printed an address");
        if let Some(address) = line.trim().strip_prefix(label) {
            return address.parse().expect("an address");
        }
    }
}
