//! The replica of the table that an instance holds.

use citron_core::{
    id::Revision,
    table::{Changes, DomainRow, DomainState, Row, Table, TableError},
};

fn domain(lost: bool) -> Row {
    let state = match lost {
        true => DomainState::Lost {
            declared_by: "ann".to_string(),
        },
        false => DomainState::Live,
    };
    Row::Domain(DomainRow {
        name: "harbour".parse().unwrap(),
        state,
        confirmers: Vec::new(),
    })
}

fn changes(since: u64, revision: u64, row: Option<Row>) -> Changes {
    Changes {
        since: Revision(since),
        revision: Revision(revision),
        rows: vec![(domain(false).key(), Revision(revision), row)],
    }
}

/// Guards against responses that arrive out of order, one from the platform and one
/// relayed by another instance. Applying the older response last would revert an accepted
/// edit, and requests would be sent to a replaced owner.
#[test]
fn an_answer_that_was_overtaken_changes_nothing() {
    let newest = [Some(domain(true)), None];
    for newer in newest {
        let mut table = Table::default();
        table.apply(changes(0, 2, newer.clone())).unwrap();
        table.apply(changes(0, 1, Some(domain(false)))).unwrap();
        let row = table.get(&domain(false).key());
        let row = row.map(|row| row.value.clone());
        assert_eq!((table.revision(), row), (Revision(2), newer));
    }
}

/// Guards against missing rows: changes that start after the replica's revision would
/// leave out the rows in between.
#[test]
fn changes_with_a_gap_are_refused() {
    let mut table = Table::default();
    table.apply(changes(0, 2, Some(domain(false)))).unwrap();
    let gap = table.apply(changes(3, 4, Some(domain(true))));
    let (have, found) = (Revision(2), Revision(3));
    assert_eq!(gap, Err(TableError::Gap { have, found }));
    assert_eq!(table.revision(), Revision(2));
}
