//! Threads of an instance, and its shutdown.

use {
    super::{
        EdgeError, EdgeSettings, control,
        shared::SharedState,
        traffic::{self, PlatformNames},
    },
    crate::{clock::Clock, events, traffic::metrics::Metrics},
    citron_ports::Adapter,
    std::{
        path::{Path, PathBuf},
        sync::Arc,
        thread,
    },
    tokio::{
        runtime::{Builder, Runtime},
        signal::unix::{SignalKind, signal},
        sync::oneshot,
        task::LocalSet,
    },
};

/// Stack size of the control thread in bytes. It can be small because requests are
/// futures on the heap.
const STACK_BYTES: usize = 512 * 1_024;

/// Runs an instance until a signal has asked it to leave and its requests have ended.
/// `settings_file` is checked again on SIGHUP.
///
/// # Errors
/// If a thread or a listener cannot be started.
pub fn run<A>(adapter: A, settings: EdgeSettings, settings_file: PathBuf) -> Result<(), EdgeError>
where
    A: Adapter + Send,
{
    let clock = Clock::start();
    let metrics = Metrics::new()?;
    let registry = metrics.registry().clone();
    let shared = Arc::new(SharedState::default());
    let headers = adapter.headers().clone();
    let ready_path = adapter.ready_path().to_string();
    let (control_shared, control_settings) = (Arc::clone(&shared), settings.clone());
    let (result_sender, mut control_result) = oneshot::channel();
    let builder = thread::Builder::new()
        .name("control".to_string())
        .stack_size(STACK_BYTES);
    let thread = builder.spawn(move || {
        let control = control::run(adapter, control_settings, clock, control_shared, &registry);
        let result = runtime().and_then(|runtime| runtime.block_on(control));
        // The receiver is dropped early only if traffic has ended first.
        let _ = result_sender.send(result);
    });
    thread.map_err(EdgeError::Thread)?;
    runtime()?.block_on(LocalSet::new().run_until(async move {
        let names = PlatformNames {
            headers,
            readiness_path: ready_path,
        };
        let traffic = traffic::run(Arc::clone(&shared), settings, clock, names, metrics);
        tokio::select! {
            traffic = traffic => traffic,
            result = &mut control_result => result.unwrap_or(Ok(())),
            stopped = handle_signals(&shared, settings_file) => stopped,
        }
    }))?;
    log::info!("{}", events::STOPPED);
    Ok(())
}

fn runtime() -> Result<Runtime, EdgeError> {
    let runtime = Builder::new_current_thread().enable_all().build();
    runtime.map_err(EdgeError::Thread)
}

/// Handles SIGTERM, SIGINT and SIGHUP until the process exits.
async fn handle_signals(shared: &SharedState, settings_file: PathBuf) -> Result<(), EdgeError> {
    let subscribe = |kind| signal(kind).map_err(EdgeError::Signals);
    let mut terminate = subscribe(SignalKind::terminate())?;
    let mut interrupt = subscribe(SignalKind::interrupt())?;
    let mut hangup = subscribe(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => start_leaving(shared),
            _ = interrupt.recv() => start_leaving(shared),
            _ = hangup.recv() => check_settings(&settings_file),
        }
    }
}

fn start_leaving(shared: &SharedState) {
    log::info!("{}", events::LEAVING);
    shared.start_leaving();
}

/// Checks the settings file and logs the result, so that an error is noticed before the
/// next start. Changed settings do not take effect: addresses and names are fixed while a
/// process runs.
fn check_settings(settings_file: &Path) {
    match EdgeSettings::load(settings_file) {
        Ok(_) => log::info!("{} {}", events::SETTINGS_RELOADED, settings_file.display()),
        Err(error) => log::error!("{} {error}", events::SETTINGS_RELOADED),
    }
}
