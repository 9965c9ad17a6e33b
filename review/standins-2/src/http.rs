//! HTTP/1.1 messages on blocking sockets.

use std::{
    io::{self, Read, Write},
    net::TcpStream,
};

pub struct Message {
    /// First line of the head.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Path with query of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.start
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }
}

/// Connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16_384];
        let size = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..size]);
        Ok(size)
    }

    /// Reads one message; `None` if the connection ends before its first byte.
    pub fn read(&mut self, has_body: bool) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                break end;
            }
            if self.fill()? == 0 {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let start = lines.next().unwrap_or("").to_string();
        let headers = lines.filter_map(|line| {
            let (key, value) = line.split_once(':')?;
            Some((key.trim().to_string(), value.trim().to_string()))
        });
        let mut message = Message {
            start,
            headers: headers.collect(),
            body: Vec::new(),
        };
        if has_body {
            message.body = self.read_body(&message)?;
        }
        Ok(Some(message))
    }

    fn read_body(&mut self, message: &Message) -> io::Result<Vec<u8>> {
        if message.header("transfer-encoding").is_some() {
            let mut body = Vec::new();
            loop {
                let line = self.line()?;
                let size = line.split(';').next().unwrap_or("");
                let size = usize::from_str_radix(size.trim(), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                if size == 0 {
                    while !self.line()?.is_empty() {}
                    return Ok(body);
                }
                body.extend(self.exactly(size)?);
                self.line()?;
            }
        }
        match message
            .header("content-length")
            .and_then(|value| value.parse().ok())
        {
            Some(length) => self.exactly(length),
            None => Ok(Vec::new()),
        }
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn exactly(&mut self, size: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < size {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..size).collect())
    }

    pub fn write(&mut self, head: &str, body: &[u8]) -> io::Result<()> {
        self.write_part(head, body, body.len())
    }

    /// Writes the head, and only the first bytes of the body.
    pub fn write_part(&mut self, head: &str, body: &[u8], part: usize) -> io::Result<()> {
        let mut bytes = format!("{head}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
        bytes.extend_from_slice(&body[..part]);
        self.stream.write_all(&bytes)
    }
}

fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|window| window == what)
}
