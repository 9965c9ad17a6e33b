//! Contract of the table service, in memory and over HTTP with faults.

use {
    citron_core::{
        id::Revision,
        table::{Commit, CommitOutcome, DomainRow, DomainState, Row, RowKey, Write},
    },
    citron_fakes::{link::Link, platform::PlatformServer},
    citron_ports::{
        HttpPlatform, IdempotentStore, MemoryPlatform, PlatformError, TableService, TableStore,
    },
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
    },
};

fn domain(name: &str, by: &str) -> Row {
    let state = match by {
        "" => DomainState::Live,
        by => DomainState::Lost {
            declared_by: by.to_string(),
        },
    };
    Row::Domain(DomainRow {
        name: name.parse().unwrap(),
        state,
        confirmers: Vec::new(),
    })
}

fn write(row: Row, expect: Revision) -> Commit {
    let write = Write {
        key: row.key(),
        expect,
        row: Some(row),
    };
    Commit {
        writes: vec![write],
        history: None,
    }
}

fn delete(key: RowKey, expect: Revision) -> Commit {
    let row = None;
    Commit {
        writes: vec![Write { key, expect, row }],
        history: None,
    }
}

fn committed(answer: Result<CommitOutcome, PlatformError>) -> Revision {
    match answer {
        Ok(CommitOutcome::Committed(revision)) => revision,
        other => panic!("commit failed: {other:?}"),
    }
}

async fn server() -> PlatformServer {
    PlatformServer::start("127.0.0.1:0".parse().unwrap())
        .await
        .unwrap()
}

/// Contract of every implementation of the table service. Returns the observed results.
async fn contract(service: impl TableService) -> String {
    let store = IdempotentStore::new(service, "writer-1".to_string());
    let first = committed(store.commit(write(domain("a", ""), Revision(0))).await);
    let second = committed(store.commit(write(domain("b", ""), Revision(0))).await);
    let mut lines = Vec::new();
    let lost = store.commit(write(domain("a", "late"), Revision(0))).await;
    lines.push(format!("create what is there: {}", format_outcome(lost)));
    let third = committed(store.commit(write(domain("a", "op"), first)).await);
    let lost = store.commit(write(domain("a", "late"), first)).await;
    lines.push(format!("edit an old version: {}", format_outcome(lost)));
    let mut pair = write(domain("c", ""), Revision(0));
    pair.writes.extend(write(domain("b", "late"), third).writes);
    let lost = store.commit(pair).await;
    lines.push(format!(
        "one of two writes too late: {}",
        format_outcome(lost)
    ));
    let fourth = committed(store.commit(delete(domain("b", "").key(), second)).await);
    for since in [Revision(0), first, third, fourth] {
        let changes = store.changes(since).await.unwrap().changes;
        let rows = changes.rows.iter().map(|(key, version, row)| {
            let gone = if row.is_none() { " gone" } else { "" };
            format!("{key}@{version}{gone}")
        });
        let rows: Vec<String> = rows.collect();
        lines.push(format!(
            "since {since}: {} to {}",
            rows.join(" "),
            changes.revision
        ));
    }
    lines.join("\n")
}

fn format_outcome(answer: Result<CommitOutcome, PlatformError>) -> String {
    match answer {
        Ok(CommitOutcome::Committed(revision)) => format!("done {revision}"),
        Ok(CommitOutcome::Conflict { key, current }) => {
            let version = current.map_or(Revision(0), |row| row.version);
            format!("lost, {key} is at {version}")
        }
        Err(error) => format!("error: {error}"),
    }
}

#[tokio::test]
async fn memory_and_http_keep_the_same_contract() {
    let memory = contract(MemoryPlatform::default()).await;
    let http = contract(HttpPlatform::new(server().await.address)).await;
    assert_eq!(memory, http);
    insta::assert_snapshot!(memory);
}

/// A fault that loses a commit or its response, and whether the commit still takes effect.
struct Case {
    name: &'static str,
    fault: fn(&PlatformServer, &Link),
    effect: bool,
}

