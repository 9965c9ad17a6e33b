//! Reasons for refusing a message before it is parsed.

use {http::StatusCode, std::fmt};

/// Path prefix of the request that replaces a refused one.
const REFUSED_PATH: &str = "/.citron/refused/";

/// Reason for refusing a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// A control character such as NUL, or a line that does not end in CRLF.
    InvalidByte,
    /// A request line that is not `METHOD TARGET HTTP/1.x`.
    RequestLine,
    /// A header without a valid name, or with a space before its colon.
    HeaderName,
    /// A header that continues on the next line (obsolete line folding).
    FoldedHeader,
    /// A `Content-Length` that is repeated or is not a plain number.
    ContentLength,
    /// A `Transfer-Encoding` that is repeated or is not exactly `chunked`.
    TransferEncoding,
    /// Both `Content-Length` and `Transfer-Encoding`.
    ConflictingFraming,
    /// No `Host`, or more than one.
    Host,
    /// A head that exceeds the configured size or number of headers.
    HeadTooLarge,
    /// A head within the configured size that exceeds the read buffer of this connection,
    /// which was accepted under a lower limit.
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

    /// HTTP status of the response.
    pub fn status(self) -> StatusCode {
        match self {
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BufferTooSmall => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::BAD_REQUEST,
        }
    }

    /// Returns a request that is passed to the HTTP library instead of the refused one.
    /// The proxy responds to it with this refusal, so that the response states the
    /// outcome.
    pub fn substitute_request(self) -> Vec<u8> {
        let number = self as u8;
        let line = format!("GET {REFUSED_PATH}{number} HTTP/1.1\r\nhost: refused\r\n");
        format!("{line}connection: close\r\n\r\n").into_bytes()
    }

    /// Returns the refusal that a substitute request's path names. A client that requests
    /// such a path itself is refused too.
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
