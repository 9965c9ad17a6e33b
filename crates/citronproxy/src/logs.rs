//! Log lines on standard output, written by a thread of its own.

use {
    env_logger::{Builder, Env, Target},
    std::{
        io::{self, Write},
        sync::{
            Arc,
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

/// Starts logging, at level `info` unless `RUST_LOG` says otherwise.
pub fn start() {
    let (lines, waiting) = sync_channel(WAITING);
    let dropped = Arc::new(AtomicU64::new(0));
    let writer = {
        let dropped = Arc::clone(&dropped);
        let builder = thread::Builder::new()
            .name("logs".to_string())
            .stack_size(STACK);
        builder.spawn(move || write_lines(&waiting, &dropped))
    };
    let mut builder = Builder::from_env(Env::default().default_filter_or("info"));
    builder.format_timestamp_millis();
    if let Err(error) = writer {
        // Lines then go to standard error, as the library writes them itself.
        builder.init();
        log::warn!("logs: {error}");
        return;
    }
    let lines = Lines { lines, dropped };
    builder.target(Target::Pipe(Box::new(lines))).init();
}

/// Hands lines to the writing thread, or counts those it has no room for.
struct Lines {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl Write for Lines {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.lines.try_send(line.to_vec()).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(waiting: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let mut out = io::stdout();
    while let Ok(line) = waiting.recv() {
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 && writeln!(out, "{lost} log lines were dropped here").is_err() {
            return;
        }
        if out.write_all(&line).is_err() {
            return;
        }
    }
}