const CASES: &[Case] = &[
    Case {
        name: "no fault",
        fault: |_, _| {},
        effect: true,
    },
    Case {
        name: "response lost after the commit",
        fault: |server, _| server.faults.update(|t| t.lost_replies = 1),
        effect: true,
    },
    Case {
        name: "three responses lost, the first after the commit",
        fault: |server, _| server.faults.update(|t| t.lost_replies = 3),
        effect: true,
    },
    Case {
        name: "connection closed before the commit",
        fault: |server, _| server.faults.update(|t| t.dropped_commits = 2),
        effect: true,
    },
    Case {
        name: "response truncated in its head",
        fault: |_, link| link.truncate_replies(1, 9),
        effect: true,
    },
    Case {
        name: "response truncated in its body",
        fault: |_, link| link.truncate_replies(2, 90),
        effect: true,
    },
    Case {
        name: "slow, but within the time-out",
        fault: |server, _| {
            server
                .faults
                .update(|t| t.delay = Duration::from_millis(300))
        },
        effect: true,
    },
    Case {
        name: "platform down",
        fault: |server, _| server.faults.update(|t| t.is_down = true),
        effect: false,
    },
];

/// Guards against a wrong outcome of a commit whose response is lost. A resend conflicts
/// with the versions that the commit itself wrote; it must still be reported as committed,
/// and take effect exactly once. A commit without effect must be reported as an error.
#[tokio::test]
async fn a_missing_answer_is_settled_and_nothing_is_applied_twice() {
    for case in CASES {
        let server = server().await;
        let link = Link::start(server.address).await.unwrap();
        let store = IdempotentStore::new(HttpPlatform::new(link.address), "writer-1".to_string());
        let made = committed(store.commit(write(domain("a", ""), Revision(0))).await);
        (case.fault)(&server, &link);
        let answer = store.commit(write(domain("a", "op"), made)).await;
        server
            .faults
            .update(|settings| *settings = Default::default());
        let row = server.memory.row("domain/a").await.unwrap().unwrap();
        let changes = server.memory.changes(0).await.unwrap();
        let outcome = format_outcome(answer);
        match case.effect {
            true => {
                assert_eq!(outcome, format!("done {}", row.version), "{}", case.name);
                assert_eq!(row.version, made.0 + 1, "{}: applied once", case.name);
            }
            false => {
                assert!(outcome.starts_with("error"), "{}: {outcome}", case.name);
                assert_eq!(row.version, made.0, "{}: not applied", case.name);
            }
        }
        assert_eq!(changes.revision, row.version, "{}", case.name);
        // The next commit of the writer takes effect, and neither conflicts nor counts as
        // already committed.
        let version = Revision(row.version);
        let next = store.commit(write(domain("a", "next"), version)).await;
        assert_eq!(committed(next), Revision(version.0 + 1), "{}", case.name);
    }
}

/// Guards against confusing a conflict with a lost response. Two writers commit to one row,
/// and the response to the first is lost: the first must be reported as committed, the
/// second as a conflict with the first one's row.
#[tokio::test]
async fn a_conflict_and_a_lost_response_are_distinguished() {
    let server = server().await;
    let store = |name: &str| {
        let service = HttpPlatform::new(server.address);
        IdempotentStore::new(service, name.to_string())
    };
    let (winner, loser) = (store("writer-1"), store("writer-2"));
    let made = committed(winner.commit(write(domain("a", ""), Revision(0))).await);
    server.faults.update(|settings| settings.lost_replies = 1);
    let won = committed(winner.commit(write(domain("a", "one"), made)).await);
    let lost = loser.commit(write(domain("a", "two"), made)).await;
    assert_eq!(format_outcome(lost), format!("lost, domain/a is at {won}"));
}

/// Sends a table in 30 parts. The whole takes longer than the time-out of one part.
async fn send_slowly(listener: TcpListener) {
    const PARTS: usize = 30;
    let (mut stream, _) = listener.accept().await.unwrap();
    let table = r#"{"since":0,"revision":7,"rows":[]}"#;
    let length = PARTS + table.len();
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    for _ in 0..PARTS {
        tokio::time::sleep(Duration::from_millis(50)).await;
        stream.write_all(b" ").await.unwrap();
    }
    stream.write_all(table.as_bytes()).await.unwrap();
    let _ = stream.read_to_end(&mut Vec::new()).await;
}

/// Guards against a table that is never read completely over a slow link, because every read
/// is aborted and started again.
#[tokio::test]
async fn a_table_that_keeps_coming_is_read_to_its_end() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let store = HttpPlatform::new(listener.local_addr().unwrap());
    tokio::spawn(send_slowly(listener));
    assert_eq!(store.changes(0).await.unwrap().revision, 7);
}
