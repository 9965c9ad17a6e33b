//! Validator of request heads.

use super::Refusal;

/// Maximum number of headers in a request.
const MAX_HEADERS: usize = 96;
/// Maximum number of digits in a `Content-Length`.
const MAX_LENGTH_DIGITS: usize = 18;

/// How the end of a request body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// The body has this many bytes.
    Length(u64),
    /// The body ends with its last chunk.
    Chunked,
}

/// Finds the end of a head. Bytes before `scanned` were checked by an earlier call.
/// `None` if the head is incomplete.
pub fn find_end(bytes: &[u8], scanned: usize) -> Result<Option<usize>, Refusal> {
    for position in scanned..bytes.len() {
        let previous = position.checked_sub(1).map(|previous| bytes[previous]);
        match bytes[position] {
            b'\n' if previous != Some(b'\r') => return Err(Refusal::InvalidByte),
            b'\n' if position >= 3 && bytes[position - 3..position] == *b"\r\n\r" => {
                return Ok(Some(position + 1));
            }
            b'\n' | b'\r' | b'\t' => {}
            0..0x20 | 0x7f => return Err(Refusal::InvalidByte),
            _ => {}
        }
        if previous == Some(b'\r') && bytes[position] != b'\n' {
            return Err(Refusal::InvalidByte);
        }
    }
    Ok(None)
}

/// Validates a complete head and returns the framing of the body.
pub fn check(head: &[u8]) -> Result<Framing, Refusal> {
    let mut lines = head
        .split(|byte| *byte == b'\n')
        .map(|line| line.trim_ascii_end());
    let is_http10 = parse_request_line(lines.next().unwrap_or_default())?;
    let mut fields = HeaderFields::default();
    for line in lines.take_while(|line| !line.is_empty()) {
        fields.add_line(line)?;
    }
    fields.framing(is_http10)
}

/// Validates the request line. Returns whether the version is HTTP/1.0.
fn parse_request_line(line: &[u8]) -> Result<bool, Refusal> {
    let mut words = line.split(|byte| *byte == b' ');
    let method = words.next().unwrap_or_default();
    let target = words.next().unwrap_or_default();
    let version = words.next().unwrap_or_default();
    let is_complete = is_token(method) && !target.is_empty() && words.next().is_none();
    let has_tab = line.contains(&b'\t');
    match version {
        b"HTTP/1.1" if is_complete && !has_tab => Ok(false),
        b"HTTP/1.0" if is_complete && !has_tab => Ok(true),
        _ => Err(Refusal::RequestLine),
    }
}

#[derive(Default)]
struct HeaderFields {
    count: usize,
    hosts: usize,
    length: Option<u64>,
    is_chunked: bool,
}

impl HeaderFields {
    fn add_line(&mut self, line: &[u8]) -> Result<(), Refusal> {
        self.count += 1;
        if self.count > MAX_HEADERS {
            return Err(Refusal::HeadTooLarge);
        }
        if line[0] == b' ' || line[0] == b'\t' {
            return Err(Refusal::FoldedHeader);
        }
        let colon = line.iter().position(|byte| *byte == b':');
        let (name, value) = line.split_at(colon.ok_or(Refusal::HeaderName)?);
        let value = value[1..].trim_ascii();
        if !is_token(name) {
            return Err(Refusal::HeaderName);
        }
        match name.to_ascii_lowercase().as_slice() {
            b"host" => self.hosts += 1,
            b"content-length" => self.add_length(value)?,
            b"transfer-encoding" => self.add_encoding(value)?,
            _ => {}
        }
        Ok(())
    }

    fn add_length(&mut self, value: &[u8]) -> Result<(), Refusal> {
        let is_plain =
            (1..=MAX_LENGTH_DIGITS).contains(&value.len()) && value.iter().all(u8::is_ascii_digit);
        if !is_plain || self.length.is_some() {
            return Err(Refusal::ContentLength);
        }
        let digits = value.iter().map(|digit| u64::from(digit - b'0'));
        self.length = Some(digits.fold(0, |sum, digit| sum * 10 + digit));
        Ok(())
    }

    fn add_encoding(&mut self, value: &[u8]) -> Result<(), Refusal> {
        if self.is_chunked || !value.eq_ignore_ascii_case(b"chunked") {
            return Err(Refusal::TransferEncoding);
        }
        self.is_chunked = true;
        Ok(())
    }

    fn framing(&self, is_http10: bool) -> Result<Framing, Refusal> {
        if self.hosts != 1 && !(is_http10 && self.hosts == 0) {
            return Err(Refusal::Host);
        }
        match (self.length, self.is_chunked) {
            (Some(_), true) => Err(Refusal::ConflictingFraming),
            (None, true) if is_http10 => Err(Refusal::TransferEncoding),
            (None, true) => Ok(Framing::Chunked),
            (length, false) => Ok(Framing::Length(length.unwrap_or(0))),
        }
    }
}

/// Whether the text is a token as defined by RFC 9110, 5.6.2.
fn is_token(text: &[u8]) -> bool {
    let is_token_byte =
        |byte: &u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(byte);
    !text.is_empty() && text.iter().all(is_token_byte)
}
