//! Plain-text tables.

/// Rows of cells in aligned columns. The first row holds the column headers.
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// A table without rows, with these column headers.
    pub(crate) fn new(headers: &[&str]) -> Table {
        let headers = headers.iter().map(|header| (*header).to_owned());
        Table {
            rows: vec![headers.collect()],
        }
    }

    /// Appends a row. `cells` has one cell for each column.
    pub(crate) fn add_row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// The table as text. Columns are separated by two spaces; each line ends with a newline and has no trailing
    /// spaces.
    pub(crate) fn render(&self) -> String {
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
