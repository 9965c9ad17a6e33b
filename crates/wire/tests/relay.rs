//! Relay of tables between instances: encoding, compression, caching and rejection of
//! malformed responses.

use {
    bytes::Bytes,
    citron_wire::relay::{
        AgeWire, BodyCache, COMPRESS_MIN_BYTES, Digest, Format, HeadWire, RelayError, RowSelection,
        TableQuery, TableRowWire, TableWire,
    },
    proptest::{collection::vec, option, prelude::*},
    serde::Serialize,
    std::time::Duration,
};

const MAX_BYTES: usize = 1 << 20;

fn row(key: &str, value: Option<Vec<u8>>) -> TableRowWire {
    TableRowWire {
        key: key.to_string(),
        value,
        version: 7,
    }
}

fn head(age: u64) -> HeadWire {
    HeadWire {
        version: 9,
        whole: true,
        changed: 8,
        age: AgeWire::from(Some(Duration::from_millis(age))),
    }
}

fn packed(rows: &[TableRowWire]) -> Bytes {
    let body = BodyCache::<1>::default().get_or_encode(0, 1, RowSelection::All, || rows.to_vec());
    head(20).encode_packed(&body.unwrap()).unwrap()
}

fn read(bytes: &[u8]) -> Result<TableWire, RelayError> {
    TableWire::decode(Format::Packed, bytes, MAX_BYTES)
}

fn any_rows() -> impl Strategy<Value = Vec<TableRowWire>> {
    let value = option::of(vec(any::<u8>(), 0..3_000));
    let row = (any::<String>(), value, any::<u64>());
    let row = row.prop_map(|(key, value, version)| TableRowWire {
        key,
        value,
        version,
    });
    vec(row, 0..5)
}

proptest! {
    #[test]
    fn rows_arrive_as_they_were(rows in any_rows(), version: u64, changed: u64, whole: bool) {
        let head = HeadWire { version, whole, changed, ..head(20) };
        let body = BodyCache::<1>::default().get_or_encode(0, 1, RowSelection::All, || rows.clone()).unwrap();
        let wire = TableWire { head, rows };
        let packed = read(&wire.head.encode_packed(&body).unwrap()).unwrap();
        prop_assert_eq!(&packed, &wire);
        let plain = TableWire::decode(Format::Plain, &wire.encode_plain().unwrap(), MAX_BYTES).unwrap();
        prop_assert_eq!(&plain, &wire);
    }

    /// Guards against a panic on a malformed response.
    #[test]
    fn any_bytes_are_read_or_refused(mut bytes in vec(any::<u8>(), 0..4_000), coding in 0..3u8) {
        let _ = read(&bytes);
        let begin = head(20).encode_packed(&[coding]).unwrap();
        bytes.splice(0..0, begin);
        let _ = read(&bytes);
    }

    #[test]
    fn a_query_is_a_path(table: usize, after: u64) {
        let query = TableQuery::new(table, after);
        let older = query.older().unwrap();
        prop_assert_eq!(query.to_string().parse(), Ok(query));
        prop_assert_eq!(older.to_string().parse(), Ok(older));
        prop_assert_eq!(older.to_string(), format!("/tables/{table}/{after}"));
        prop_assert_eq!(older.older(), None);
    }
}

/// Guards against sending a whole table to an instance that already has its rows.
#[test]
fn a_query_names_the_rows_that_its_sender_has() {
    let rows = |version| Digest::from_rows([("a", 4), ("b", version)]);
    let query = TableQuery::new(1, 5).with_digest(rows(7));
    assert_eq!(query.to_string().parse(), Ok(query));
    assert_ne!(rows(7), rows(8));
    assert_ne!(Digest::from_rows([("a", 4)]), Digest::from_rows([("b", 4)]));
    let older = query.older().unwrap();
    assert_eq!(older.to_string(), "/tables/1/5");
}

#[test]
fn other_paths_are_no_queries() {
    for path in [
        "",
        "/",
        "/packed/1",
        "/packed/1/",
        "/packed/x/2",
        "/other/1/2",
        "/packed/1/2/x",
        "/packed/1/2/3/4",
        "/tables/1/2/3",
    ] {
        assert_eq!(path.parse::<TableQuery>(), Err(()), "{path}");
    }
}

/// Short tables are sent uncompressed, as compression saves them no packet; long ones shrink
/// to a fraction of their size.
#[test]
fn only_long_tables_are_packed() {
    let short = [row("a", Some(vec![7; COMPRESS_MIN_BYTES / 2]))];
    let long = [row("a", Some(vec![7; 20 * COMPRESS_MIN_BYTES]))];
    assert!(packed(&short).len() > COMPRESS_MIN_BYTES / 2);
    assert!(packed(&long).len() < COMPRESS_MIN_BYTES / 2);
}

/// Guards against a decompression bomb: a response of a few kilobytes that decompresses to
/// gigabytes would exhaust the receiver's memory.
#[test]
fn an_answer_that_unpacks_beyond_the_limit_is_refused() {
    let fits = packed(&[row("a", Some(vec![0; MAX_BYTES - 100]))]);
    assert!(read(&fits).is_ok());
    let longer = packed(&[row("a", Some(vec![0; 16 * MAX_BYTES]))]);
    assert!(longer.len() < MAX_BYTES / 4, "{} bytes", longer.len());
    assert_eq!(read(&longer), Err(RelayError::TooLarge(MAX_BYTES)));
    // Decompression stops at the limit, so the missing end is not even detected.
    let cut = &longer[..longer.len() / 2];
    assert_eq!(read(cut), Err(RelayError::TooLarge(MAX_BYTES)));
}

