//! A traffic thread within the test process, routing by a table of the test's own.

use {
    super::{SampleConfig, rows::sample_rows},
    citron_core::{
        id::Revision,
        membership::RoutingLease,
        routing::{RouteMap, Snapshot},
        table::{Changes, Fencing, Row, Table},
    },
    citronproxy::{
        clock::Clock,
        traffic::{Limits, TrafficHandle, Workers, start_with_limits},
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::timeout,
    },
};

/// Time after which a test fails that waits for an event.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// One traffic thread; the test publishes the snapshots that control would publish.
pub struct DataPath {
    /// Traffic address.
    pub address: SocketAddr,
    /// Control's handle to the thread.
    pub handle: TrafficHandle,
    /// Clock of the leases.
    pub clock: Clock,
    /// The running thread.
    pub workers: Workers,
    /// Rows of the next published snapshot.
    pub rows: Vec<Row>,
}

impl DataPath {
    /// Routes the service `kegs` to one server, `server-1`.
    pub fn start(server: SocketAddr) -> Self {
        Self::start_with(server, Limits::default(), |_| {})
    }

    /// As [`Self::start`], with limits, and with rows changed by `edit`.
    pub fn start_with(server: SocketAddr, limits: Limits, edit: impl Fn(&mut Row)) -> Self {
        let servers = vec![("server-1".to_string(), "harbour".to_string(), server)];
        let fencing = Fencing::Checked;
        let mut rows = sample_rows(&SampleConfig { servers, fencing });
        rows.iter_mut().for_each(edit);
        let handle = TrafficHandle::default();
        let clock = Clock::start();
        let any_address = "127.0.0.1:0".parse().expect("an address");
        let workers =
            start_with_limits(any_address, 1, &handle, clock, limits).expect("threads start");
        let path = Self {
            address: workers.address,
            handle,
            clock,
            workers,
            rows,
        };
        path.publish(1, TEST_TIMEOUT);
        path
    }

    /// Publishes the rows as a revision, with a routing lease of this length.
    pub fn publish(&self, revision: u64, lease: Duration) {
        let now = self.clock.now();
        self.handle.publish(Snapshot {
            map: Arc::new(RouteMap::build(&table(&self.rows, revision))),
            confirmation: RoutingLease {
                any_domain_until: now + lease,
                read_started: now,
                own_domain_until: now + lease,
            },
            domain: "harbour".parse().expect("a name"),
        });
    }

    /// Sends bytes on a new connection and reads until it is closed, or until nothing has
    /// arrived for `wait`.
    pub async fn send_raw(&self, bytes: &[u8], wait: Duration) -> String {
        let mut stream = TcpStream::connect(self.address).await.expect("connects");
        // The instance may refuse the request and close before it has read all bytes.
        let _ = stream.write_all(bytes).await;
        read_all(&mut stream, wait).await
    }
}

fn table(rows: &[Row], revision: u64) -> Table {
    let rows = rows
        .iter()
        .map(|row| (row.key(), Revision(1), Some(row.clone())));
    let changes = Changes {
        since: Revision(0),
        revision: Revision(revision),
        rows: rows.collect(),
    };
    let mut table = Table::default();
    table.apply(changes).expect("changes from revision 0 apply");
    table
}

/// Reads until the connection is closed, or until nothing has arrived for `wait`.
pub async fn read_all(stream: &mut TcpStream, wait: Duration) -> String {
    let mut text = Vec::new();
    let mut buffer = [0; 16 * 1_024];
    while let Ok(Ok(read)) = timeout(wait, stream.read(&mut buffer)).await {
        if read == 0 {
            break;
        }
        text.extend_from_slice(&buffer[..read]);
    }
    String::from_utf8_lossy(&text).into_owned()
}
