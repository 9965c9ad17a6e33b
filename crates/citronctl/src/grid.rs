//! Text tables with aligned columns.

/// Formats rows of cells under headings. Numbers are aligned to the right.
pub fn layout(headings: &[String], rows: &[Vec<String>]) -> String {
    let width = |column: usize| {
        let cells = rows.iter().map(|cells| cells[column].chars().count());
        cells
            .chain([headings[column].chars().count()])
            .max()
            .unwrap_or(0)
    };
    let widths: Vec<usize> = (0..headings.len()).map(width).collect();
    let mut text = format_row(headings, &widths);
    for cells in rows {
        text.push_str(&format_row(cells, &widths));
    }
    text
}

fn format_row(cells: &[String], widths: &[usize]) -> String {
    let padded = cells
        .iter()
        .zip(widths)
        .map(|(cell, width)| match cell.parse::<f64>().is_ok() {
            true => format!("{cell:>width$}"),
            false => format!("{cell:<width$}"),
        });
    let joined = padded.collect::<Vec<_>>().join("  ");
    format!("{}\n", joined.trim_end())
}
