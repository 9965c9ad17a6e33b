//! Whether an exchange that is given up may have reached its server.

use {
    crate::traffic::socket::SocketState,
    std::{cell::Cell, rc::Rc},
};

/// Exchange in progress on a connection. When it ends or is dropped, it records whether any
/// byte of the request was written to the socket.
///
/// A request is handed to the task of its connection, which writes it later. If the deadline
/// passes in between, the task is stopped before it has written anything. The mark is dropped
/// together with the connection, on the thread that runs the task, so that nothing is
/// written after it was read.
#[derive(Debug)]
pub struct SentMark<'a> {
    may_be_sent: &'a Cell<bool>,
    socket: Rc<SocketState>,
    written_before: u64,
}

impl<'a> SentMark<'a> {
    /// Begins an exchange on a connection. `may_be_sent` is set once it has ended, if anything
    /// was written.
    pub fn new(may_be_sent: &'a Cell<bool>, socket: &Rc<SocketState>) -> Self {
        Self {
            may_be_sent,
            socket: Rc::clone(socket),
            written_before: socket.written_bytes(),
        }
    }

    /// Whether any byte was written to the socket.
    pub fn is_sent(&self) -> bool {
        self.socket.written_bytes() > self.written_before
    }
}

impl Drop for SentMark<'_> {
    fn drop(&mut self) {
        if self.is_sent() {
            self.may_be_sent.set(true);
        }
    }
}
