//! Plain-text tables.

use std::fmt::Write as _;

/// A table with a header and aligned columns.
#[derive(Debug, Default)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with a header.
    pub fn new(header: &[&str]) -> Self {
        Self {
            rows: vec![header.iter().map(ToString::to_string).collect()],
        }
    }

    /// Appends a row. It may have fewer cells than the header.
    pub fn add_row(&mut self, cells: &[&dyn std::fmt::Display]) {
        self.rows
            .push(cells.iter().map(ToString::to_string).collect());
    }

    /// Renders the table; the last column is not padded.
    pub fn render(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width_of = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<_> = (0..columns).map(width_of).collect();
        let mut text = String::new();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                let _ = write!(line, "{cell:width$}  ");
            }
            text.push_str(line.trim_end());
            text.push('\n');
        }
        text
    }
}
