//! Commits with preconditions on rows that they do not write.

use {
    citron_core::{
        id::Revision,
        table::{Check, Commit, CommitOutcome, DomainRow, DomainState, Row, Write},
    },
    citron_ports::{IdempotentStore, MemoryPlatform, TableStore},
};

fn write(name: &str, expect: u64) -> Commit {
    let row = Row::Domain(DomainRow {
        name: name.parse().unwrap(),
        state: DomainState::Live,
        confirmers: Vec::new(),
    });
    let write = Write {
        key: row.key(),
        expect: Revision(expect),
        row: Some(row),
    };
    Commit {
        writes: vec![write],
        history: None,
    }
}

/// Guards against write skew: two writers each read the other's row and change their own.
/// If both commits took effect, each would depend on a row version that is outdated.
#[tokio::test]
async fn a_commit_is_lost_if_a_row_that_it_rests_on_has_changed() {
    let memory = MemoryPlatform::default();
    let [one, two] =
        ["one", "two"].map(|name| IdempotentStore::new(memory.clone(), name.to_string()));
    one.commit(write("harbour", 0)).await.unwrap();
    one.commit(write("hills", 0)).await.unwrap();
    let check = |name: &str, expect: u64| Check {
        key: write(name, 0).writes[0].key.clone(),
        expect: Revision(expect),
    };
    let hills = [check("hills", 2)];
    let first = one.commit_checked(write("harbour", 1), &hills);
    assert_eq!(first.await.unwrap(), CommitOutcome::Committed(Revision(3)));
    let harbour = [check("harbour", 1)];
    let second = two.commit_checked(write("hills", 2), &harbour);
    let CommitOutcome::Conflict { key, current } = second.await.unwrap() else {
        panic!("the second commit took effect");
    };
    assert_eq!(key.to_string(), "domain/harbour");
    assert_eq!(current.unwrap().version, Revision(3));
    let changes = two.changes(Revision(0)).await.unwrap().changes;
    assert_eq!(changes.revision, Revision(3));
}
