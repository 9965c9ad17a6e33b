//! Heads of requests that came before the one in front was answered.

use {
    super::{
        HeadSize, Refusal,
        head::{self, Framing},
    },
    bytes::Bytes,
};

/// Requests of one connection that are begun before the one in front of them is
/// answered. Callers of today send two or three; more would let one caller take
/// the place of others.
const MOST: usize = 8;

/// How far the unread bytes were looked through. Only whole heads without a body
/// are told, in order, up to the first message that is something else.
#[derive(Debug, Default)]
pub struct Ahead {
    /// Unread bytes of heads that were told.
    told: usize,
    /// Bytes after them that were scanned.
    scanned: usize,
    /// Heads told whose turn has not come.
    count: usize,
    /// Whether nothing more may be told until the next turn.
    stopped: bool,
}

impl Ahead {
    /// The next head that was not told yet.
    pub fn next(&mut self, unread: &[u8], size: HeadSize) -> Option<Bytes> {
        if self.stopped || self.count >= MOST {
            return None;
        }
        let rest = &unread[self.told..];
        match find(rest, self.scanned, size) {
            Ok(None) => {
                self.scanned = rest.len();
                None
            }
            Ok(Some((end, Framing::Length(0)))) => {
                self.told += end;
                self.scanned = 0;
                self.count += 1;
                Some(Bytes::copy_from_slice(&rest[..end]))
            }
            Ok(Some(_)) | Err(_) => {
                self.stopped = true;
                None
            }
        }
    }

    /// The first unread head, of so many bytes, has its turn; whether it was told.
    pub fn turn(&mut self, end: usize) -> bool {
        if self.count == 0 {
            *self = Self::default();
            return false;
        }
        self.count -= 1;
        self.told -= end;
        true
    }

    /// Tells nothing until the next turn.
    pub fn stop(&mut self) {
        self.stopped = true;
    }
}

/// The end of the head that `unread` begins with, and its framing; `None` if it is
/// not whole yet.
pub fn find(
    unread: &[u8],
    scanned: usize,
    size: HeadSize,
) -> Result<Option<(usize, Framing)>, Refusal> {
    let max = size.max();
    let end = head::end(&unread[..unread.len().min(max)], scanned)?;
    match end {
        Some(end) => Ok(Some((end, head::check(&unread[..end])?))),
        None if unread.len() >= max => Err(size.refusal()),
        None => Ok(None),
    }
}
