//! All requests that were not answered at their first try, by reason and time.

use {
    super::log_lines::{LogLine, read_files},
    crate::error::CtlError,
    pico_args::Arguments,
    std::{collections::BTreeMap, fmt::Write},
};

/// Events that count, and how their reasons are told apart.
const COUNTED_EVENTS: [(&str, &str); 4] = [
    ("C0500", "refused"),
    ("C0501", "unknown"),
    ("C0502", "try failed"),
    ("C0503", "denied"),
];
/// Seconds of one row, unless given.
const DEFAULT_INTERVAL_SECS: u32 = 2;
/// Reasons with a column of their own; the rest is summed up.
const MAX_COLUMNS: usize = 9;

/// Lines of one reason, by the first second of their row.
type Counts = BTreeMap<u32, u32>;

/// Prints how many requests were refused, lost or tried again, why, and when.
pub fn run(mut args: Arguments) -> Result<(), CtlError> {
    let interval = args
        .opt_value_from_str("--every")?
        .unwrap_or(DEFAULT_INTERVAL_SECS);
    if interval == 0 {
        return Err(CtlError::Usage("--every takes 1 s or more".to_string()));
    }
    let lines = read_files(args)?;
    print!("{}", table(&lines, interval));
    Ok(())
}

fn table(lines: &[LogLine], interval: u32) -> String {
    let mut reasons: BTreeMap<String, Counts> = BTreeMap::new();
    for line in lines {
        let (Some(reason), Some(second)) = (reason(line), second_of_day(&line.time)) else {
            continue;
        };
        let counts = reasons.entry(reason).or_default();
        *counts.entry(second - second % interval).or_default() += 1;
    }
    let mut columns: Vec<(String, Counts)> = reasons.into_iter().collect();
    columns.sort_by_key(|(_, counts)| std::cmp::Reverse(counts.values().sum::<u32>()));
    format_table(&merge_rest(columns))
}

/// The most frequent reasons, and all others as one.
fn merge_rest(mut columns: Vec<(String, Counts)>) -> Vec<(String, Counts)> {
    let rest = columns.split_off(columns.len().min(MAX_COLUMNS));
    let mut sum = Counts::new();
    for (row, count) in rest.into_iter().flat_map(|(_, counts)| counts) {
        *sum.entry(row).or_default() += count;
    }
    if !sum.is_empty() {
        columns.push(("all other reasons".to_string(), sum));
    }
    columns
}

fn format_table(columns: &[(String, Counts)]) -> String {
    let mut text = String::new();
    for (index, (reason, counts)) in columns.iter().enumerate() {
        let sum: u32 = counts.values().sum();
        let _ = writeln!(text, "{} {sum:6}  {reason}", letter(index));
    }
    let mut rows: Vec<u32> = columns
        .iter()
        .flat_map(|(_, counts)| counts.keys().copied())
        .collect();
    rows.sort_unstable();
    rows.dedup();
    let letters: String = (0..columns.len())
        .map(|index| format!("{:>6}", letter(index)))
        .collect();
    let _ = writeln!(text, "\nfrom    {letters}");
    for row in rows {
        let _ = write!(
            text,
            "{:02}:{:02}:{:02}",
            row / 3_600,
            row / 60 % 60,
            row % 60
        );
        for (_, counts) in columns {
            let _ = write!(text, "{:6}", counts.get(&row).copied().unwrap_or(0));
        }
        text.push('\n');
    }
    text
}

fn letter(index: usize) -> char {
    char::from(b'a' + index as u8)
}

/// The words after the last colon; `None` for other events.
fn reason(line: &LogLine) -> Option<String> {
    let kind = COUNTED_EVENTS
        .iter()
        .find(|(event, _)| *event == line.event)?;
    let (_, words) = line.text.rsplit_once(": ")?;
    Some(format!("{}: {words}", kind.1))
}

/// The second of the day of a time such as `2026-12-02T10:00:03.300Z`.
fn second_of_day(time: &str) -> Option<u32> {
    let (_, clock) = time.split_once('T')?;
    let mut parts = clock.split([':', '.']);
    let mut next = || parts.next()?.parse::<u32>().ok();
    Some(next()? * 3_600 + next()? * 60 + next()?)
}
