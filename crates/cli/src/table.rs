//! Tables for people.

/// Rows of text in aligned columns.
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// A table with these column titles.
    pub(crate) fn new(titles: &[&str]) -> Table {
        let titles = titles.iter().map(|title| (*title).to_owned());
        Table {
            rows: vec![titles.collect()],
        }
    }

    /// Adds a row with a cell for each column.
    pub(crate) fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// The lines of the table.
    pub(crate) fn lines(&self) -> String {
        let columns = self.rows.first().map_or(0, Vec::len);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(String::len).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        let mut text = String::new();
        for row in &self.rows {
            let cells = row.iter().zip(&widths);
            let cells = cells.map(|(cell, width)| format!("{cell:<width$}"));
            let line = cells.collect::<Vec<_>>().join("  ");
            text.push_str(line.trim_end());
            text.push('\n');
        }
        text
    }
}
