//! The check of a chunked body.

/// Hexadecimal digits of a chunk's size.
const DIGITS_MAX: u32 = 15;
/// Bytes of chunk extensions of one chunk, and of all trailers.
const EXTRA_MAX: u32 = 4_096;

/// A byte that does not belong where it stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BadChunk;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// In the digits of a size.
    Size,
    /// In an extension, which is skipped.
    Extension,
    /// At the LF after a size.
    SizeEnd,
    /// In the data.
    Data,
    /// At the CR, or the LF, after the data.
    DataCr,
    DataLf,
    /// At the begin of a trailer, or of the empty line that ends the body.
    Trailer,
    /// In a trailer, and at its LF.
    TrailerText,
    TrailerLf,
    /// At the last LF.
    LastLf,
    Done,
}

/// Follows a chunked body to its end.
#[derive(Debug)]
pub struct Chunks {
    state: State,
    size: u64,
    digits: u32,
    extra: u32,
}

impl Chunks {
    /// At the begin of a body.
    pub fn new() -> Self {
        Self {
            state: State::Size,
            size: 0,
            digits: 0,
            extra: 0,
        }
    }

    /// Whether the body has ended.
    pub fn done(&self) -> bool {
        self.state == State::Done
    }

    /// Follows these bytes; tells how many belong to the body.
    ///
    /// # Errors
    /// [`BadChunk`] if they are not what a strict sender writes.
    pub fn follow(&mut self, bytes: &[u8]) -> Result<usize, BadChunk> {
        let mut at = 0;
        while at < bytes.len() && !self.done() {
            if self.state == State::Data {
                at += self.data(bytes.len() - at);
            } else {
                self.byte(bytes[at])?;
                at += 1;
            }
        }
        Ok(at)
    }

    fn data(&mut self, available: usize) -> usize {
        let taken = usize::try_from(self.size)
            .unwrap_or(usize::MAX)
            .min(available);
        self.size -= taken as u64;
        if self.size == 0 {
            self.state = State::DataCr;
        }
        taken
    }

    fn byte(&mut self, byte: u8) -> Result<(), BadChunk> {
        self.state = match (self.state, byte) {
            (State::Size, b'\r') if self.digits > 0 => State::SizeEnd,
            (State::Size, b';') if self.digits > 0 => State::Extension,
            (State::Size, digit) => self.digit(digit)?,
            (State::Extension, b'\r') => State::SizeEnd,
            (State::Extension, text) => self.extra(text, State::Extension)?,
            (State::SizeEnd, b'\n') => self.size_end(),
            (State::DataCr, b'\r') => State::DataLf,
            (State::DataLf, b'\n') => State::Size,
            (State::Trailer, b'\r') => State::LastLf,
            (State::TrailerText, b'\r') => State::TrailerLf,
            (State::Trailer | State::TrailerText, text) => self.extra(text, State::TrailerText)?,
            (State::TrailerLf, b'\n') => State::Trailer,
            (State::LastLf, b'\n') => State::Done,
            _ => return Err(BadChunk),
        };
        Ok(())
    }

    fn digit(&mut self, byte: u8) -> Result<State, BadChunk> {
        let digit = char::from(byte).to_digit(16).ok_or(BadChunk)?;
        self.digits += 1;
        if self.digits > DIGITS_MAX {
            return Err(BadChunk);
        }
        self.size = self.size * 16 + u64::from(digit);
        Ok(State::Size)
    }

    fn size_end(&mut self) -> State {
        self.digits = 0;
        self.extra = 0;
        match self.size {
            0 => State::Trailer,
            _ => State::Data,
        }
    }

    fn extra(&mut self, byte: u8, next: State) -> Result<State, BadChunk> {
        self.extra += 1;
        let text = byte == b'\t' || (byte >= 0x20 && byte != 0x7f);
        if text && self.extra <= EXTRA_MAX {
            return Ok(next);
        }
        Err(BadChunk)
    }
}
