//! Validator of chunked request bodies.

/// Maximum number of hexadecimal digits in a chunk size.
const MAX_SIZE_DIGITS: u32 = 15;
/// Maximum number of bytes in the extensions of one chunk, and in all trailers together.
const MAX_EXTRA_BYTES: u32 = 4_096;

/// A byte that is not allowed at its position in a chunked body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidChunk;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// In the digits of a chunk size.
    Size,
    /// In a chunk extension, which is skipped.
    Extension,
    /// Before the LF that ends the line with the chunk size.
    SizeEnd,
    /// In the chunk data.
    Data,
    /// Before the CR (`DataCr`) or the LF (`DataLf`) that follows the chunk data.
    DataCr,
    DataLf,
    /// At the start of a trailer, or of the empty line that ends the body.
    Trailer,
    /// In a trailer (`TrailerText`), or before the LF that ends it (`TrailerLf`).
    TrailerText,
    TrailerLf,
    /// Before the LF that ends the body.
    LastLf,
    Done,
}

/// State machine that validates a chunked body and finds its end.
#[derive(Debug)]
pub struct ChunkedValidator {
    state: State,
    remaining: u64,
    digits: u32,
    extra_bytes: u32,
}

impl ChunkedValidator {
    /// Creates a validator at the start of a body.
    pub fn new() -> Self {
        Self {
            state: State::Size,
            remaining: 0,
            digits: 0,
            extra_bytes: 0,
        }
    }

    /// Whether the end of the body was reached.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Validates these bytes and returns how many of them belong to the body.
    ///
    /// # Errors
    /// [`InvalidChunk`] if the bytes deviate from the strict chunked format.
    pub fn consume(&mut self, bytes: &[u8]) -> Result<usize, InvalidChunk> {
        let mut position = 0;
        while position < bytes.len() && !self.is_done() {
            if self.state == State::Data {
                position += self.consume_data(bytes.len() - position);
            } else {
                self.consume_byte(bytes[position])?;
                position += 1;
            }
        }
        Ok(position)
    }

    fn consume_data(&mut self, available: usize) -> usize {
        let consumed = usize::try_from(self.remaining)
            .unwrap_or(usize::MAX)
            .min(available);
        self.remaining -= consumed as u64;
        if self.remaining == 0 {
            self.state = State::DataCr;
        }
        consumed
    }

    fn consume_byte(&mut self, byte: u8) -> Result<(), InvalidChunk> {
        self.state = match (self.state, byte) {
            (State::Size, b'\r') if self.digits > 0 => State::SizeEnd,
            (State::Size, b';') if self.digits > 0 => State::Extension,
            (State::Size, digit) => self.add_digit(digit)?,
            (State::Extension, b'\r') => State::SizeEnd,
            (State::Extension, text) => self.add_extra(text, State::Extension)?,
            (State::SizeEnd, b'\n') => self.end_size(),
            (State::DataCr, b'\r') => State::DataLf,
            (State::DataLf, b'\n') => State::Size,
            (State::Trailer, b'\r') => State::LastLf,
            (State::TrailerText, b'\r') => State::TrailerLf,
            (State::Trailer | State::TrailerText, text) => {
                self.add_extra(text, State::TrailerText)?
            }
            (State::TrailerLf, b'\n') => State::Trailer,
            (State::LastLf, b'\n') => State::Done,
            _ => return Err(InvalidChunk),
        };
        Ok(())
    }

    fn add_digit(&mut self, byte: u8) -> Result<State, InvalidChunk> {
        let digit = char::from(byte).to_digit(16).ok_or(InvalidChunk)?;
        self.digits += 1;
        if self.digits > MAX_SIZE_DIGITS {
            return Err(InvalidChunk);
        }
        self.remaining = self.remaining * 16 + u64::from(digit);
        Ok(State::Size)
    }

    fn end_size(&mut self) -> State {
        self.digits = 0;
        self.extra_bytes = 0;
        match self.remaining {
            0 => State::Trailer,
            _ => State::Data,
        }
    }

    fn add_extra(&mut self, byte: u8, next: State) -> Result<State, InvalidChunk> {
        self.extra_bytes += 1;
        let is_text = byte == b'\t' || (byte >= 0x20 && byte != 0x7f);
        if is_text && self.extra_bytes <= MAX_EXTRA_BYTES {
            return Ok(next);
        }
        Err(InvalidChunk)
    }
}
