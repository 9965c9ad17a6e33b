//! One request on one connection.

use {
    super::{
        in_flight::Flight,
        pool::{Connection, Pool},
        request_body::{Source, Upload},
        socket::Leave,
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
    Leave,
    /// The connection broke before a byte of the request was written.
    #[error("before the request: {0}")]
    Before(hyper::Error),
    /// It broke after that.
    #[error("after the request was begun: {0}")]
    After(hyper::Error),
}

/// An exchange under way. Dropped before its end, it takes the connection with
/// it: an answer that is still to come must never meet another request.
#[derive(Debug)]
pub struct Exchange {
    flight: Flight,
    connection: Connection,
    pool: Pool,
    address: SocketAddr,
    source: Rc<Source>,
    begun: u64,
}

impl Exchange {
    /// Puts a connection to a request's use.
    pub fn new(
        pool: &Pool,
        address: SocketAddr,
        connection: Connection,
        flight: Flight,
        source: &Rc<Source>,
    ) -> Self {
        Self {
            begun: connection.wire.written(),
            flight,
            connection,
            pool: pool.clone(),
            address,
            source: Rc::clone(source),
        }
    }

    /// Writes the request and reads the head of the answer. The server may run
    /// it until `until`.
    ///
    /// # Errors
    /// All but [`ExchangeError::After`] are certain: the server saw nothing.
    pub async fn send(
        &mut self,
        request: Request<Upload>,
        leave: Leave,
        until: Time,
    ) -> Result<Response<Incoming>, ExchangeError> {
        self.connection.wire.arm(leave);
        self.flight.written(until);
        let sent = self.connection.sender.try_send_request(request).await;
        sent.map_err(|error| {
            let wire = &self.connection.wire;
            if wire.written() > self.begun {
                return ExchangeError::After(error.into_error());
            }
            self.flight.settled();
            match wire.refused() {
                true => ExchangeError::Leave,
                false => ExchangeError::Before(error.into_error()),
            }
        })
    }

    /// Whether the request's body is small enough to be kept.
    pub fn is_small(&self) -> bool {
        self.source.replayable()
    }

    /// Ends it with a whole answer. The connection is kept only if the whole
    /// request was written too: the server would take the rest for a new one.
    pub fn finish(mut self) {
        self.flight.settled();
        if self.source.whole() {
            self.pool.give(self.address, self.connection);
        }
    }

    /// Ends it with the server's promise that it does not run the request.
    pub fn refused(mut self, whole: bool) {
        self.flight.settled();
        if whole {
            self.finish();
        }
    }
}
