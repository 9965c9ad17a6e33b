//! A large upload is streamed.

mod support;

use {
    citron_core::table::{Fencing, Row},
    citron_fakes::{platform::PlatformServer, scripted::upload_server},
    std::{fs, net::SocketAddr},
    support::{Instance, LONG, Sample, commit, domain_row, get, read_all, sample},
    tokio::{
        io::AsyncWriteExt,
        net::TcpStream,
        time::{Duration, sleep},
    },
};

/// Size of the upload.
const SIZE: usize = 256 * 1_024 * 1_024;
/// Bytes written at a time.
const PART: usize = 256 * 1_024;
/// The most by which the instance may grow, in KiB.
const GROWTH_MAX: u64 = 32 * 1_024;

/// Resident memory of a process in KiB: now, and at its highest.
fn memory(pid: u32) -> (u64, u64) {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let field = |name: &str| {
        let line = status.lines().find_map(|line| line.strip_prefix(name));
        let number = line.unwrap().split_whitespace().next();
        number.unwrap().parse().unwrap()
    };
    (field("VmRSS:"), field("VmHWM:"))
}

/// A caller sends 256 MiB as fast as it can to a server that reads a MiB and then
/// pauses a little, again and again. An instance that read ahead of the
/// server would hold the difference in memory.
#[tokio::test(flavor = "multi_thread")]
async fn an_upload_is_streamed_with_backpressure() {
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let platform = PlatformServer::start(any).await.unwrap();
    let server = upload_server(Duration::from_millis(1)).await.unwrap();
    let servers = vec![("server-1".to_string(), "harbour".to_string(), server)];
    let fencing = Fencing::Unchecked;
    let mut rows = sample(&Sample { servers, fencing });
    for row in &mut rows {
        if let Row::Service(row) = row {
            row.deadline = LONG;
        }
    }
    rows.push(domain_row("harbour"));
    commit(&platform.memory, "test", rows).await;
    let instance = Instance::start("entry-1", "harbour", platform.address);
    while !get(instance.traffic, "/readyz")
        .await
        .unwrap()
        .status
        .is_success()
    {
        sleep(Duration::from_millis(20)).await;
    }
    let (before, _) = memory(instance.pid());

    let mut stream = TcpStream::connect(instance.traffic).await.unwrap();
    let head = format!(
        "PUT /kegs/a HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: {SIZE}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let part = vec![b'x'; PART];
    for _ in 0..SIZE / PART {
        stream.write_all(&part).await.unwrap();
    }
    let answer = read_all(&mut stream, LONG).await;
    let (_, highest) = memory(instance.pid());

    assert!(answer.ends_with(&format!("received {SIZE}")), "{answer}");
    let growth = highest.saturating_sub(before);
    assert!(growth < GROWTH_MAX, "grew by {growth} KiB");
}
