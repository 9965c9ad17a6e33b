//! Logging to standard output by a dedicated thread.

use {
    env_logger::{Builder, Env, Target},
    std::{
        io::{self, Write},
        sync::{
            atomic::{AtomicU64, Ordering},
            mpsc::{Receiver, SyncSender, sync_channel},
        },
        thread,
    },
};

/// Maximum number of lines queued for the writer, which is several seconds of a busy
/// instance's log. When standard output is not read, further lines are dropped rather
/// than blocking requests.
const MAX_QUEUED_LINES: usize = 2_048;
/// Stack size of the writer thread.
const STACK_BYTES: usize = 64 * 1_024;

/// Number of lines dropped since the start.
static LOST_LINES: AtomicU64 = AtomicU64::new(0);

/// Number of log lines dropped since the start because the queue was full.
///
/// ```
/// assert_eq!(citronproxy::logs::lost_lines(), 0);
/// ```
pub fn lost_lines() -> u64 {
    LOST_LINES.load(Ordering::Relaxed)
}

/// Starts logging, at level `info` unless `RUST_LOG` sets another.
pub fn start() {
    let (lines, waiting) = sync_channel(MAX_QUEUED_LINES);
    let builder = thread::Builder::new()
        .name("logs".to_string())
        .stack_size(STACK_BYTES);
    let writer = builder.spawn(move || write_lines(&waiting));
    let mut builder = Builder::from_env(Env::default().default_filter_or("info"));
    builder.format_timestamp_millis();
    builder.format_indent(None);
    if let Err(error) = writer {
        // Without the writer thread, the library logs to standard error itself.
        builder.init();
        log::warn!("cannot start the log writer: {error}");
        return;
    }
    builder.target(Target::Pipe(Box::new(Lines(lines)))).init();
}

/// Log target that queues lines for the writer thread, and counts those that do not fit.
struct Lines(SyncSender<Vec<u8>>);

impl Write for Lines {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.0.try_send(escape_controls(line)).is_err() {
            LOST_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Escapes all control characters but the last line feed: texts of other programs must not begin
/// a line.
fn escape_controls(line: &[u8]) -> Vec<u8> {
    let text = String::from_utf8_lossy(line);
    let mut escaped = String::with_capacity(text.len());
    for c in text.strip_suffix('\n').unwrap_or(&text).chars() {
        match c.is_control() {
            true => escaped.extend(c.escape_default()),
            false => escaped.push(c),
        }
    }
    escaped.push('\n');
    escaped.into_bytes()
}

fn write_lines(waiting: &Receiver<Vec<u8>>) {
    let mut out = io::stdout();
    let mut reported = 0;
    while let Ok(line) = waiting.recv() {
        let lost_lines = lost_lines();
        if lost_lines > reported {
            if writeln!(out, "{} log lines were lost here", lost_lines - reported).is_err() {
                return;
            }
            reported = lost_lines;
        }
        if out.write_all(&line).is_err() {
            return;
        }
    }
}
