//! The threads of an instance, and its end.

use {
    super::{
        EdgeError, EdgeSettings, control,
        shared::SharedState,
        traffic::{self, Names},
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

/// Stack of a thread in bytes: requests are futures on the heap.
const STACK: usize = 512 * 1_024;

/// Runs an instance until a signal has asked it to leave and its requests have
/// ended. `file` is read again when SIGHUP tells that it has changed.
///
/// # Errors
/// If a thread or a listener cannot be started.
pub fn run<A>(adapter: A, settings: EdgeSettings, file: PathBuf) -> Result<(), EdgeError>
where
    A: Adapter + Send,
{
    let clock = Clock::start();
    let metrics = Metrics::new()?;
    let registry = metrics.registry().clone();
    let board = Arc::new(SharedState::default());
    let headers = adapter.headers().clone();
    let ready_path = adapter.ready_path().to_string();
    let (shared, known) = (Arc::clone(&board), settings.clone());
    let (failed, mut failure) = oneshot::channel();
    let builder = thread::Builder::new()
        .name("control".to_string())
        .stack_size(STACK);
    let control = builder.spawn(move || {
        let controlled = control::run(adapter, known, clock, shared, &registry);
        let ended = runtime().and_then(|runtime| runtime.block_on(controlled));
        // The receiver is gone only if traffic has ended before.
        let _ = failed.send(ended);
    });
    control.map_err(EdgeError::Thread)?;
    runtime()?.block_on(LocalSet::new().run_until(async move {
        let names = Names {
            headers,
            ready: ready_path,
        };
        let served = traffic::run(Arc::clone(&board), settings, clock, names, metrics);
        tokio::select! {
            served = served => served,
            ended = &mut failure => ended.unwrap_or(Ok(())),
            stopped = follow_signals(&board, file) => stopped,
        }
    }))?;
    log::info!("{}", events::STOPPED);
    Ok(())
}

fn runtime() -> Result<Runtime, EdgeError> {
    let runtime = Builder::new_current_thread().enable_all().build();
    runtime.map_err(EdgeError::Thread)
}

/// Tells of SIGTERM and SIGHUP for good.
async fn follow_signals(board: &SharedState, file: PathBuf) -> Result<(), EdgeError> {
    let caught = |kind| signal(kind).map_err(EdgeError::Signals);
    let mut terminate = caught(SignalKind::terminate())?;
    let mut interrupt = caught(SignalKind::interrupt())?;
    let mut hangup = caught(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => leave(board),
            _ = interrupt.recv() => leave(board),
            _ = hangup.recv() => reload(&file),
        }
    }
}

fn leave(board: &SharedState) {
    log::info!("{}", events::LEAVING);
    board.leave();
}

/// Addresses and names cannot change while a process runs; a file that does not
/// hold is told of before the next start.
fn reload(file: &Path) {
    match EdgeSettings::load(file) {
        Ok(_) => log::info!("{} {}", events::RELOADED, file.display()),
        Err(error) => log::error!("{} {error}", events::RELOADED),
    }
}
