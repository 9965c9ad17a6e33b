//! Steps of a connection's script.

use std::time::Duration;

/// One step of a connection's script.
#[derive(Debug, Clone)]
pub enum Step {
    /// Reads this number of bytes.
    Read(usize),
    /// Reads the head of a request, up to the blank line.
    ReadHead,
    /// Reads a complete request with a `Content-Length` or chunked body, and counts it.
    ReadRequest,
    /// Writes this text.
    Write(String),
    /// Waits for this time.
    Pause(Duration),
    /// Closes the connection with a TCP reset.
    Reset,
    /// Keeps the connection open without writing, and discards input until the peer closes
    /// the connection.
    Hang,
}

impl Step {
    /// Creates a step that writes a response with status 200 and this body.
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

    /// Creates a step that writes this text.
    pub fn write(text: &str) -> Self {
        Self::Write(text.to_string())
    }
}
