//! Why a message is refused before it is parsed.

use {http::StatusCode, std::fmt};

/// Path of the request that stands in for a refused one.
const PATH: &str = "/.citron/refused/";

/// What is wrong with a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// A control character, NUL among them, or a line that does not end in CRLF.
    Byte,
    /// A request line that is not `METHOD TARGET HTTP/1.x`.
    Line,
    /// A header without a valid name, or a space before its colon.
    Name,
    /// A header that is continued on the next line.
    Fold,
    /// A `Content-Length` that is repeated or not a plain number.
    Length,
    /// A `Transfer-Encoding` that is repeated or not just `chunked`.
    Encoding,
    /// Both of them.
    Both,
    /// No `Host`, or more than one.
    Host,
    /// A head that is too large.
    Large,
    /// A head that is allowed by now, and too large for a connection that is older.
    Room,
}

impl Refusal {
    const ALL: [Self; 10] = [
        Self::Byte,
        Self::Line,
        Self::Name,
        Self::Fold,
        Self::Length,
        Self::Encoding,
        Self::Both,
        Self::Host,
        Self::Large,
        Self::Room,
    ];

    /// The status of the answer.
    pub fn status(self) -> StatusCode {
        match self {
            Self::Large => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::Room => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::BAD_REQUEST,
        }
    }

    /// A request that the proxy answers with this refusal. It takes the place of
    /// the refused one, so that the caller gets an answer with its outcome.
    pub fn stand_in(self) -> Vec<u8> {
        let number = self as u8;
        let line = format!("GET {PATH}{number} HTTP/1.1\r\nhost: refused\r\n");
        format!("{line}connection: close\r\n\r\n").into_bytes()
    }

    /// The refusal that a stand-in's path names. A caller that asks for such a
    /// path by itself is refused as well.
    pub fn of_path(path: &str) -> Option<Self> {
        let number = path.strip_prefix(PATH)?.parse::<u8>().ok()?;
        Self::ALL
            .into_iter()
            .find(|refusal| *refusal as u8 == number)
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Byte => "the head holds a control character or a line without CRLF",
            Self::Line => "the request line is malformed",
            Self::Name => "a header's name is malformed",
            Self::Fold => "a header is folded",
            Self::Length => "Content-Length is repeated or malformed",
            Self::Encoding => "Transfer-Encoding is repeated or not 'chunked'",
            Self::Both => "Content-Length and Transfer-Encoding are both given",
            Self::Host => "Host is missing or repeated",
            Self::Large => "the head is too large",
            Self::Room => "the head is too large for this connection, not for a new one",
        })
    }
}
