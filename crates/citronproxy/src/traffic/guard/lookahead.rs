//! Heads of requests that came before the one in front was answered.

use {
    super::{
        HeadLimit, Refusal,
        head::{self, Framing},
    },
    bytes::Bytes,
};

/// Requests of one connection that are begun before the one in front of them is
/// answered. Callers of today send two or three; more would let one caller take
/// the place of others.
const MAX_PIPELINED: usize = 8;

/// How far the unread bytes were looked through. Only whole heads without a body
/// are told, in order, up to the first message that is something else.
#[derive(Debug, Default)]
pub struct Lookahead {
    /// Unread bytes of heads that were told.
    announced_bytes: usize,
    /// Bytes after them that were scanned.
    scanned_bytes: usize,
    /// Heads told whose turn has not come.
    announced: usize,
    /// Whether nothing more may be told until the next turn.
    is_paused: bool,
}

impl Lookahead {
    /// The next head that was not told yet.
    pub fn next(&mut self, unread: &[u8], limit: HeadLimit) -> Option<Bytes> {
        if self.is_paused || self.announced >= MAX_PIPELINED {
            return None;
        }
        let unannounced = &unread[self.announced_bytes..];
        match find_head(unannounced, self.scanned_bytes, limit) {
            Ok(None) => {
                self.scanned_bytes = unannounced.len();
                None
            }
            Ok(Some((end, Framing::Length(0)))) => {
                self.announced_bytes += end;
                self.scanned_bytes = 0;
                self.announced += 1;
                Some(Bytes::copy_from_slice(&unannounced[..end]))
            }
            Ok(Some(_)) | Err(_) => {
                self.is_paused = true;
                None
            }
        }
    }

    /// The first unread head, of so many bytes, has its turn; whether it was told.
    pub fn advance(&mut self, end: usize) -> bool {
        if self.announced == 0 {
            *self = Self::default();
            return false;
        }
        self.announced -= 1;
        self.announced_bytes -= end;
        true
    }

    /// Tells nothing until the next turn.
    pub fn pause(&mut self) {
        self.is_paused = true;
    }
}

/// The end of the head that `unread` begins with, and its framing; `None` if it is
/// not whole yet.
pub fn find_head(
    unread: &[u8],
    scanned: usize,
    limit: HeadLimit,
) -> Result<Option<(usize, Framing)>, Refusal> {
    let max = limit.max_bytes();
    let end = head::find_end(&unread[..unread.len().min(max)], scanned)?;
    match end {
        Some(end) => Ok(Some((end, head::check(&unread[..end])?))),
        None if unread.len() >= max => Err(limit.refusal()),
        None => Ok(None),
    }
}
