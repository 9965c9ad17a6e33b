//! Why a message is refused before it is parsed.

use {http::StatusCode, std::fmt};

/// Path of the request that stands in for a refused one.
const REFUSED_PATH: &str = "/.citron/refused/";

/// What is wrong with a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// A control character, NUL among them, or a line that does not end in CRLF.
    InvalidByte,
    /// A request line that is not `METHOD TARGET HTTP/1.x`.
    RequestLine,
    /// A header without a valid name, or a space before its colon.
    HeaderName,
    /// A header that is continued on the next line.
    FoldedHeader,
    /// A `Content-Length` that is repeated or not a plain number.
    ContentLength,
    /// A `Transfer-Encoding` that is repeated or not just `chunked`.
    TransferEncoding,
    /// Both of them.
    ConflictingFraming,
    /// No `Host`, or more than one.
    Host,
    /// A head that is too large.
    HeadTooLarge,
    /// A head that is allowed by now, and too large for a connection that is older.
    BufferTooSmall,
}

impl Refusal {
    const ALL: [Self; 10] = [
        Self::InvalidByte,
        Self::RequestLine,
        Self::HeaderName,
        Self::FoldedHeader,
        Self::ContentLength,
        Self::TransferEncoding,
        Self::ConflictingFraming,
        Self::Host,
        Self::HeadTooLarge,
        Self::BufferTooSmall,
    ];

    /// The status of the answer.
    pub fn status(self) -> StatusCode {
        match self {
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BufferTooSmall => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::BAD_REQUEST,
        }
    }

    /// A request that the proxy answers with this refusal. It takes the place of
    /// the refused one, so that the caller gets an answer with its outcome.
    pub fn substitute_request(self) -> Vec<u8> {
        let number = self as u8;
        let line = format!("GET {REFUSED_PATH}{number} HTTP/1.1\r\nhost: refused\r\n");
        format!("{line}connection: close\r\n\r\n").into_bytes()
    }

    /// The refusal that a stand-in's path names. A caller that asks for such a
    /// path by itself is refused as well.
    pub fn from_path(path: &str) -> Option<Self> {
        let number = path.strip_prefix(REFUSED_PATH)?.parse::<u8>().ok()?;
        Self::ALL
            .into_iter()
            .find(|refusal| *refusal as u8 == number)
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::InvalidByte => "the head holds a control character or a line without CRLF",
            Self::RequestLine => "the request line is malformed",
            Self::HeaderName => "a header's name is malformed",
            Self::FoldedHeader => "a header is folded",
            Self::ContentLength => "Content-Length is repeated or malformed",
            Self::TransferEncoding => "Transfer-Encoding is repeated or not 'chunked'",
            Self::ConflictingFraming => "Content-Length and Transfer-Encoding are both given",
            Self::Host => "Host is missing or repeated",
            Self::HeadTooLarge => "the head is too large",
            Self::BufferTooSmall => "the head is too large for this connection, not for a new one",
        })
    }
}
