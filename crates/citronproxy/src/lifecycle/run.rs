//! Runs the lifecycle on signals.

use {
    super::{Lifecycle, LifecycleEvent},
    crate::traffic::TrafficHandle,
    statig::blocking::IntoStateMachineExt,
    std::{io, time::Duration},
    tokio::{
        signal::unix::{SignalKind, signal},
        time::sleep,
    },
};

/// How long a leaving instance still accepts connections. Load balancers poll `/readyz`
/// periodically, and send requests until they have seen its answer.
pub const LEAVE_GRACE: Duration = Duration::from_secs(1);

/// Waits for SIGTERM or SIGINT, then until all requests in progress have ended, without a
/// time limit. The caller must keep running whatever those requests depend on. `on_leave`
/// is called when the signal arrives.
///
/// # Errors
/// If the signal handlers cannot be installed.
pub async fn run(handle: TrafficHandle, on_leave: impl FnOnce()) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut machine = Lifecycle::new(handle.clone()).state_machine();
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    machine.handle(&LifecycleEvent::LeaveRequested);
    on_leave();
    sleep(LEAVE_GRACE).await;
    machine.handle(&LifecycleEvent::GraceElapsed);
    handle.wait_stopped().await;
    machine.handle(&LifecycleEvent::RequestsEnded);
    Ok(())
}
