//! Counts of the requests that were not answered at their first attempt, by reason and
//! time.

use {
    super::log_lines::{LogLine, read_files},
    crate::error::CtlError,
    pico_args::Arguments,
    std::{collections::BTreeMap, fmt::Write},
};

/// Counted events, and the prefix of their reasons.
const COUNTED_EVENTS: [(&str, &str); 4] = [
    ("C0500", "refused"),
    ("C0501", "unknown"),
    ("C0502", "try failed"),
    ("C0503", "denied"),
];
/// Default interval covered by one row of the table, in seconds.
const DEFAULT_INTERVAL_SECS: u32 = 2;
/// Number of reasons with a column of their own. All other reasons share one column.
const MAX_COLUMNS: usize = 9;

/// Number of lines with one reason, by the first second of the table row.
type Counts = BTreeMap<u32, u32>;

/// Prints how many requests were refused, lost or retried, by reason and time.
///
/// # Errors
/// If the arguments are not valid, or a file cannot be read.
pub fn run(mut args: Arguments) -> Result<(), CtlError> {
    let interval = args
        .opt_value_from_str("--every")?
        .unwrap_or(DEFAULT_INTERVAL_SECS);
    if interval == 0 {
        return Err(CtlError::Usage("--every must be at least 1 s".to_string()));
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

/// Keeps the most frequent reasons and merges all others into one column.
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

/// Returns the reason, which follows the last colon; `None` for events that do not count.
fn reason(line: &LogLine) -> Option<String> {
    let kind = COUNTED_EVENTS
        .iter()
        .find(|(event, _)| *event == line.event)?;
    let (_, words) = line.text.rsplit_once(": ")?;
    Some(format!("{}: {words}", kind.1))
}

/// Returns the second of the day of a timestamp such as `2026-12-02T10:00:03.300Z`.
fn second_of_day(time: &str) -> Option<u32> {
    let (_, clock) = time.split_once('T')?;
    let mut parts = clock.split([':', '.']);
    let mut next = || parts.next()?.parse::<u32>().ok();
    Some(next()? * 3_600 + next()? * 60 + next()?)
}
