//! Counts for service-level objectives, from requests to the gathered record.

mod support;

use {
    citron_core::{
        id::{DomainName, InstanceId, Revision, ServiceName},
        membership::RoutingLease,
        routing::{RouteMap, Snapshot},
        slo::{Minute, TallySeries},
        table::{Fencing, Table},
        time::Time,
    },
    citron_fakes::{
        backend::{BackendConfig, BackendServer},
        platform::PlatformServer,
    },
    citron_ports::{HttpPlatform, IdempotentStore, MemoryPlatform, ObjectStore, TableStore},
    citron_wire::slo::PAGE_PREFIX,
    citronproxy::{
        clock::Clock,
        slo::{Recorder, aggregate_pages},
        traffic::{TrafficHandle, start},
    },
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, SystemTime},
    },
    support::{SampleConfig, commit_rows, domain_row, get, sample_rows},
    tokio::task::LocalSet,
};

const ANY: &str = "127.0.0.1:0";

fn minute() -> Minute {
    Minute::from_unix_time(SystemTime::UNIX_EPOCH.elapsed().unwrap())
}

fn recorder(handle: &TrafficHandle) -> Recorder {
    let instance: InstanceId = "entry-1".parse().unwrap();
    let domain: DomainName = "harbour".parse().unwrap();
    Recorder::new(instance, domain, handle.clone())
}

/// Starts traffic threads that route `/kegs` to one backend server.
async fn traffic(memory: &MemoryPlatform) -> (SocketAddr, TrafficHandle) {
    let config = BackendConfig {
        name: "server-1".to_string(),
        slots: 4,
        work: Duration::from_millis(20),
        checks_grants: false,
    };
    let server = BackendServer::start(ANY.parse().unwrap(), config)
        .await
        .unwrap();
    let named = (
        "server-1".to_string(),
        "harbour".to_string(),
        server.address,
    );
    let mut rows = sample_rows(&SampleConfig {
        servers: vec![named],
        fencing: Fencing::Unchecked,
    });
    rows.push(domain_row("harbour"));
    commit_rows(memory, "test", rows).await;
    let handle = TrafficHandle::default();
    let clock = Clock::start();
    let workers = start(ANY.parse().unwrap(), 2, &handle, clock).unwrap();
    publish(memory, &handle, clock.now() + Duration::from_secs(600)).await;
    (workers.address, handle)
}

/// Publishes the stored table under a lease that ends at `until`.
async fn publish(memory: &MemoryPlatform, handle: &TrafficHandle, until: Time) {
    let store = IdempotentStore::new(memory.clone(), "control".to_string());
    let mut table = Table::default();
    table
        .apply(store.changes(Revision(0)).await.unwrap().changes)
        .unwrap();
    let confirmation = RoutingLease {
        any_domain_until: until,
        read_started: until,
        own_domain_until: until,
    };
    handle.publish(Snapshot {
        map: Arc::new(RouteMap::build(&table)),
        confirmation,
        domain: "harbour".parse().unwrap(),
    });
}

/// Requests and failed requests of a record.
fn total(record: &TallySeries) -> (u64, u64) {
    let entries = record.entries().map(|(_, _, tally)| tally);
    entries.fold((0, 0), |(total, failed), tally| {
        (total + tally.requests, failed + tally.failed)
    })
}

/// Record gathered from the pages of all instances, all of which must be readable.
async fn gather_record(store: &impl ObjectStore) -> TallySeries {
    let burn = aggregate_pages(store).await.unwrap();
    assert_eq!(burn.unread, 0);
    burn.record.try_into().unwrap()
}

#[tokio::test]
async fn answers_and_slot_time_are_counted_by_service() {
    let run = async {
        let memory = MemoryPlatform::default();
        let (address, handle) = traffic(&memory).await;
        let mut recorder = recorder(&handle);
        recorder.sample(Time::from_micros(0), minute()).await;
        for key in 0..5 {
            let reply = get(address, &format!("/kegs/bar-{key}")).await.unwrap();
            assert_eq!(reply.status, 200);
        }
        recorder
            .sample(Time::from_micros(1_000_000), minute())
            .await;
        recorder.flush(&memory).await.unwrap();
        let record = gather_record(&memory).await;
        assert_eq!(total(&record), (5, 0));
        let kegs: ServiceName = "kegs".parse().unwrap();
        let sum = record.sum(&kegs, minute(), 5);
        let busy: Duration = sum.busy_time.values().sum();
        assert!(busy >= Duration::from_millis(100), "{sum:?}");
        assert_eq!(sum.observed, Duration::from_secs(1));
    };
    LocalSet::new().run_until(run).await;
}

/// An instance is killed and restarted within an hour, and the object store is unreachable after
/// the restart. The page of the first process must not be overwritten by that of the second, and
/// requests counted while the store was unreachable must not be lost.
#[tokio::test(flavor = "multi_thread")]
async fn a_replaced_instance_keeps_what_was_written() {
    let run = async {
        let platform = PlatformServer::start(ANY.parse().unwrap()).await.unwrap();
        let store = HttpPlatform::new(platform.address);
        let (address, handle) = traffic(&platform.memory).await;
        let hour = minute();
        let mut first = recorder(&handle);
        get(address, "/kegs/bar-1").await.unwrap();
        first.sample(Time::from_micros(0), hour).await;
        first.flush(&store).await.unwrap();
        drop(first);

        let mut second = recorder(&handle);
        platform.faults.update(|settings| settings.is_down = true);
        get(address, "/kegs/bar-2").await.unwrap();
        second.sample(Time::from_micros(0), hour).await;
        assert!(second.flush(&store).await.is_err());
        get(address, "/kegs/bar-3").await.unwrap();
        second.sample(Time::from_micros(1_000_000), hour).await;
        platform.faults.update(|settings| settings.is_down = false);
        second.flush(&store).await.unwrap();
        second.flush(&store).await.unwrap();
        assert_eq!(total(&gather_record(&store).await), (3, 0));
    };
    LocalSet::new().run_until(run).await;
}

/// Pages are overwritten after eight hours, so that the store does not grow with the running time
/// of an instance.
#[tokio::test]
async fn an_instance_keeps_eight_pages() {
    let memory = MemoryPlatform::default();
    let run = async {
        let (_, handle) = traffic(&memory).await;
        let mut recorder = recorder(&handle);
        for hour in 0..20 {
            let minute = Minute((1_000 + hour) * Minute::MINUTES_PER_HOUR);
            recorder.sample(Time::from_micros(hour), minute).await;
            recorder.flush(&memory).await.unwrap();
        }
        let names = ObjectStore::list(&memory, PAGE_PREFIX).await.unwrap();
        assert_eq!(names.len(), 8);
    };
    LocalSet::new().run_until(run).await;
}
