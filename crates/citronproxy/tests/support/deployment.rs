//! A small deployment: a test platform, test backend servers and real instances.

use {
    super::{Instance, SampleConfig, commit_rows, domain_row, get, sample_rows},
    citron_core::{
        id::{KeyHash, ServerName, ShardBits},
        ownership::Phase,
        table::{Changes, Commit, CommitOutcome, DomainState, Fencing, Row, ServerState, Write},
    },
    citron_fakes::{
        backend::{BackendConfig, BackendServer, Execution},
        platform::PlatformServer,
    },
    citron_ports::{IdempotentStore, TableService, TableStore},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{task::JoinSet, time::sleep},
};

/// Time after which a test fails that waits for an event.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// A platform and backend servers.
pub struct Deployment {
    /// The platform.
    pub platform: PlatformServer,
    /// Backend servers `server-1` and so on.
    pub servers: Vec<BackendServer>,
}

/// Loopback address with port 0, for any free port.
pub fn any_address() -> SocketAddr {
    "127.0.0.1:0".parse().expect("an address")
}

impl Deployment {
    /// Starts one server for each entry of `domains`, named `server-1` and so on, with requests
    /// that run for 2 ms and a deadline of 3 s.
    pub async fn start(domains: &[&str], fencing: Fencing, grace: Duration) -> Self {
        let work = Duration::from_millis(2);
        let deadline = Duration::from_secs(3);
        Self::start_with(domains, fencing, [grace, deadline, work]).await
    }

    /// As [`Self::start`], with the service's grace and deadline, and the run time of a request.
    pub async fn start_with(
        domains: &[&str],
        fencing: Fencing,
        [grace, deadline, work]: [Duration; 3],
    ) -> Self {
        let platform = PlatformServer::start(any_address()).await.expect("a port");
        let mut servers = Vec::new();
        for number in 1..=domains.len() {
            let config = BackendConfig {
                name: format!("server-{number}"),
                slots: 16,
                work,
                checks_grants: fencing == Fencing::Checked,
            };
            let started = BackendServer::start(any_address(), config).await;
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
        let server_configs = named.collect();
        let mut rows = sample_rows(&SampleConfig {
            servers: server_configs,
            fencing,
        });
        for row in &mut rows {
            if let Row::Service(service) = row {
                service.grace = grace;
                service.deadline = deadline;
            }
        }
        let mut names: Vec<&str> = domains.to_vec();
        names.sort();
        names.dedup();
        rows.extend(names.into_iter().map(domain_row));
        commit_rows(&platform.memory, "test", rows).await;
        Self { platform, servers }
    }

    /// All requests that the servers ran.
    pub fn runs(&self) -> Vec<Execution> {
        let runs = self.servers.iter().map(|server| server.executions.all());
        runs.collect::<Vec<_>>().concat()
    }

    /// The platform's table, read directly from its memory and so in spite of injected faults.
    pub async fn changes(&self) -> Changes {
        let wire = self.platform.memory.changes(0).await.expect("in memory");
        wire.into_changes(|key, error| panic!("{key}: {error}"))
    }

    /// Number of shards that a server owns or is releasing.
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

    /// Number of shards that are being released.
    pub async fn moving_shards(&self) -> usize {
        let rows = self.changes().await.rows;
        let blocks = rows.into_iter().filter_map(|(_, _, row)| match row {
            Some(Row::Block(block)) => Some(block),
            _ => None,
        });
        let shards = blocks.flat_map(|block| block.shards);
        let moving = |phase: &Phase| matches!(phase, Phase::Releasing { .. });
        shards.filter(|shard| moving(&shard.phase)).count()
    }

    /// Numbers below `keys` whose keys a server owns.
    pub async fn keys_of(&self, server: &str, keys: u32) -> Vec<u32> {
        let server: ServerName = server.parse().expect("a name");
        let rows = self.changes().await.rows;
        let found = rows.into_iter().find_map(|(_, _, row)| match row {
            Some(Row::Block(block)) => Some(block),
            _ => None,
        });
        let block = found.expect("one block");
        let bits = ShardBits::new(6).expect("few shards");
        let owned = |key: &u32| {
            let hash = KeyHash::from_key(format!("bar-{key}").as_bytes());
            block.shards[bits.shard_of(hash).0 as usize].owner == server
        };
        (0..keys).filter(owned).collect()
    }

    /// Waits until a server owns no shards; returns the time that this took.
    pub async fn wait_until_empty(&self, server: &str) -> Duration {
        let started = Instant::now();
        while self.shards_of(server).await > 0 {
            let left = self.shards_of(server).await;
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "{server} still owns {left} shards"
            );
            sleep(Duration::from_millis(10)).await;
        }
        started.elapsed()
    }

    /// Sets a server's row to draining, as an operator would.
    pub async fn drain(&self, server: &str) {
        let set_draining = |row: &mut Row| match row {
            Row::Server(row) if row.name.id() == server => {
                row.state = ServerState::Draining;
                true
            }
            _ => false,
        };
        self.update_row(&format!("drain/{server}"), set_draining)
            .await;
    }

    /// Declares a failure domain lost, as the operator `by` would.
    pub async fn declare_lost(&self, domain: &str, by: &str) {
        let set_lost = |row: &mut Row| match row {
            Row::Domain(row) if row.name.as_str() == domain => {
                let declared_by = by.to_string();
                row.state = DomainState::Lost { declared_by };
                true
            }
            _ => false,
        };
        self.update_row(&format!("lost/{domain}"), set_lost).await;
    }

    /// Commits the first row for which `change` returns true, as changed by it.
    async fn update_row(&self, writer: &str, change: impl Fn(&mut Row) -> bool) {
        let store = IdempotentStore::new(self.platform.memory.clone(), writer.to_string());
        let rows = self.changes().await.rows;
        let found = rows.into_iter().find_map(|(key, expect, row)| {
            let mut row = row?;
            change(&mut row).then_some(Write {
                key,
                expect,
                row: Some(row),
            })
        });
        let commit = Commit {
            writes: vec![found.expect("a row to change")],
            history: None,
        };
        let answer = store.commit(commit).await.expect("in memory");
        assert!(matches!(answer, CommitOutcome::Committed(_)), "{answer:?}");
    }

    /// Starts an instance that reaches the platform directly.
    pub async fn instance(&self, name: &str, domain: &str) -> Instance {
        let instance = Instance::start(name, domain, self.platform.address);
        wait_until_serving(instance.traffic).await;
        instance
    }
}

/// Waits until an instance serves 24 keys, which are spread over all servers.
pub async fn wait_until_serving(instance: SocketAddr) {
    let started = Instant::now();
    let mut keys = JoinSet::new();
    for key in 0..24 {
        keys.spawn(async move {
            let path = format!("/kegs/bar-{key}");
            while !get(instance, &path)
                .await
                .is_ok_and(|reply| reply.status.is_success())
            {
                let waited = started.elapsed();
                assert!(waited < WAIT_TIMEOUT, "{instance} does not serve {path}");
                sleep(Duration::from_millis(25)).await;
            }
        });
    }
    keys.join_all().await;
}
