//! A small HTTP/1.1 reader and client, enough for sound stand-ins.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// The head and body of a request or response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads messages from a connection.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

fn ended() -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, "the connection ended")
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut piece = [0; 64 << 10];
        let length = self.stream.read(&mut piece)?;
        self.buffer.extend_from_slice(&piece[..length]);
        Ok(length)
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            if self.fill()? == 0 {
                return Err(ended());
            }
        }
    }

    fn exactly(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Err(ended());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// Reads a whole message. A body without a length or chunks is empty in a request, and ends
    /// with the connection in a response.
    pub fn message(&mut self, is_request: bool) -> io::Result<Message> {
        let mut first_line = self.line()?;
        while first_line.is_empty() {
            first_line = self.line()?;
        }
        let mut message = Message { first_line, ..Message::default() };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
            }
        }
        let length = message.header("content-length").and_then(|length| length.parse().ok());
        let is_chunked = message.header("transfer-encoding").is_some();
        message.body = match (length, is_chunked) {
            (Some(length), _) => self.exactly(length)?,
            (None, true) => self.chunks()?,
            (None, false) if is_request => Vec::new(),
            (None, false) => {
                while self.fill()? > 0 {}
                std::mem::take(&mut self.buffer)
            }
        };
        Ok(message)
    }

    fn chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.line()?;
            let size = line.split(';').next().unwrap_or_default().trim();
            let size = usize::from_str_radix(size, 16)
                .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?;
            if size == 0 {
                while !self.line()?.is_empty() {}
                return Ok(body);
            }
            body.extend(self.exactly(size)?);
            self.exactly(2)?;
        }
    }
}

/// A request of a client, on a connection of its own.
pub struct Call<'a> {
    pub method: &'a str,
    pub target: &'a str,
    pub headers: Vec<(&'a str, String)>,
    pub body: &'a [u8],
}

impl Call<'_> {
    /// Sends the request and reads the response. Closes the connection after `limit`.
    pub fn send(&self, to: SocketAddr, limit: Duration) -> io::Result<Message> {
        let began = Instant::now();
        let mut stream = TcpStream::connect_timeout(&to, limit.min(Duration::from_secs(1)))?;
        stream.set_nodelay(true)?;
        let mut head = format!("{} {} HTTP/1.1\r\n", self.method, self.target);
        if !self.headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
            head += &format!("Host: {to}\r\n");
        }
        for (name, value) in &self.headers {
            head += &format!("{name}: {value}\r\n");
        }
        head += &format!("Content-Length: {}\r\nConnection: close\r\n\r\n", self.body.len());
        stream.set_write_timeout(Some(limit))?;
        stream.write_all(head.as_bytes())?;
        stream.write_all(self.body)?;
        let left = limit.saturating_sub(began.elapsed()).max(Duration::from_millis(1));
        stream.set_read_timeout(Some(left))?;
        Reader::new(stream).message(false)
    }
}

/// A call without headers of its own.
pub fn call(
    to: SocketAddr,
    method: &str,
    target: &str,
    body: &str,
    limit: Duration,
) -> io::Result<Message> {
    let headers = match body.is_empty() {
        true => Vec::new(),
        false => vec![("Content-Type", "application/json".to_owned())],
    };
    Call { method, target, headers, body: body.as_bytes() }.send(to, limit)
}

/// How a request ended, for the record.
pub fn told(reply: &io::Result<Message>) -> String {
    match reply {
        Ok(reply) => format!("answered {}", reply.status()),
        Err(error) => format!("no answer: {error}"),
    }
}
