//! Server that reads uploads slowly and discards them.

use {
    std::{io, net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        time::sleep,
    },
};

/// Size of the read buffer.
const READ_BYTES: usize = 64 * 1_024;

/// Number of bytes after which the server pauses.
const PAUSE_INTERVAL_BYTES: usize = 1_024 * 1_024;

/// Starts a server on a free port that reads uploads with a `Content-Length`, pauses after
/// each MiB, and responds with the number of bytes received.
///
/// # Errors
/// If no port is free.
pub async fn upload_server(pause: Duration) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(receive_upload(stream, pause));
        }
    });
    Ok(address)
}

async fn receive_upload(mut stream: TcpStream, pause: Duration) -> io::Result<()> {
    let mut buffer = vec![0; READ_BYTES];
    let mut head = Vec::new();
    let head_end = loop {
        let read = read_some(&mut stream, &mut buffer).await?;
        head.extend_from_slice(&buffer[..read]);
        if let Some(head_end) = head.windows(4).position(|part| part == b"\r\n\r\n") {
            break head_end + 4;
        }
    };
    let text = String::from_utf8_lossy(&head[..head_end]).to_ascii_lowercase();
    let length = text
        .lines()
        .find_map(|l| l.strip_prefix("content-length: "));
    let length: usize = length.and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut received = head.len() - head_end;
    while received < length {
        let before = received / PAUSE_INTERVAL_BYTES;
        received += read_some(&mut stream, &mut buffer).await?;
        if received / PAUSE_INTERVAL_BYTES > before {
            sleep(pause).await;
        }
    }
    let body = format!("received {received}");
    let response = format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(response.as_bytes()).await
}

async fn read_some(stream: &mut TcpStream, buffer: &mut [u8]) -> io::Result<usize> {
    match stream.read(buffer).await? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        read => Ok(read),
    }
}
