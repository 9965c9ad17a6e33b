//! Read-only commands, and `refused --lift`.

use {
    super::reject_extra_args,
    crate::{
        client::Client,
        diff::changes,
        error::CtlError,
        grid,
        report::{self, Figures},
        wait,
    },
    citron_wire::{
        admin::{HistoryEntryWire, StatusWire},
        table::RowChangeWire,
    },
    jiff::Timestamp,
    pico_args::Arguments,
    std::collections::BTreeMap,
};

/// Default number of history entries.
const DEFAULT_HISTORY_LIMIT: usize = 100;

/// `status [--format table|json]`
pub async fn status(mut args: Arguments, client: &Client) -> Result<(), CtlError> {
    let json = is_json(&mut args)?;
    reject_extra_args(args)?;
    let statuses = wait::poll_instances(client).await;
    if json {
        return print_json(&statuses);
    }
    print!("{}", status_grid(&statuses));
    let reached = statuses.values().flatten().count();
    println!("{reached} of {} instances reached", statuses.len());
    Ok(())
}

fn status_grid(statuses: &BTreeMap<String, Option<StatusWire>>) -> String {
    let headings = ["instance", "domain", "in force", "latest known", "platform"];
    let line = |(name, status): (&String, &Option<StatusWire>)| {
        let Some(status) = status else {
            let unknown = ["?", "?", "?", "not reached"].map(str::to_string);
            return [vec![name.clone()], unknown.to_vec()].concat();
        };
        let platform = if status.fresh { "reached" } else { "cut off" };
        vec![
            name.clone(),
            status.domain.clone(),
            status.revision.to_string(),
            status.latest.to_string(),
            platform.to_string(),
        ]
    };
    let lines: Vec<_> = statuses.iter().map(line).collect();
    grid::layout(&headings.map(str::to_string), &lines)
}

/// `owner SERVICE KEY`
pub async fn owner(mut args: Arguments, client: &Client) -> Result<(), CtlError> {
    let service: String = args.free_from_str()?;
    let key: String = args.free_from_str()?;
    reject_extra_args(args)?;
    let owner = client.owner(&service, &key).await?;
    println!("{}", owner.owner);
    println!("{}", owner.why);
    Ok(())
}

/// `history [--after REVISION] [--limit N] [--format table|json]`
pub async fn history(mut args: Arguments, client: &Client) -> Result<(), CtlError> {
    let json = is_json(&mut args)?;
    let after: Option<u64> = args.opt_value_from_str("--after")?;
    let limit: Option<usize> = args.opt_value_from_str("--limit")?;
    reject_extra_args(args)?;
    let page = client
        .history(after.unwrap_or(0), limit.unwrap_or(DEFAULT_HISTORY_LIMIT))
        .await?;
    if json {
        return print_json(&page);
    }
    for entry in &page.entries {
        print!("{}", entry_text(entry));
    }
    Ok(())
}

fn entry_text(entry: &HistoryEntryWire) -> String {
    let millis = i64::try_from(entry.at_ms).unwrap_or(i64::MAX);
    let at = Timestamp::from_millisecond(millis);
    let at = at.map_or_else(|_| "?".to_string(), |at| at.to_string());
    let mut text = format!("revision {} by {} at {at}\n", entry.revision, entry.by);
    for change in &entry.changes {
        for line in change_text(change).lines() {
            text.push_str(&format!("  {line}\n"));
        }
    }
    text
}

fn change_text(change: &RowChangeWire) -> String {
    match (&change.before, &change.after) {
        (Some(before), Some(after)) => changes(&change.key, before, after),
        (None, Some(_)) => format!("+ {}", change.key),
        _ => format!("- {}", change.key),
    }
}

/// `refused [--lift FINGERPRINT]`
pub async fn refused(mut args: Arguments, client: &Client) -> Result<(), CtlError> {
    let lift: Option<String> = args.opt_value_from_str("--lift")?;
    reject_extra_args(args)?;
    if let Some(fingerprint) = lift {
        let lifted = client.lift(fingerprint).await?;
        println!("{} is no longer refused", lifted.fingerprint);
        return Ok(());
    }
    let refused = client.refused().await?;
    let headings = ["fingerprint", "crashes", "refused s", "request"].map(str::to_string);
    let lines = refused.requests.iter().map(|request| {
        let seconds = request
            .refused_ms
            .map(|millis| (millis / 1_000).to_string());
        vec![
            request.fingerprint.clone(),
            request.crashes.to_string(),
            seconds.unwrap_or_else(|| "-".to_string()),
            request.label.clone(),
        ]
    });
    print!("{}", grid::layout(&headings, &lines.collect::<Vec<_>>()));
    Ok(())
}

/// `report [--format text|json|html]`
pub async fn report(mut args: Arguments, client: &Client) -> Result<(), CtlError> {
    let format: Option<String> = args.opt_value_from_str("--format")?;
    reject_extra_args(args)?;
    let burn = client.burn().await?;
    let table = client.rows(None).await?;
    let figures = Figures::new(burn, table)?;
    match format.as_deref().unwrap_or("text") {
        "text" => print!("{}", report::text(&figures)),
        "json" => println!("{}", report::json(&figures)?),
        "html" => print!("{}", report::html(&figures)),
        other => {
            let message = format!("--format is '{other}'; allowed: text, json, html");
            return Err(CtlError::Usage(message));
        }
    }
    Ok(())
}

fn is_json(args: &mut Arguments) -> Result<bool, CtlError> {
    let format: Option<String> = args.opt_value_from_str("--format")?;
    match format.as_deref() {
        None | Some("table") => Ok(false),
        Some("json") => Ok(true),
        Some(other) => {
            let message = format!("--format is '{other}'; allowed: table, json");
            Err(CtlError::Usage(message))
        }
    }
}

fn print_json(value: &impl serde::Serialize) -> Result<(), CtlError> {
    let failed = |error: serde_json::Error| CtlError::Failed(error.to_string());
    println!("{}", serde_json::to_string_pretty(value).map_err(failed)?);
    Ok(())
}
