//! One request and its response on one connection.

use {
    super::{
        in_flight::InFlightRequest,
        pool::{Connection, Pool},
        request_body::{ClientBody, UpstreamBody},
        socket::WritePermit,
    },
    citron_core::time::Time,
    http::{Request, Response},
    hyper::body::Incoming,
    std::{net::SocketAddr, rc::Rc},
    thiserror::Error,
};

/// Reason why an exchange ended without a response.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// The routing lease had expired right before the request was written.
    #[error("routing lease expired before the write")]
    PermitExpired,
    /// The connection failed before any byte of the request was written.
    #[error("connection failed before the request was written: {0}")]
    BeforeWrite(hyper::Error),
    /// The connection failed after bytes of the request were written.
    #[error("connection failed after the start of the request: {0}")]
    AfterWrite(hyper::Error),
}

/// Exchange in progress. Dropping it early closes the connection, since a response that
/// arrives late must never be taken for that of another request.
#[derive(Debug)]
pub struct Exchange {
    in_flight: InFlightRequest,
    connection: Connection,
    pool: Pool,
    address: SocketAddr,
    body: Rc<ClientBody>,
    start_bytes: u64,
}

impl Exchange {
    /// Creates an exchange that uses the connection for one request.
    pub fn new(
        pool: &Pool,
        address: SocketAddr,
        connection: Connection,
        in_flight: InFlightRequest,
        body: &Rc<ClientBody>,
    ) -> Self {
        Self {
            start_bytes: connection.socket.written_bytes(),
            in_flight,
            connection,
            pool: pool.clone(),
            address,
            body: Rc::clone(body),
        }
    }

    /// Writes the request and reads the head of the response. The server may run the
    /// request until `runs_until`.
    ///
    /// # Errors
    /// With any error but [`ExchangeError::AfterWrite`], the server has received nothing
    /// of the request.
    pub async fn send(
        &mut self,
        request: Request<UpstreamBody>,
        permit: WritePermit,
        runs_until: Time,
    ) -> Result<Response<Incoming>, ExchangeError> {
        self.connection.socket.set_permit(permit);
        self.in_flight.mark_written(runs_until);
        let sent = self.connection.send(request).await;
        sent.map_err(|error| {
            let socket = &self.connection.socket;
            if socket.written_bytes() > self.start_bytes {
                return ExchangeError::AfterWrite(error.into_error());
            }
            self.in_flight.mark_settled();
            match socket.is_write_denied() {
                true => ExchangeError::PermitExpired,
                false => ExchangeError::BeforeWrite(error.into_error()),
            }
        })
    }

    /// Records that a part of the response was received.
    pub fn record_progress(&self) {
        self.connection.socket.record_progress();
    }

    /// Whether the request body is small enough to be buffered completely.
    pub fn is_replayable(&self) -> bool {
        self.body.is_replayable()
    }

    /// Ends the exchange after a complete response. The connection is reused only if the
    /// request was written completely too; otherwise the server would take the rest of it
    /// for a new request.
    pub fn finish(mut self) {
        self.in_flight.mark_settled();
        if self.body.is_complete() {
            self.pool.release(self.address, self.connection);
        }
    }

    /// Ends the exchange after the server guaranteed that it does not run the request.
    /// `is_complete` states whether the response was read completely.
    pub fn finish_refused(mut self, is_complete: bool) {
        self.in_flight.mark_settled();
        if is_complete {
            self.finish();
        }
    }
}
