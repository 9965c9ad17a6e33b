//! Contract of the object store and of the machine list, in memory and over HTTP with
//! faults.

use {
    citron_fakes::{link::Link, platform::PlatformServer},
    citron_ports::{
        HttpPlatform, MachineList, MachineState, MemoryPlatform, ObjectStore, PlatformError,
    },
    std::time::Duration,
};

async fn server() -> PlatformServer {
    PlatformServer::start("127.0.0.1:0".parse().unwrap())
        .await
        .unwrap()
}

async fn check_objects(store: impl ObjectStore) {
    assert_eq!(store.get("a/1").await.unwrap(), None);
    store.put("a/1", b"one".to_vec()).await.unwrap();
    store.put("a/2", Vec::new()).await.unwrap();
    store.put("b/1", vec![0, 255]).await.unwrap();
    store.put("a/1", b"two".to_vec()).await.unwrap();
    assert_eq!(store.get("a/1").await.unwrap(), Some(b"two".to_vec()));
    assert_eq!(store.get("a/2").await.unwrap(), Some(Vec::new()));
    assert_eq!(store.get("b/1").await.unwrap(), Some(vec![0, 255]));
    assert_eq!(store.list("a/").await.unwrap(), ["a/1", "a/2"]);
}

#[tokio::test]
async fn objects_in_memory_and_over_http() {
    check_objects(MemoryPlatform::default()).await;
    check_objects(HttpPlatform::new(server().await.address)).await;
}

async fn check_machines(memory: &MemoryPlatform, list: impl MachineList) {
    memory.set_machine("server-1", Some(MachineState::Live));
    memory.set_machine("entry-1", Some(MachineState::Leaving));
    memory.set_machine("gone", Some(MachineState::Live));
    memory.set_machine("gone", None);
    let found = list.list().await.unwrap();
    let found: Vec<_> = found.iter().map(|l| (l.name.as_str(), l.state)).collect();
    let leaving = ("entry-1", MachineState::Leaving);
    assert_eq!(found, [leaving, ("server-1", MachineState::Live)]);
}

/// Characters that mean something else in a path or a query, or are not allowed there.
const ODD_NAMES: [&str; 10] = [
    "b c", "d&e", "f+g", "h#i", "j%41", "k%", "l\"<", "m?n=", "o\t\u{1}", "pé",
];

async fn check_odd_names(store: impl ObjectStore) {
    for name in ODD_NAMES {
        let name = format!("x/{name}");
        store.put(&name, name.clone().into_bytes()).await.unwrap();
    }
    for name in ODD_NAMES {
        let name = format!("x/{name}");
        let bytes = store.get(&name).await.unwrap();
        assert_eq!(bytes, Some(name.clone().into_bytes()), "{name}");
        assert_eq!(store.list(&name).await.unwrap(), [name]);
    }
}

/// Guards against names that are put into paths and queries as they are, and then name another
/// object or none.
#[tokio::test]
async fn objects_with_odd_names_are_stored_under_them() {
    check_odd_names(MemoryPlatform::default()).await;
    check_odd_names(HttpPlatform::new(server().await.address)).await;
}

#[tokio::test]
async fn instances_in_memory_and_over_http() {
    let memory = MemoryPlatform::default();
    check_machines(&memory, memory.clone()).await;
    let server = server().await;
    check_machines(&server.memory, HttpPlatform::new(server.address)).await;
}

/// Guards against an outage that reads as an empty store: the reader would conclude that all
/// servers are gone.
#[tokio::test]
async fn an_outage_is_an_error_and_not_an_empty_answer() {
    type Fault = fn(&PlatformServer, &Link);
    let cases: [(&str, Fault); 4] = [
        ("down", |server, _| {
            server.faults.update(|t| t.is_down = true)
        }),
        ("too slow", |server, _| {
            server.faults.update(|t| t.delay = Duration::from_secs(9))
        }),
        ("truncated in the body", |_, link| {
            link.truncate_replies(3, 70)
        }),
        ("silent partition", |_, link| link.cut()),
    ];
    for (name, fault) in cases {
        let server = server().await;
        server
            .memory
            .set_machine("server-1", Some(MachineState::Live));
        let link = Link::start(server.address).await.unwrap();
        let client = HttpPlatform::new(link.address);
        client
            .put("a", b"long enough to be truncated".to_vec())
            .await
            .unwrap();
        fault(&server, &link);
        let read = ObjectStore::get(&client, "a").await;
        assert!(
            matches!(read, Err(PlatformError::OutcomeUnknown(_))),
            "{name}: {read:?}"
        );
        assert!(MachineList::list(&client).await.is_err(), "{name}");
        assert!(ObjectStore::list(&client, "a").await.is_err(), "{name}");
    }
}
