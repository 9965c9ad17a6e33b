//! Instances of the product as separate processes.

use std::{
    fs::{self, File},
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command},
    sync::atomic::{AtomicU8, Ordering},
};

pub struct Instance {
    pub name: String,
    pub traffic: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    binary: PathBuf,
    child: Option<Child>,
}

/// An address of the loopback network that no other instance uses. The ports are below the range
/// of ephemeral ports.
fn unique_ip() -> Ipv4Addr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let pid = std::process::id();
    let [b, c] = [1 + pid % 250, pid / 250 % 250].map(|part| part as u8);
    Ipv4Addr::new(127, b, c, NEXT.fetch_add(1, Ordering::Relaxed))
}

impl Instance {
    pub fn new(name: &str, zone: &str, store: SocketAddr, binary: &Path, folder: &Path) -> Self {
        let ip = unique_ip();
        let [traffic, ready, peer, detour, metrics] =
            [20_101, 20_102, 20_103, 20_104, 20_105].map(|port| SocketAddr::from((ip, port)));
        let settings = folder.join(format!("{name}.json"));
        // The template deploy/settings.json, filled in with the figures of the site.
        let text = format!(
            "{{\"instance\":\"{name}\",\"domain\":\"{zone}\",\"traffic\":\"{traffic}\",\
             \"ready\":\"{ready}\",\"peer\":\"{peer}\",\"detour\":\"{detour}\",\"store\":\"{store}\",\
             \"metrics\":\"{metrics}\",\"leave_s\":6,\"drain_s\":2,\"lease_max_s\":10,\
             \"row_bytes\":65536,\"slot_brokers\":{{\"instances_per_slot\":8}},\"cpu_share\":0.2,\
             \"retries\":{{\"ratio\":0.2,\"extra\":60}}}}"
        );
        fs::write(&settings, text).expect("the settings file");
        Self {
            name: name.to_string(),
            traffic,
            settings,
            log: folder.join(format!("{name}.log")),
            binary: binary.to_path_buf(),
            child: None,
        }
    }

    pub fn start(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("a log file");
        let errors = log.try_clone().expect("a log file");
        let mut command = Command::new(&self.binary);
        command
            .arg("edge")
            .arg(&self.settings)
            .stdout(log)
            .stderr(errors);
        self.child = Some(command.spawn().expect("build the product first"));
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn has_exited(&mut self) -> bool {
        match &mut self.child {
            Some(child) => !matches!(child.try_wait(), Ok(None)),
            None => false,
        }
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}
