//! Places in a response at which bytes without end come.

use super::HeaderLines;

/// Place in a response at which bytes without end come, until the peer closes the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FloodKind {
    /// Bytes that are no response.
    Garbage,
    /// Empty lines before the status line.
    EmptyLines,
    /// Interim responses, without a final one.
    Interim,
    /// One header field.
    Field,
    /// Further header fields.
    Fields,
    /// A body with a length.
    Length,
    /// A body without a length.
    UntilClose,
    /// Chunks.
    Chunks,
    /// Digits of the size of a chunk.
    ChunkSize,
    /// Extension of a chunk.
    ChunkExtension,
    /// Trailer fields.
    Trailers,
    /// Bytes after a complete response.
    Excess,
    /// The body of a rejection that guarantees that the request has not run.
    Rejection,
}

impl FloodKind {
    /// All kinds.
    pub const ALL: [Self; 13] = [
        Self::Garbage,
        Self::EmptyLines,
        Self::Interim,
        Self::Field,
        Self::Fields,
        Self::Length,
        Self::UntilClose,
        Self::Chunks,
        Self::ChunkSize,
        Self::ChunkExtension,
        Self::Trailers,
        Self::Excess,
        Self::Rejection,
    ];

    /// Whether the bytes may be the body of a proper response, however long.
    pub fn is_body(self) -> bool {
        matches!(self, Self::Length | Self::UntilClose | Self::Chunks)
    }

    /// Beginning of the response to a request with this id, with header lines of the protocol.
    pub fn beginning(self, id: &str, lines: &HeaderLines) -> String {
        let head = |status: &str, fields: &str| {
            let lines = lines.response;
            format!("HTTP/1.1 {status}\r\nrequest-id: {id}\r\n{lines}{fields}")
        };
        let chunked = "transfer-encoding: chunked\r\n\r\n";
        match self {
            Self::Garbage | Self::EmptyLines | Self::Interim => String::new(),
            Self::Field => head("200 OK", "x-long: "),
            Self::Fields => head("200 OK", ""),
            Self::Length => head("200 OK", "content-length: 900000000000000\r\n\r\n"),
            Self::UntilClose => head("200 OK", "\r\n"),
            Self::Chunks => head("200 OK", chunked),
            Self::ChunkSize => head("200 OK", chunked),
            Self::ChunkExtension => head("200 OK", &format!("{chunked}5;")),
            Self::Trailers => head("200 OK", &format!("{chunked}2\r\nok\r\n0\r\n")),
            Self::Excess => head("200 OK", "content-length: 2\r\n\r\nok"),
            Self::Rejection => {
                let length = "content-length: 900000000000000\r\n\r\n";
                head("503 x", &format!("{}{length}", lines.rejection))
            }
        }
    }

    /// Bytes that are repeated after the beginning.
    pub fn pattern(self) -> &'static str {
        match self {
            Self::Garbage
            | Self::Field
            | Self::Length
            | Self::UntilClose
            | Self::ChunkExtension
            | Self::Excess
            | Self::Rejection => "x",
            Self::EmptyLines => "\r\n",
            Self::Interim => "HTTP/1.1 102 Processing\r\n\r\n",
            Self::Fields | Self::Trailers => "x-more: y\r\n",
            Self::Chunks => "8\r\nxxxxxxxx\r\n",
            Self::ChunkSize => "0",
        }
    }
}
