//! Lines of instances' log files.

use {
    super::reject_extra_args,
    crate::error::CtlError,
    pico_args::Arguments,
    std::{fs, path::Path},
};

/// A line of a log, with what is needed of it.
pub struct LogLine {
    /// As it was written; lines of all instances sort by it.
    pub time: String,
    /// The name of its file.
    pub file: String,
    /// The number of its event.
    pub event: String,
    /// The event and what follows.
    pub text: String,
}

/// Reads the files that are left as arguments; lines in order of time.
pub fn read_files(mut args: Arguments) -> Result<Vec<LogLine>, CtlError> {
    let mut files = Vec::new();
    while let Some(file) = args.opt_free_from_str::<String>()? {
        files.push(file);
    }
    reject_extra_args(args)?;
    if files.is_empty() {
        return Err(CtlError::Usage("name the log files to read".to_string()));
    }
    let mut lines = Vec::new();
    for file in &files {
        read_file(file, &mut lines)?;
    }
    // Times are written alike, so that text sorts as they do.
    lines.sort_by(|a, b| a.time.cmp(&b.time));
    Ok(lines)
}

fn read_file(file: &str, lines: &mut Vec<LogLine>) -> Result<(), CtlError> {
    let bytes = fs::read(file).map_err(|error| CtlError::Failed(format!("{file}: {error}")))?;
    let name = Path::new(file).file_name();
    let name = name.map_or(file.to_string(), |name| name.to_string_lossy().into_owned());
    let text = String::from_utf8_lossy(&bytes);
    lines.extend(text.lines().filter_map(|line| parse(&name, line)));
    Ok(())
}

/// `[time level module] C0500 request-refused id=…`; nothing for other lines, as
/// those of a process that crashed.
fn parse(file: &str, line: &str) -> Option<LogLine> {
    let (prefix, text) = line.strip_prefix('[')?.split_once("] ")?;
    let event = text.split(' ').next()?;
    event.strip_prefix('C')?.parse::<u16>().ok()?;
    Some(LogLine {
        time: prefix.split(' ').next()?.to_string(),
        file: file.to_string(),
        event: event.to_string(),
        // A request's id and path are the caller's: nothing of them may reach a
        // terminal as a command.
        text: text.escape_debug().to_string().replace("\\\"", "\""),
    })
}
