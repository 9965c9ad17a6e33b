//! Memory of an instance during a large upload.

mod support;

use {
    citron_core::table::{Fencing, Row},
    citron_fakes::{platform::PlatformServer, scripted::upload_server},
    std::{fs, net::SocketAddr},
    support::{
        Instance, SampleConfig, TEST_TIMEOUT, commit_rows, domain_row, get, read_all, sample_rows,
    },
    tokio::{
        io::AsyncWriteExt,
        net::TcpStream,
        time::{Duration, sleep},
    },
};

/// Size of the upload, in bytes.
const UPLOAD_BYTES: usize = 256 * 1_024 * 1_024;
/// Bytes written at a time.
const PART_BYTES: usize = 256 * 1_024;
/// Largest permitted growth of the instance's memory, in KiB.
const MAX_GROWTH_KIB: u64 = 32 * 1_024;

/// Resident memory of a process in KiB: present value and peak.
fn resident_kib(pid: u32) -> (u64, u64) {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let field = |name: &str| {
        let line = status.lines().find_map(|line| line.strip_prefix(name));
        let number = line.unwrap().split_whitespace().next();
        number.unwrap().parse().unwrap()
    };
    (field("VmRSS:"), field("VmHWM:"))
}

/// A caller sends 256 MiB as fast as it can to a server that pauses for 1 ms after each MiB. The
/// instance must apply backpressure; if it read ahead of the server, it would hold the difference
/// in memory.
#[tokio::test(flavor = "multi_thread")]
async fn an_upload_is_streamed_with_backpressure() {
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let platform = PlatformServer::start(any).await.unwrap();
    let server = upload_server(Duration::from_millis(1)).await.unwrap();
    let servers = vec![("server-1".to_string(), "harbour".to_string(), server)];
    let fencing = Fencing::Unchecked;
    let mut rows = sample_rows(&SampleConfig { servers, fencing });
    for row in &mut rows {
        if let Row::Service(row) = row {
            row.deadline = TEST_TIMEOUT;
        }
    }
    rows.push(domain_row("harbour"));
    commit_rows(&platform.memory, "test", rows).await;
    let instance = Instance::start("entry-1", "harbour", platform.address);
    while !get(instance.traffic, "/readyz")
        .await
        .unwrap()
        .status
        .is_success()
    {
        sleep(Duration::from_millis(20)).await;
    }
    let (before, _) = resident_kib(instance.pid());

    let mut stream = TcpStream::connect(instance.traffic).await.unwrap();
    let head = format!(
        "PUT /kegs/a HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: {UPLOAD_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let part = vec![b'x'; PART_BYTES];
    for _ in 0..UPLOAD_BYTES / PART_BYTES {
        stream.write_all(&part).await.unwrap();
    }
    let answer = read_all(&mut stream, TEST_TIMEOUT).await;
    let (_, highest) = resident_kib(instance.pid());

    assert!(
        answer.ends_with(&format!("received {UPLOAD_BYTES}")),
        "{answer}"
    );
    let growth = highest.saturating_sub(before);
    assert!(growth < MAX_GROWTH_KIB, "grew by {growth} KiB");
}
