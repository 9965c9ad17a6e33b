//! Reading of instances' log files.

use {
    super::reject_extra_args,
    crate::error::CtlError,
    pico_args::Arguments,
    std::{fs, path::Path},
};

/// A parsed log line.
pub struct LogLine {
    /// Timestamp as text. All instances use the same format, so the text sorts by time.
    pub time: String,
    /// Name of the log file, without its directory.
    pub file: String,
    /// Number of the event, such as `C0500`.
    pub event: String,
    /// Rest of the line, from the event's number on.
    pub text: String,
}

/// Reads the log files named by the remaining arguments. Returns their lines in order of
/// time.
///
/// # Errors
/// If no file is named, or a file cannot be read.
pub fn read_files(mut args: Arguments) -> Result<Vec<LogLine>, CtlError> {
    let mut files = Vec::new();
    while let Some(file) = args.opt_free_from_str::<String>()? {
        files.push(file);
    }
    reject_extra_args(args)?;
    if files.is_empty() {
        return Err(CtlError::Usage("no log files given".to_string()));
    }
    let mut lines = Vec::new();
    for file in &files {
        read_file(file, &mut lines)?;
    }
    // All timestamps have the same format, so sorting the text sorts by time.
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

/// Parses `[time level module] C0500 request-refused id=…`. `None` for other lines, such as
/// a panic message.
fn parse(file: &str, line: &str) -> Option<LogLine> {
    let (prefix, text) = line.strip_prefix('[')?.split_once("] ")?;
    let event = text.split(' ').next()?;
    event.strip_prefix('C')?.parse::<u16>().ok()?;
    Some(LogLine {
        time: prefix.split(' ').next()?.to_string(),
        file: file.to_string(),
        event: event.to_string(),
        // The id and path of a request come from the caller. Control characters are escaped
        // so that they cannot reach the terminal as escape sequences.
        text: text.escape_debug().to_string().replace("\\\"", "\""),
    })
}
