//! Plain text tables.

use std::fmt::Write;

/// Space between two columns.
const GAP: &str = "  ";

/// Cells under headings, padded to the widest of each column.
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// A table with headings only.
    pub fn new(headings: &[&str]) -> Self {
        let headings = headings.iter().map(|heading| heading.to_string()).collect();
        Self { rows: vec![headings] }
    }

    /// Adds a row.
    pub fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// The text, a line for each row.
    pub fn render(&self) -> String {
        let widths = self.widths();
        let mut text = String::new();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                // Writing to a text never fails.
                let _ = write!(line, "{cell:width$}{GAP}");
            }
            text.push_str(line.trim_end());
            text.push('\n');
        }
        text
    }

    fn widths(&self) -> Vec<usize> {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        (0..columns).map(width).collect()
    }
}
