//! The rows of the first table, and reading owners from a table.

use {
    super::cluster::{DOMAINS, INSTANCES, Owners, SERVERS, SHARDS},
    citron_core::{
        id::{Epoch, Incarnation, KeyHash, Revision, ServerName, ShardBits, ShardId},
        membership::Member,
        ownership::{Assignment, Scope, assignment},
        table::*,
    },
    std::{rc::Rc, time::Duration},
};

pub fn service_name() -> citron_core::id::ServiceName {
    "balances".parse().unwrap()
}

pub fn server_name(number: usize) -> ServerName {
    format!("server-{number}").parse().unwrap()
}

pub fn scope(shard: usize) -> Scope {
    Scope::Shard(ShardId(shard as u32))
}

pub fn member(number: usize) -> Member {
    Member {
        instance: format!("instance-{number}").parse().unwrap(),
        incarnation: Incarnation(1),
    }
}

pub fn instance_number(member: &Member) -> usize {
    let name = member.instance.as_str();
    name.rsplit('-').next().unwrap().parse().unwrap()
}

pub fn owners(table: &Table) -> Owners {
    Rc::new((0..SHARDS).map(|shard| owner(table, shard)).collect())
}

/// The owner of a shard, and whether it takes requests.
pub fn owner(table: &Table, shard: usize) -> (usize, bool) {
    let found = assignment(table, &service_name(), scope(shard)).unwrap();
    let name = found.value.owner.as_str();
    let number = name.rsplit('-').next().unwrap().parse().unwrap();
    (number, found.value.is_open())
}

/// Rendezvous hashing.
pub fn best(kept: &[usize], shard: usize) -> usize {
    let value = |&server: &usize| KeyHash::of(format!("{server}/{shard}").as_bytes());
    kept.iter().copied().max_by_key(value).unwrap()
}

pub fn first_table(grace: Duration) -> Table {
    let address = "127.0.0.1:1".parse().unwrap();
    let domain = |number: usize| format!("domain-{}", number % DOMAINS).parse().unwrap();
    let owners = (0..SHARDS).map(|s| Assignment::owned(server_name(s % SERVERS), Epoch(1)));
    let mut rows = vec![
        Row::Service(service(grace)),
        Row::Block(BlockRow {
            service: service_name(),
            block: BlockId(0),
            shards: owners.collect(),
        }),
    ];
    rows.extend((0..SERVERS).map(|number| {
        Row::Server(ServerRow {
            name: server_name(number),
            service: service_name(),
            domain: domain(number),
            address,
            weight: "1".parse().unwrap(),
            cap: None,
            slots: "4".parse().unwrap(),
            connections: 100,
            fencing: Fencing::Checked,
            state: ServerState::Active,
        })
    }));
    rows.extend((0..INSTANCES).map(|number| {
        Row::Instance(InstanceRow {
            id: member(number).instance,
            incarnation: Incarnation(1),
            domain: domain(number),
            traffic: address,
            peer: address,
            admin: address,
            state: InstanceState::Live,
            revision: Revision(0),
        })
    }));
    let rows = rows.into_iter();
    let rows = rows.map(|row| (row.key(), Revision(1), Some(row)));
    let mut table = Table::default();
    table
        .apply(Changes {
            since: Revision(0),
            revision: Revision(1),
            rows: rows.collect(),
        })
        .unwrap();
    table
}

pub fn service(grace: Duration) -> ServiceRow {
    ServiceRow {
        name: service_name(),
        operator: "authority".parse().unwrap(),
        hosts: Vec::new(),
        prefix: "/".to_string(),
        key: KeyRule::Segment(0),
        idempotent: Vec::new(),
        shards: ShardBits::new(5).unwrap(),
        deadline: Duration::from_secs(2),
        grace,
        moves: MoveBudget {
            minute: 60,
            threshold: 110,
        },
        objectives: Objectives {
            failures: 1,
            latency: Duration::from_millis(1),
            slower: 1,
        },
    }
}
