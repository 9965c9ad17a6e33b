//! The check of a request's head.

use super::Refusal;

/// Headers of one request.
const HEADERS_MAX: usize = 96;
/// Digits of a `Content-Length`.
const DIGITS_MAX: usize = 18;

/// Where the body of a request ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// After so many bytes.
    Length(u64),
    /// After the last chunk.
    Chunked,
}

/// Finds the end of a head, from what was scanned before; `None` if it is not
/// there yet.
pub fn end(bytes: &[u8], scanned: usize) -> Result<Option<usize>, Refusal> {
    for at in scanned..bytes.len() {
        let before = at.checked_sub(1).map(|before| bytes[before]);
        match bytes[at] {
            b'\n' if before != Some(b'\r') => return Err(Refusal::Byte),
            b'\n' if at >= 3 && bytes[at - 3..at] == *b"\r\n\r" => return Ok(Some(at + 1)),
            b'\n' | b'\r' | b'\t' => {}
            0..0x20 | 0x7f => return Err(Refusal::Byte),
            _ => {}
        }
        if before == Some(b'\r') && bytes[at] != b'\n' {
            return Err(Refusal::Byte);
        }
    }
    Ok(None)
}

/// Checks a whole head and tells where the body ends.
pub fn check(head: &[u8]) -> Result<Framing, Refusal> {
    let mut lines = head
        .split(|byte| *byte == b'\n')
        .map(|line| line.trim_ascii_end());
    let old = request_line(lines.next().unwrap_or_default())?;
    let mut fields = Fields::default();
    for line in lines.take_while(|line| !line.is_empty()) {
        fields.add(line)?;
    }
    fields.framing(old)
}

/// Whether the request is of HTTP/1.0.
fn request_line(line: &[u8]) -> Result<bool, Refusal> {
    let mut parts = line.split(|byte| *byte == b' ');
    let method = parts.next().unwrap_or_default();
    let target = parts.next().unwrap_or_default();
    let version = parts.next().unwrap_or_default();
    let whole = is_token(method) && !target.is_empty() && parts.next().is_none();
    let tab = line.contains(&b'\t');
    match version {
        b"HTTP/1.1" if whole && !tab => Ok(false),
        b"HTTP/1.0" if whole && !tab => Ok(true),
        _ => Err(Refusal::Line),
    }
}

#[derive(Default)]
struct Fields {
    count: usize,
    hosts: usize,
    length: Option<u64>,
    chunked: bool,
}

impl Fields {
    fn add(&mut self, line: &[u8]) -> Result<(), Refusal> {
        self.count += 1;
        if self.count > HEADERS_MAX {
            return Err(Refusal::Large);
        }
        if line[0] == b' ' || line[0] == b'\t' {
            return Err(Refusal::Fold);
        }
        let colon = line.iter().position(|byte| *byte == b':');
        let (name, value) = line.split_at(colon.ok_or(Refusal::Name)?);
        let value = value[1..].trim_ascii();
        if !is_token(name) {
            return Err(Refusal::Name);
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
        let plain = (1..=DIGITS_MAX).contains(&value.len()) && value.iter().all(u8::is_ascii_digit);
        if !plain || self.length.is_some() {
            return Err(Refusal::Length);
        }
        let digits = value.iter().map(|digit| u64::from(digit - b'0'));
        self.length = Some(digits.fold(0, |sum, digit| sum * 10 + digit));
        Ok(())
    }

    fn add_encoding(&mut self, value: &[u8]) -> Result<(), Refusal> {
        if self.chunked || !value.eq_ignore_ascii_case(b"chunked") {
            return Err(Refusal::Encoding);
        }
        self.chunked = true;
        Ok(())
    }

    fn framing(&self, old: bool) -> Result<Framing, Refusal> {
        if self.hosts != 1 && !(old && self.hosts == 0) {
            return Err(Refusal::Host);
        }
        match (self.length, self.chunked) {
            (Some(_), true) => Err(Refusal::Both),
            (None, true) if old => Err(Refusal::Encoding),
            (None, true) => Ok(Framing::Chunked),
            (length, false) => Ok(Framing::Length(length.unwrap_or(0))),
        }
    }
}

/// Whether this is a token of RFC 9110, 5.6.2.
fn is_token(text: &[u8]) -> bool {
    let allowed = |byte: &u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(byte);
    !text.is_empty() && text.iter().all(allowed)
}
