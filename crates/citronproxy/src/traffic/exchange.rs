//! One request on one connection.

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

/// Why an exchange gave no answer.
#[derive(Debug, Error)]
pub enum ExchangeError {
    /// The leave to route had ended when the request was to be written.
    #[error("the owner of the key is not certain now")]
    PermitExpired,
    /// The connection broke before a byte of the request was written.
    #[error("before the request: {0}")]
    BeforeWrite(hyper::Error),
    /// It broke after that.
    #[error("after the request was begun: {0}")]
    AfterWrite(hyper::Error),
}

/// An exchange under way. Dropped before its end, it takes the connection with
/// it: an answer that is still to come must never meet another request.
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
    /// Puts a connection to a request's use.
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

    /// Writes the request and reads the head of the answer. The server may run
    /// it until `until`.
    ///
    /// # Errors
    /// All but [`ExchangeError::AfterWrite`] are certain: the server saw nothing.
    pub async fn send(
        &mut self,
        request: Request<UpstreamBody>,
        permit: WritePermit,
        runs_until: Time,
    ) -> Result<Response<Incoming>, ExchangeError> {
        self.connection.socket.set_permit(permit);
        self.in_flight.mark_written(runs_until);
        let sent = self.connection.sender.try_send_request(request).await;
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

    /// Whether the request's body is small enough to be kept.
    pub fn is_replayable(&self) -> bool {
        self.body.is_replayable()
    }

    /// Ends it with a whole answer. The connection is kept only if the whole
    /// request was written too: the server would take the rest for a new one.
    pub fn finish(mut self) {
        self.in_flight.mark_settled();
        if self.body.is_complete() {
            self.pool.release(self.address, self.connection);
        }
    }

    /// Ends it with the server's promise that it does not run the request.
    pub fn finish_refused(mut self, is_complete: bool) {
        self.in_flight.mark_settled();
        if is_complete {
            self.finish();
        }
    }
}
