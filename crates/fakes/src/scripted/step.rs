//! Steps of a script.

use std::time::Duration;

/// One step on one connection.
#[derive(Debug, Clone)]
pub enum Step {
    /// Reads so many bytes.
    Read(usize),
    /// Reads one request to the end of its head.
    ReadHead,
    /// Reads one whole request, by `Content-Length` or in chunks, and counts it
    /// as run.
    ReadRequest,
    /// Writes this text.
    Write(String),
    /// Waits.
    Pause(Duration),
    /// Ends the connection with a reset.
    Reset,
    /// Keeps the connection, and reads and writes no more until it is closed.
    Hang,
}

impl Step {
    /// Writes an answer with this body and its length.
    ///
    /// ```
    /// use citron_fakes::scripted::Step;
    /// let Step::Write(text) = Step::respond("keg") else { panic!() };
    /// assert!(text.ends_with("\r\n\r\nkeg"));
    /// ```
    pub fn respond(body: &str) -> Self {
        let length = body.len();
        Self::Write(format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}"
        ))
    }

    /// Writes this text.
    pub fn write(text: &str) -> Self {
        Self::Write(text.to_string())
    }
}
