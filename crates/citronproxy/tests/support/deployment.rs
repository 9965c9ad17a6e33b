//! A deployment of stand-ins and instances, small enough for a test.

use {
    super::{Instance, Sample, commit, domain_row, get, sample},
    citron_core::{
        id::ServerName,
        ownership::Phase,
        table::{Changes, Fencing, Row, ServerState},
    },
    citron_fakes::{
        backend::{BackendConfig, BackendServer, Run},
        platform::PlatformServer,
    },
    citron_platform::{LaneStore, TableService, TableStore},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// How long a test waits for anything.
const PATIENCE: Duration = Duration::from_secs(20);

/// A platform and backend servers.
pub struct Deployment {
    pub platform: PlatformServer,
    pub servers: Vec<BackendServer>,
}

/// Any free port of this machine.
pub fn any() -> SocketAddr {
    "127.0.0.1:0".parse().expect("an address")
}

impl Deployment {
    /// Starts one server for each failure domain that is named, `server-1` on.
    pub async fn start(domains: &[&str], fencing: Fencing, grace: Duration) -> Self {
        let platform = PlatformServer::start(any()).await.expect("a port");
        let mut servers = Vec::new();
        for number in 1..=domains.len() {
            let config = BackendConfig {
                name: format!("server-{number}"),
                slots: 16,
                work: Duration::from_millis(2),
                fenced: fencing == Fencing::Checked,
            };
            let started = BackendServer::start(any(), config).await;
            servers.push(started.expect("a port"));
        }
        let named = domains.iter().zip(&servers).zip(1..);
        let named = named.map(|((domain, server), number)| {
            (
                format!("server-{number}"),
                domain.to_string(),
                server.address,
            )
        });
        let servers_rows = named.collect();
        let mut rows = sample(&Sample {
            servers: servers_rows,
            fencing,
        });
        for row in &mut rows {
            if let Row::Service(service) = row {
                service.grace = grace;
                service.deadline = Duration::from_secs(3);
            }
        }
        let mut names: Vec<&str> = domains.to_vec();
        names.sort();
        names.dedup();
        rows.extend(names.into_iter().map(domain_row));
        commit(&platform.memory, "test", rows).await;
        Self { platform, servers }
    }

    /// All that the servers ran.
    pub fn runs(&self) -> Vec<Run> {
        let runs = self.servers.iter().map(|server| server.runs.all());
        runs.collect::<Vec<_>>().concat()
    }

    /// The table as the platform holds it, whatever its faults.
    pub async fn changes(&self) -> Changes {
        let wire = self.platform.memory.changes(0).await.expect("in memory");
        wire.try_into().expect("valid rows")
    }

    /// Shards that a server owns or is giving up.
    pub async fn shards_of(&self, server: &str) -> usize {
        let server: ServerName = server.parse().expect("a name");
        let rows = self.changes().await.rows;
        let blocks = rows.into_iter().filter_map(|(_, _, row)| match row {
            Some(Row::Block(block)) => Some(block),
            _ => None,
        });
        let shards = blocks.flat_map(|block| block.shards);
        shards.filter(|shard| shard.owner == server).count()
    }

    /// Shards that are changing hands.
    pub async fn moving(&self) -> usize {
        let rows = self.changes().await.rows;
        let blocks = rows.into_iter().filter_map(|(_, _, row)| match row {
            Some(Row::Block(block)) => Some(block),
            _ => None,
        });
        let shards = blocks.flat_map(|block| block.shards);
        let moving = |phase: &Phase| matches!(phase, Phase::Releasing { .. });
        shards.filter(|shard| moving(&shard.phase)).count()
    }

    /// Waits until a server owns nothing; tells how long that took.
    pub async fn until_empty(&self, server: &str) -> Duration {
        let begun = Instant::now();
        while self.shards_of(server).await > 0 {
            let left = self.shards_of(server).await;
            assert!(begun.elapsed() < PATIENCE, "{server} still owns {left}");
            sleep(Duration::from_millis(10)).await;
        }
        begun.elapsed()
    }

    /// Sets a server's row to draining, as an operator does.
    pub async fn drain(&self, server: &str) {
        let server: ServerName = server.parse().expect("a name");
        let found = self.changes().await.rows.into_iter().find_map(|row| {
            let (key, version, Some(Row::Server(row))) = row else {
                return None;
            };
            (row.name == server).then_some((key, version, row))
        });
        let (key, expect, mut row) = found.expect("the server's row");
        row.state = ServerState::Draining;
        let name = format!("drain/{server}/{}", expect);
        let store = LaneStore::new(self.platform.memory.clone(), name);
        let write = citron_core::table::Write {
            key,
            expect,
            row: Some(Row::Server(row)),
        };
        let edit = citron_core::table::Commit {
            writes: vec![write],
            history: None,
        };
        store.commit(edit).await.expect("in memory");
    }

    /// Starts an instance that reaches the platform directly.
    pub async fn instance(&self, name: &str, domain: &str) -> Instance {
        let instance = Instance::start(name, domain, self.platform.address);
        until_serving(instance.traffic).await;
        instance
    }
}

/// Waits until an instance answers requests for keys of all servers.
pub async fn until_serving(instance: SocketAddr) {
    let begun = Instant::now();
    for key in 0..24 {
        let path = format!("/kegs/bar-{key}");
        while !get(instance, &path)
            .await
            .is_ok_and(|reply| reply.status.is_success())
        {
            assert!(
                begun.elapsed() < PATIENCE,
                "{instance} does not serve {path}"
            );
            sleep(Duration::from_millis(25)).await;
        }
    }
}
