//! What was written of a request, also by an exchange that is given up.

use {
    crate::traffic::{
        pool::{Connection, ConnectionId},
        socket::SocketState,
    },
    std::{cell::Cell, fmt, rc::Rc},
};

/// What an exchange has written of its request.
#[derive(Debug, Clone, Copy)]
pub struct SentRecord {
    connection: ConnectionId,
    is_reused: bool,
    bytes: u64,
}

impl SentRecord {
    /// Whether any byte was written to the socket.
    pub fn is_sent(&self) -> bool {
        self.bytes > 0
    }
}

impl fmt::Display for SentRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            connection,
            is_reused,
            bytes,
        } = self;
        write!(
            f,
            "connection={connection} used={is_reused} written={bytes}"
        )
    }
}

/// Exchange in progress on a connection. When it ends or is dropped, it records how many bytes
/// of the request were written to the socket.
///
/// A request is handed to the task of its connection, which writes it later. If the deadline
/// passes in between, the task is stopped before it has written anything. The mark is dropped
/// together with the connection, on the thread that runs the task, so that nothing is
/// written after it was read.
#[derive(Debug)]
pub struct SentMark<'a> {
    record: &'a Cell<Option<SentRecord>>,
    connection: ConnectionId,
    is_reused: bool,
    socket: Rc<SocketState>,
    written_before: u64,
}

impl<'a> SentMark<'a> {
    /// Begins an exchange on a connection. `record` is set once it has ended. Of two exchanges
    /// at the same time, it is that of one which has written something, if there is one.
    pub fn new(record: &'a Cell<Option<SentRecord>>, connection: &Connection) -> Self {
        Self {
            record,
            connection: connection.id,
            is_reused: connection.is_reused,
            written_before: connection.socket.written_bytes(),
            socket: Rc::clone(&connection.socket),
        }
    }

    /// Whether any byte was written to the socket.
    pub fn is_sent(&self) -> bool {
        self.to_record().is_sent()
    }

    fn to_record(&self) -> SentRecord {
        SentRecord {
            connection: self.connection,
            is_reused: self.is_reused,
            bytes: self.socket.written_bytes() - self.written_before,
        }
    }
}

impl Drop for SentMark<'_> {
    fn drop(&mut self) {
        let is_recorded = self.record.get().is_some_and(|record| record.is_sent());
        if !is_recorded {
            self.record.set(Some(self.to_record()));
        }
    }
}
