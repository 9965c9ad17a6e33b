//! Shows an edit, asks, applies it and waits.

use {
    crate::{args::Options, client::Client, diff::diff, error::CtlError, wait},
    citron_wire::{
        admin::{RowEditWire, RowsWire},
        row::RowWire,
    },
    std::io::{self, BufRead, IsTerminal},
};

/// Applies an edit after showing what it changes.
pub async fn apply(
    client: &Client,
    options: &Options,
    table: &RowsWire,
    edits: Vec<RowEditWire>,
    dry_run: bool,
) -> Result<(), CtlError> {
    if edits.is_empty() {
        println!("nothing to change");
        return Ok(());
    }
    for edit in &edits {
        eprint!("{}", diff(edit, find_row(table, &edit.key)));
    }
    if dry_run {
        println!("nothing was sent, rows that would change: {}", edits.len());
        return Ok(());
    }
    confirm(options)?;
    let count = edits.len();
    let revision = client.edit(edits).await?;
    println!("accepted as revision {revision}, rows: {count}");
    wait::until_in_force(client, options, revision).await
}

fn find_row<'a>(table: &'a RowsWire, key: &str) -> Option<&'a RowWire> {
    let row = table.rows.iter().find(|row| row.key == key);
    row.map(|row| &row.row)
}

/// Asks on a terminal; elsewhere nobody could answer, so `--yes` must be given.
fn confirm(options: &Options) -> Result<(), CtlError> {
    if options.skip_confirm {
        return Ok(());
    }
    if !io::stdin().is_terminal() {
        let message = "no terminal to ask on: give --yes to apply";
        return Err(CtlError::Usage(message.to_string()));
    }
    eprint!("apply? [y/N] ");
    let mut line = String::new();
    let result = io::stdin().lock().read_line(&mut line);
    result.map_err(|error| CtlError::Failed(error.to_string()))?;
    match line.trim() {
        "y" | "Y" | "yes" => Ok(()),
        _ => Err(CtlError::Failed("nothing was sent".to_string())),
    }
}
