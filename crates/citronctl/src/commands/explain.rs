//! One request's story, from the log lines of several instances.

use {
    super::{
        log_lines::{Line, read_all},
        summary,
    },
    crate::error::CtlError,
    pico_args::Arguments,
    std::collections::BTreeMap,
};

/// Events of a request, by the beginning of their number.
const OF_REQUEST: &str = "C05";
/// Events that end a request, and what they mean for its caller.
const ENDS: [(&str, &str); 3] = [
    ("C0500", "refused: it has not run, and never will"),
    ("C0501", "its outcome is not known: it may have run"),
    (
        "C0503",
        "denied: it has not run, and its caller was told not to try again",
    ),
];
/// Without an end of its own, some try was answered in the end.
const ANSWERED: &str = "answered by a server after the tries below";
/// Events that tell what an instance knew: the last ones before a request's end
/// are its background.
const BACKGROUND: [&str; 6] = ["C0400", "C0401", "C0410", "C0420", "C0430", "C0434"];

/// Prints the lines of a request in order of time, and what was known then.
pub fn run(mut args: Arguments) -> Result<(), CtlError> {
    if args.contains("--all") {
        return summary::run(args);
    }
    let id: String = args.free_from_str()?;
    let lines = read_all(args)?;
    let story = lines.iter().filter(|line| is_of(line, &id)).collect();
    print!("{}", told(&id, story, &lines)?);
    Ok(())
}

fn is_of(line: &Line, id: &str) -> bool {
    let named = |word: &str| word.strip_prefix("id=") == Some(id);
    line.event.starts_with(OF_REQUEST) && line.text.split(' ').any(named)
}

fn told(id: &str, story: Vec<&Line>, lines: &[Line]) -> Result<String, CtlError> {
    let Some(last) = story.last() else {
        let message = format!(
            "no line about {id}: a request that was answered at its first try leaves none, \
             or its instance's file is missing"
        );
        return Err(CtlError::Failed(message));
    };
    let ended = ENDS.iter().find(|(event, _)| *event == last.event);
    let mut text = format!("{id}: {}\n", ended.map_or(ANSWERED, |(_, words)| words));
    for line in &story {
        text.push_str(&shown(line));
    }
    text.push_str("known before:\n");
    for line in background(&story, last, lines) {
        text.push_str(&shown(line));
    }
    Ok(text)
}

/// The last word before a request's end on each matter that its lines name.
fn background<'a>(story: &[&Line], last: &Line, lines: &'a [Line]) -> Vec<&'a Line> {
    let names = names(story);
    let mut latest: BTreeMap<(&str, &str), &Line> = BTreeMap::new();
    let before = lines.iter().filter(|line| line.time <= last.time);
    for line in before.filter(|line| BACKGROUND.contains(&line.event.as_str())) {
        let about = names.iter().find(|name| line.text.contains(name.as_str()));
        let own = (line.file == last.file).then_some(&last.file);
        if let Some(matter) = about.or(own) {
            latest.insert((line.event.as_str(), matter), line);
        }
    }
    let mut found: Vec<&Line> = latest.into_values().collect();
    found.sort_by(|a, b| a.time.cmp(&b.time));
    found
}

/// Servers and services in the lines of a request.
fn names(story: &[&Line]) -> Vec<String> {
    let words = story.iter().flat_map(|line| line.text.split(' '));
    let values = words.filter_map(|word| {
        let server = word.strip_prefix("server=");
        server.or_else(|| word.strip_prefix("service="))
    });
    let mut names: Vec<String> = values.map(str::to_string).collect();
    names.sort();
    names.dedup();
    names
}

fn shown(line: &Line) -> String {
    format!("  {} {} {}\n", line.time, line.file, line.text)
}
