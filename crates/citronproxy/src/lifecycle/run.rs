//! The drive of the states.

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

/// How long an instance that leaves still takes connections: balancers ask
/// `/readyz` now and then, and send requests until they have seen its answer.
pub const LEAVE_GRACE: Duration = Duration::from_secs(1);

/// Waits for SIGTERM or SIGINT, then for the end of all requests under way,
/// however long they take. Whatever requests need must go on meanwhile;
/// `on_leave` is called when the signal comes.
///
/// # Errors
/// If the signals cannot be caught.
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
