//! Explanation of one request from the log lines of several instances.

use {
    super::{
        log_lines::{LogLine, read_files},
        summary,
    },
    crate::error::CtlError,
    pico_args::Arguments,
    std::collections::BTreeMap,
};

/// Prefix of the numbers of events that concern a single request.
const REQUEST_EVENT_PREFIX: &str = "C05";
/// Events that end a request, and their meaning for the caller.
const OUTCOMES: [(&str, &str); 3] = [
    ("C0500", "refused: the request has not run, and never will"),
    ("C0501", "outcome unknown: the request may have run"),
    (
        "C0503",
        "denied: the request has not run, and the response told the caller not to retry",
    ),
];
/// Outcome of a request without an event that ends it.
const ANSWERED_OUTCOME: &str = "answered by a server after the failed attempts below";
/// Events about the state of servers, services and the platform. The latest ones before
/// the end of a request are shown as its context.
const CONTEXT_EVENTS: [&str; 8] = [
    "C0400", "C0401", "C0410", "C0420", "C0427", "C0428", "C0430", "C0434",
];

/// Prints the lines of a request in order of time, and the latest earlier context events.
///
/// # Errors
/// If no line mentions the request, or a file cannot be read.
pub fn run(mut args: Arguments) -> Result<(), CtlError> {
    if args.contains("--all") {
        return summary::run(args);
    }
    let id: String = args.free_from_str()?;
    let lines = read_files(args)?;
    let request_lines = lines.iter().filter(|line| is_about(line, &id)).collect();
    print!("{}", explain(&id, request_lines, &lines)?);
    Ok(())
}

fn is_about(line: &LogLine, id: &str) -> bool {
    let has_id = |word: &str| word.strip_prefix("id=") == Some(id);
    line.event.starts_with(REQUEST_EVENT_PREFIX) && line.text.split(' ').any(has_id)
}

fn explain(id: &str, request_lines: Vec<&LogLine>, lines: &[LogLine]) -> Result<String, CtlError> {
    let Some(last) = request_lines.last() else {
        let message = format!(
            "no line about {id}: a request that was answered at its first attempt leaves \
             none, or the log file of its instance is missing"
        );
        return Err(CtlError::Failed(message));
    };
    let ended = OUTCOMES.iter().find(|(event, _)| *event == last.event);
    let mut text = format!(
        "{id}: {}\n",
        ended.map_or(ANSWERED_OUTCOME, |(_, outcome)| outcome)
    );
    for line in &request_lines {
        text.push_str(&format_line(line));
    }
    text.push_str("earlier events:\n");
    for line in context_lines(&request_lines, last, lines) {
        text.push_str(&format_line(line));
    }
    Ok(text)
}

/// Returns the latest context event of each kind before the end of the request, for each
/// server and service that the request's lines name, and for the instance that logged the
/// end.
fn context_lines<'a>(
    request_lines: &[&LogLine],
    last: &LogLine,
    lines: &'a [LogLine],
) -> Vec<&'a LogLine> {
    let mentioned_names = mentioned_names(request_lines);
    let mut latest: BTreeMap<(&str, &str), &LogLine> = BTreeMap::new();
    let before = lines.iter().filter(|line| line.time <= last.time);
    for line in before.filter(|line| CONTEXT_EVENTS.contains(&line.event.as_str())) {
        let mentioned = mentioned_names
            .iter()
            .find(|name| line.text.contains(name.as_str()));
        let same_file = (line.file == last.file).then_some(&last.file);
        if let Some(subject) = mentioned.or(same_file) {
            latest.insert((line.event.as_str(), subject), line);
        }
    }
    let mut lines: Vec<&LogLine> = latest.into_values().collect();
    lines.sort_by(|a, b| a.time.cmp(&b.time));
    lines
}

/// Returns the servers, brokers and services named in the lines of a request.
fn mentioned_names(request_lines: &[&LogLine]) -> Vec<String> {
    let words = request_lines.iter().flat_map(|line| line.text.split(' '));
    let values = words.filter_map(|word| {
        let server = word.strip_prefix("server=");
        let server = server.or_else(|| word.strip_prefix("broker="));
        server.or_else(|| word.strip_prefix("service="))
    });
    let mut mentioned_names: Vec<String> = values.map(str::to_string).collect();
    mentioned_names.sort();
    mentioned_names.dedup();
    mentioned_names
}

fn format_line(line: &LogLine) -> String {
    format!("  {} {} {}\n", line.time, line.file, line.text)
}
