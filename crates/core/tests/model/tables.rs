//! Interned tables and commits, which states refer to by number.

use {
    super::setup::{GRACE, Setup},
    citron_core::{
        id::{Epoch, Incarnation, Revision, ShardBits, ShardId},
        ownership::{Assignment, Scope},
        table::{
            BlockId, BlockRow, Changes, Commit, DomainRow, DomainState, Fencing, InstanceRow,
            InstanceState, KeySource, MoveBudget, Objectives, Row, ServerRow, ServerState,
            ServiceRow, Table, Write,
        },
    },
    std::{collections::HashMap, time::Duration},
};

/// The scope that moves.
pub const SCOPE: Scope = Scope::Shard(ShardId(0));
/// The servers by number, the first owner first.
pub const SERVERS: [&str; 2] = ["server-a", "server-b"];
/// The instances by number.
pub const INSTANCES: [&str; 2] = ["instance-0", "instance-1"];
/// A version that matches any version in the model's platform.
pub const ANY_VERSION: Revision = Revision(u64::MAX);

/// Number of a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TableId(pub usize);

/// Number of a commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct CommitId(pub usize);

/// All tables and commits that have occurred.
#[derive(Debug, Default)]
pub struct Interner {
    tables: Vec<Table>,
    commits: Vec<Commit>,
    ids: HashMap<String, usize>,
    outcomes: HashMap<(TableId, CommitId), Option<TableId>>,
}

impl Interner {
    /// An interner with the first table as number 0.
    pub fn new(setup: &Setup) -> Self {
        let mut interner = Self::default();
        let rows = initial_rows(setup).into_iter();
        let rows = rows.map(|row| (row.key(), Revision(1), Some(row)));
        let changes = Changes {
            since: Revision(0),
            revision: Revision(1),
            rows: rows.collect(),
        };
        let mut table = Table::default();
        table.apply(changes).unwrap();
        interner.intern_table(table);
        interner
    }

    /// The table with a number.
    pub fn table(&self, id: TableId) -> &Table {
        &self.tables[id.0]
    }

    /// Returns the number of a commit.
    pub fn intern_commit(&mut self, commit: Commit) -> CommitId {
        let text = format!("{commit:?}");
        if let Some(&id) = self.ids.get(&text) {
            return CommitId(id);
        }
        self.commits.push(commit);
        self.ids.insert(text, self.commits.len() - 1);
        CommitId(self.commits.len() - 1)
    }

    fn intern_table(&mut self, table: Table) -> TableId {
        let text = format!("{table:?}");
        if let Some(&id) = self.ids.get(&text) {
            return TableId(id);
        }
        self.tables.push(table);
        self.ids.insert(text, self.tables.len() - 1);
        TableId(self.tables.len() - 1)
    }

    /// The table after a commit; `None` if a row version does not match.
    pub fn commit(&mut self, at: TableId, write: CommitId) -> Option<TableId> {
        if let Some(&after) = self.outcomes.get(&(at, write)) {
            return after;
        }
        let after = self.apply(at, write);
        self.outcomes.insert((at, write), after);
        after
    }

    fn apply(&mut self, at: TableId, write: CommitId) -> Option<TableId> {
        let table = &self.tables[at.0];
        let commit = &self.commits[write.0];
        let version_matches = |w: &Write| {
            let found = table.get(&w.key).map(|found| found.version);
            w.expect == ANY_VERSION || w.expect == found.unwrap_or(Revision(0))
        };
        if !commit.writes.iter().all(version_matches) {
            return None;
        }
        let revision = Revision(table.revision().0 + 1);
        let rows = commit.writes.iter();
        let rows = rows.map(|w| (w.key.clone(), revision, w.row.clone()));
        let changes = Changes {
            since: table.revision(),
            revision,
            rows: rows.collect(),
        };
        let mut next = table.clone();
        next.apply(changes).unwrap();
        Some(self.intern_table(next))
    }
}

/// The row of one incarnation of an instance.
fn instance_row(setup: &Setup, number: usize, incarnation: u64) -> InstanceRow {
    let is_remote = number == 1 && !setup.is_same_domain;
    let address = "127.0.0.1:1".parse().unwrap();
    InstanceRow {
        id: INSTANCES[number].parse().unwrap(),
        incarnation: Incarnation(incarnation),
        domain: domain(is_remote),
        traffic_address: address,
        peer_address: address,
        admin_address: address,
        state: InstanceState::Live,
        revision: Revision(0),
    }
}

fn domain(is_remote: bool) -> citron_core::id::DomainName {
    let name = if is_remote { "domain-2" } else { "domain-1" };
    name.parse().unwrap()
}

fn initial_rows(setup: &Setup) -> Vec<Row> {
    let block = BlockRow {
        service: "balances".parse().unwrap(),
        block: BlockId(0),
        shards: vec![Assignment::owned(SERVERS[0].parse().unwrap(), Epoch(1))],
    };
    let mut rows = vec![Row::Service(service(setup)), Row::Block(block)];
    for is_remote in [false, true] {
        rows.push(Row::Server(server(setup, is_remote)));
        rows.push(Row::Domain(DomainRow {
            name: domain(is_remote),
            state: DomainState::Live,
            confirmers: Vec::new(),
        }));
    }
    for number in 0..setup.instances {
        rows.push(Row::Instance(instance_row(setup, number, 1)));
    }
    rows
}

fn server(setup: &Setup, is_remote: bool) -> ServerRow {
    ServerRow {
        name: SERVERS[usize::from(is_remote)].parse().unwrap(),
        service: "balances".parse().unwrap(),
        domain: domain(is_remote),
        address: "127.0.0.1:1".parse().unwrap(),
        weight: "1".parse().unwrap(),
        rate_cap: None,
        slots: "4".parse().unwrap(),
        max_connections: 4,
        // The second owner runs every request that it gets, which is the worst case.
        fencing: match setup.is_fenced && !is_remote {
            true => Fencing::Checked,
            false => Fencing::Unchecked,
        },
        state: ServerState::Active,
    }
}

fn service(setup: &Setup) -> ServiceRow {
    ServiceRow {
        name: "balances".parse().unwrap(),
        operator: "authority".parse().unwrap(),
        hosts: Vec::new(),
        prefix: "/".to_string(),
        key_source: KeySource::Segment(0),
        idempotent_methods: Vec::new(),
        shard_bits: ShardBits::new(0).unwrap(),
        deadline: Duration::from_secs(setup.deadline_ticks.into()),
        grace: GRACE,
        move_budget: MoveBudget {
            shards_per_minute: 1,
            threshold_percent: 110,
        },
        objectives: Objectives {
            failures_per_million: 1,
            latency: Duration::from_millis(1),
            slow_per_million: 1,
        },
    }
}
