//! Aligned columns.

/// Lays cells out under headings; numbers are set flush right.
pub fn layout(heads: &[String], lines: &[Vec<String>]) -> String {
    let width = |column: usize| {
        let cells = lines.iter().map(|line| line[column].chars().count());
        cells
            .chain([heads[column].chars().count()])
            .max()
            .unwrap_or(0)
    };
    let widths: Vec<usize> = (0..heads.len()).map(width).collect();
    let mut text = line(heads, &widths);
    for cells in lines {
        text.push_str(&line(cells, &widths));
    }
    text
}

fn line(cells: &[String], widths: &[usize]) -> String {
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
