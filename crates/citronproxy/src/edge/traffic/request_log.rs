//! Log lines of a request in progress.

use {
    crate::{clock::Clock, events},
    citron_core::{id::InstanceId, time::Time},
    std::fmt,
};

/// Writes log lines of one request.
#[derive(Debug, Clone, Copy)]
pub struct RequestLog<'a> {
    /// Id of the request.
    pub request_id: &'a str,
    /// Time at which the request was received.
    pub started: Time,
    /// Clock of that time.
    pub clock: Clock,
}

impl RequestLog<'_> {
    /// Logs an attempt that is given up since the response came from another one.
    pub fn superseded(&self, attempt: &str) {
        log::info!(
            "{} id={} waited={:?}: {attempt} given up, another attempt has responded",
            events::TRY_FAILED,
            self.request_id,
            self.clock.now() - self.started
        );
    }

    /// Logs an attempt through another instance that failed.
    /// `sent` is what it has written, with a space before.
    pub fn failed_detour(&self, instance: &InstanceId, sent: &str, result: &impl fmt::Display) {
        log::info!(
            "{} id={} through {instance}{sent}: {result}",
            events::TRY_FAILED,
            self.request_id
        );
    }
}

/// Logs a request that is dropped before it has a response, with the attempt in progress.
#[derive(Debug)]
pub struct AbandonmentLog<'a> {
    log: RequestLog<'a>,
    is_abandoned: bool,
}

impl<'a> AbandonmentLog<'a> {
    /// Writes the line when the log is dropped, unless it is canceled before.
    pub fn new(log: RequestLog<'a>) -> Self {
        Self {
            log,
            is_abandoned: true,
        }
    }

    /// The request has a response.
    pub fn cancel(&mut self) {
        self.is_abandoned = false;
    }
}

impl Drop for AbandonmentLog<'_> {
    fn drop(&mut self) {
        if self.is_abandoned {
            log::info!(
                "{} id={} waited={:?}: the connection of its client has closed",
                events::TRY_FAILED,
                self.log.request_id,
                self.log.clock.now() - self.log.started
            );
        }
    }
}
