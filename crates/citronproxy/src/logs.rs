//! Log lines on standard output, written by a thread of its own.

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

/// Lines that wait for the writer at most: some seconds of a busy instance. A
/// reader that has stopped reading must not stop requests.
const WAITING: usize = 2_048;
/// Stack of the writing thread, in bytes.
const STACK: usize = 64 * 1_024;

/// Lines lost since the start.
static LOST: AtomicU64 = AtomicU64::new(0);

/// How many lines were lost since the start, for want of room in the buffer.
///
/// ```
/// assert_eq!(citronproxy::logs::lost(), 0);
/// ```
pub fn lost() -> u64 {
    LOST.load(Ordering::Relaxed)
}

/// Starts logging, at level `info` unless `RUST_LOG` says otherwise.
pub fn start() {
    let (lines, waiting) = sync_channel(WAITING);
    let builder = thread::Builder::new()
        .name("logs".to_string())
        .stack_size(STACK);
    let writer = builder.spawn(move || write_lines(&waiting));
    let mut builder = Builder::from_env(Env::default().default_filter_or("info"));
    builder.format_timestamp_millis();
    if let Err(error) = writer {
        // Lines then go to standard error, as the library writes them itself.
        builder.init();
        log::warn!("logs: {error}");
        return;
    }
    builder.target(Target::Pipe(Box::new(Lines(lines)))).init();
}

/// Hands lines to the writing thread, or counts those it has no room for.
struct Lines(SyncSender<Vec<u8>>);

impl Write for Lines {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.0.try_send(line.to_vec()).is_err() {
            LOST.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(waiting: &Receiver<Vec<u8>>) {
    let mut out = io::stdout();
    let mut told = 0;
    while let Ok(line) = waiting.recv() {
        let lost = lost();
        if lost > told {
            if writeln!(out, "{} log lines were lost here", lost - told).is_err() {
                return;
            }
            told = lost;
        }
        if out.write_all(&line).is_err() {
            return;
        }
    }
}
