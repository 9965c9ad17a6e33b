//! Tables fetched from instances of the current and of the previous version.

use {
    bytes::Bytes,
    citron_ports::{HttpClient, ReadTimeout, TableResponse, fetch_table},
    citron_wire::relay::{
        AgeWire, BodyCache, Format, HeadWire, RelayError, RowSelection, TableQuery, TableRowWire,
        TableWire,
    },
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpListener,
        task::JoinHandle,
    },
};

const MAX_BYTES: usize = 1 << 20;

/// Time limit that never expires in these tests.
#[derive(Debug)]
struct FixedTimeout;

impl ReadTimeout for FixedTimeout {
    fn remaining(&self) -> Duration {
        Duration::from_secs(10)
    }

    fn progressed(&mut self) {}
}

fn wire() -> TableWire {
    let row = TableRowWire {
        key: "config".to_string(),
        value: Some(vec![7; 9_000]),
        version: 7,
    };
    TableWire {
        head: HeadWire {
            version: 9,
            whole: true,
            changed: 8,
            age: AgeWire::from(Some(Duration::from_millis(20))),
        },
        rows: vec![row],
    }
}

/// Returns the response of an instance of the current version.
fn packed(path: &str) -> Option<Bytes> {
    let wire = wire();
    let query: TableQuery = path.parse().ok()?;
    match query.format {
        Format::Packed => {
            let body =
                BodyCache::<1>::default().get_or_encode(0, 1, RowSelection::All, || wire.rows);
            wire.head.encode_packed(&body.ok()?).ok()
        }
        Format::Plain => wire.encode_plain().ok(),
    }
}

/// Returns the response of an instance of the previous version.
fn plain(path: &str) -> Option<Bytes> {
    packed(path.strip_prefix("/tables").map(|_| path)?)
}

/// Fetches a table. Returns the response and the requested paths.
async fn fetch(answer: fn(&str) -> Option<Bytes>) -> (TableResponse, Vec<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let client = HttpClient::new(listener.local_addr().unwrap(), MAX_BYTES);
    let served: JoinHandle<Vec<String>> = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut paths = Vec::new();
        let mut read = [0; 1_024];
        while let Ok(count @ 1..) = stream.read(&mut read).await {
            let text = String::from_utf8_lossy(&read[..count]).into_owned();
            let path = text.split(' ').nth(1).unwrap().to_string();
            let (status, body) = match answer(&path) {
                Some(body) => ("200 OK", body),
                None => ("404 Not Found", Bytes::new()),
            };
            paths.push(path);
            let head = format!(
                "HTTP/1.1 {status}\r\ncontent-length: {}\r\n\r\n",
                body.len()
            );
            stream.write_all(head.as_bytes()).await.unwrap();
            stream.write_all(&body).await.unwrap();
        }
        paths
    });
    let answer = fetch_table(&client, TableQuery::new(0, 5), &mut FixedTimeout).await;
    drop(client);
    (answer.unwrap(), served.await.unwrap())
}

#[tokio::test]
async fn a_table_arrives_packed() {
    let (answer, asked) = fetch(packed).await;
    assert_eq!(answer.decode(MAX_BYTES), Ok(wire()));
    assert_eq!(asked, ["/packed/0/5"]);
}

/// Guards against an upgrade during which new instances cannot fetch tables from old ones.
#[tokio::test]
async fn an_older_instance_is_asked_in_its_format() {
    let (answer, asked) = fetch(plain).await;
    assert_eq!(answer.decode(MAX_BYTES), Ok(wire()));
    assert_eq!(asked, ["/packed/0/5", "/tables/0/5"]);
}

/// Guards against endless requests to an instance that does not have the table.
#[tokio::test]
async fn a_table_that_is_not_there_is_asked_for_once_in_each_format() {
    let (answer, asked) = fetch(|_| None).await;
    assert!(matches!(
        answer.decode(MAX_BYTES),
        Err(RelayError::Malformed(_))
    ));
    assert_eq!(asked, ["/packed/0/5", "/tables/0/5"]);
}
