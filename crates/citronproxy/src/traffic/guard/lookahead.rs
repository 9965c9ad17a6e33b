//! Lookahead for pipelined requests, which arrive before the current request is answered.

use {
    super::{
        HeadLimit, Refusal,
        head::{self, Framing},
    },
    bytes::Bytes,
};

/// Maximum number of pipelined requests of a connection that are started before the
/// current one is answered. Present clients send two or three; a higher limit would let
/// one client take capacity from others.
const MAX_PIPELINED: usize = 8;

/// Progress of the lookahead in the unread bytes. It announces complete heads of requests
/// without a body, in order, and stops at any other message.
#[derive(Debug, Default)]
pub struct Lookahead {
    /// Number of unread bytes in announced heads.
    announced_bytes: usize,
    /// Number of bytes after the announced heads that were scanned for the end of a head.
    scanned_bytes: usize,
    /// Number of announced heads whose requests were not passed to the HTTP library yet.
    announced: usize,
    /// Whether no further heads are announced until the lookahead is reset by
    /// [`Self::advance`].
    is_paused: bool,
}

impl Lookahead {
    /// Returns the next head that was not announced yet.
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

    /// Records that the first unread head, which ends at `end`, is passed to the HTTP
    /// library. Returns whether it was announced.
    pub fn advance(&mut self, end: usize) -> bool {
        if self.announced == 0 {
            *self = Self::default();
            return false;
        }
        self.announced -= 1;
        self.announced_bytes -= end;
        true
    }

    /// Announces no further heads until the lookahead is reset.
    pub fn pause(&mut self) {
        self.is_paused = true;
    }
}

/// Finds the end and the framing of the head at the start of `unread`. `None` if the head
/// is incomplete.
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
