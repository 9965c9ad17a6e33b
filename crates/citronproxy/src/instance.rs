//! Runs one instance, from its settings to a graceful exit.

use {
    citron_core::{id::Incarnation, membership::Member},
    citron_ports::{HttpPlatform, IdempotentStore, ServerClient},
    citronproxy::{
        admin::{self, AdminApi, AdminListener},
        clock::Clock,
        control::{Control, ControlConfig, ControlMetrics},
        events, lifecycle,
        settings::Settings,
        slo::Recorder,
        traffic::{self, TrafficHandle},
    },
    std::{
        error::Error,
        io::{self, Write},
        net::SocketAddr,
        rc::Rc,
    },
    tokio::{
        runtime::Builder,
        task::{LocalSet, spawn_local},
    },
};

/// Runs an instance until a signal asks it to leave and the last request has ended.
pub fn run(settings: Settings) -> Result<(), Box<dyn Error>> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let clock = Clock::start();
    let handle = TrafficHandle::default();
    let workers = traffic::start(settings.traffic, settings.threads, &handle, clock)?;
    log::info!(
        "{} {} on {}",
        events::STARTED,
        settings.instance,
        workers.address
    );
    print_address("traffic", workers.address);
    let control = run_control(settings, workers.address, handle, clock);
    LocalSet::new().block_on(&runtime, control)?;
    workers.close();
    Ok(())
}

/// Prints a bound address, from which the caller learns the port if the settings say 0. A
/// failure is ignored, as standard output may be closed.
fn print_address(what: &str, address: SocketAddr) {
    let _ = writeln!(io::stdout(), "{what} {address}");
}

async fn run_control(
    settings: Settings,
    traffic: SocketAddr,
    handle: TrafficHandle,
    clock: Clock,
) -> Result<(), Box<dyn Error>> {
    let member = Member {
        instance: settings.instance.clone(),
        incarnation: Incarnation(rand::random()),
    };
    start_recorder(&settings, &handle, clock);
    let server = AdminListener::bind(settings.admin).await?;
    print_address("admin", server.address);
    let admin_store = admin_store(&settings, &member);
    // The writer id is new at each start, because the numbers of a writer's commits start
    // again.
    let writer = format!("{}/{}", member.instance, member.incarnation);
    let store = IdempotentStore::new(HttpPlatform::new(settings.platform), writer);
    let config = ControlConfig {
        member,
        domain: settings.domain.clone(),
        traffic,
        peer: settings.peer,
        advertise: settings.advertise,
        admin: server.address,
        seeds: settings.seeds,
    };
    let metrics = ControlMetrics::new(handle.registry())?;
    let ports = (store, ServerClient::default());
    let start = Control::start(config, ports, handle.clone(), clock, metrics);
    let mut control = start.await?;
    print_address("peer", control.address);
    let admin = AdminApi {
        instance: settings.instance,
        domain: settings.domain,
        store: admin_store,
        control: control.node().clone(),
        token: settings.token,
    };
    spawn_local(admin::serve(server, Rc::new(admin)));
    let node = control.node().clone();
    tokio::select! {
        left = lifecycle::run(handle, move || node.mark_leaving()) => left?,
        error = control.wait_failed() => return Err(error.into()),
    }
    control.close().await;
    Ok(())
}

/// Starts recording counts for service-level objectives.
fn start_recorder(settings: &Settings, handle: &TrafficHandle, clock: Clock) {
    let store = HttpPlatform::new(settings.platform);
    let (instance, domain) = (settings.instance.clone(), settings.domain.clone());
    let recorder = Recorder::new(instance, domain, handle.clone());
    spawn_local(recorder.run(store, clock));
}

/// Table store for operators' edits. It has a separate writer id, so that an edit whose
/// outcome is being determined does not delay commits of the control thread.
fn admin_store(settings: &Settings, member: &Member) -> IdempotentStore<HttpPlatform> {
    let writer = format!("{}/{}/admin", member.instance, member.incarnation);
    IdempotentStore::new(HttpPlatform::new(settings.platform), writer)
}