/// Guards against exhausting memory with empty rows, which take about twenty times as much
/// memory as encoded bytes.
#[test]
fn an_answer_of_too_many_empty_rows_is_refused() {
    let many = packed(&vec![row("", None); MAX_BYTES / 8]);
    assert_eq!(read(&many), Err(RelayError::TooLarge(MAX_BYTES)));
}

/// Guards against decoding a response in another version of the format: the table would get
/// rows that were never written.
#[test]
fn an_answer_of_another_version_is_refused() {
    let rows = [row("a", Some(vec![7; 9]))];
    let mut newer = packed(&rows).to_vec();
    newer[0] += 1;
    assert_eq!(read(&newer), Err(RelayError::UnsupportedFormat(newer[0])));
    let wire = TableWire {
        head: head(20),
        rows: rows.to_vec(),
    };
    let older = wire.encode_plain().unwrap();
    assert_eq!(read(&older), Err(RelayError::UnsupportedFormat(older[0])));
}

/// Guards against a truncated response that decodes as a shorter table.
#[test]
fn an_answer_that_was_cut_is_refused() {
    for size in [9, 20 * COMPRESS_MIN_BYTES] {
        let whole = packed(&[row("a", Some(vec![7; size]))]);
        for end in 0..whole.len() {
            assert!(read(&whole[..end]).is_err(), "{end} of {}", whole.len());
        }
    }
}

/// Response as instances from before the packed format encode and decode it.
#[derive(Debug, Serialize)]
struct OlderWire {
    version: u64,
    whole: bool,
    changed: u64,
    age: u32,
    rows: Vec<(String, Option<Vec<u8>>, u64)>,
}

/// Guards against an upgrade during which old and new instances cannot decode each other's
/// tables.
#[test]
fn the_plain_format_is_that_of_older_instances() {
    let older = OlderWire {
        version: 9,
        whole: true,
        changed: 8,
        age: 21,
        rows: vec![("a".to_string(), Some(vec![7; 9]), 7)],
    };
    let wire = TableWire {
        head: head(20),
        rows: vec![row("a", Some(vec![7; 9]))],
    };
    assert_eq!(
        wire.encode_plain().unwrap(),
        postcard::to_stdvec(&older).unwrap()
    );
}

/// Guards against compressing the same change once for each of forty instances that fetch
/// it.
#[test]
fn a_change_is_encoded_once_for_all_queries() {
    let mut cache = BodyCache::<2>::default();
    let rows = || vec![row("a", Some(vec![7; 20 * COMPRESS_MIN_BYTES]))];
    let answers: Vec<Bytes> = (0..40)
        .map(|age| {
            let body = cache
                .get_or_encode(0, 3, RowSelection::After(5), rows)
                .unwrap();
            head(age).encode_packed(&body).unwrap()
        })
        .collect();
    assert_eq!(cache.encode_count(), 1);
    // The header of each response still has its own age.
    for (age, answer) in (0..).zip(&answers) {
        assert_eq!(read(answer).unwrap().head, head(age));
    }
}

/// Guards against a cache that each query evicts: instances that lag behind and others that
/// do not alternate, and each response would be encoded again.
#[test]
fn alternating_queries_share_encoded_bodies() {
    let mut cache = BodyCache::<1>::default();
    for _ in 0..10 {
        for part in [
            RowSelection::All,
            RowSelection::After(5),
            RowSelection::After(7),
        ] {
            cache.get_or_encode(0, 3, part, Vec::new).unwrap();
        }
    }
    assert_eq!(cache.encode_count(), 3);
}

/// Guards against a cached body that belongs to another query, to another table or to a
/// state before the last change.
#[test]
fn each_query_gets_its_own_rows() {
    let mut cache = BodyCache::<2>::default();
    let mut seen = Vec::new();
    for _ in 0..2 {
        for table in 0..2 {
            for edits in 1..4 {
                for part in [
                    RowSelection::All,
                    RowSelection::After(0),
                    RowSelection::After(5),
                    RowSelection::After(7),
                ] {
                    let rows = vec![row(&format!("{table} {edits} {part:?}"), None)];
                    let body = cache.get_or_encode(table, edits, part, || rows.clone());
                    let wire = read(&head(20).encode_packed(&body.unwrap()).unwrap()).unwrap();
                    assert_eq!(wire.rows, rows);
                    seen.push(rows);
                }
            }
        }
    }
    assert_eq!(seen.len() as u64, cache.encode_count());
}

proptest! {
    /// Guards against a selection that omits or adds rows: rounding the requested version
    /// down to that of a known change must select the same rows.
    #[test]
    fn a_part_holds_what_is_newer(versions in vec(0..50u64, 0..10), after in 0..50u64, base in 0..50u64) {
        match RowSelection::since(after, base, versions.iter().copied()) {
            RowSelection::All => prop_assert!(after < base),
            RowSelection::After(known) => {
                prop_assert!(after >= base);
                for version in versions {
                    prop_assert_eq!(version > known, version > after, "version {}", version);
                }
            }
        }
    }
}
