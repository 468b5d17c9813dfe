//! Tables of figures, for people or as JSON, and slopes over sizes.

use serde_json::{json, Map, Value};

/// How a report is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// Columns aligned by spaces.
    #[default]
    Table,
    /// One JSON object a line for each row.
    Json,
}

/// Rows of figures under named columns.
#[derive(Clone, Debug)]
pub struct Table {
    title: String,
    columns: Vec<&'static str>,
    rows: Vec<Vec<Value>>,
}

impl Table {
    /// An empty table.
    pub fn new(title: impl Into<String>, columns: &[&'static str]) -> Self {
        Self {
            title: title.into(),
            columns: columns.to_vec(),
            rows: Vec::new(),
        }
    }

    /// Adds a row with a figure for each column. It is told on standard error
    /// at once, since a long run may be cut off.
    pub fn row(&mut self, figures: Vec<Value>) {
        let shown: Vec<String> = figures.iter().map(shown).collect();
        eprintln!("{}: {}", self.title, shown.join(" "));
        self.rows.push(figures);
    }

    /// Adds figures to the last row.
    pub fn extend_last(&mut self, figures: Vec<Value>) {
        if let Some(row) = self.rows.last_mut() {
            row.extend(figures);
        }
    }

    /// The table as text.
    pub fn render(&self, format: Format) -> String {
        match format {
            Format::Table => self.as_text(),
            Format::Json => self.as_json(),
        }
    }

    fn as_json(&self) -> String {
        let lines = self.rows.iter().map(|row| {
            let mut object = Map::new();
            object.insert("table".to_string(), json!(self.title));
            for (column, figure) in self.columns.iter().zip(row) {
                object.insert(column.to_string(), figure.clone());
            }
            format!("{}\n", Value::Object(object))
        });
        lines.collect()
    }

    fn as_text(&self) -> String {
        let header: Vec<String> = self.columns.iter().map(|column| column.to_string()).collect();
        let rows: Vec<Vec<String>> = self
            .rows
            .iter()
            .map(|row| row.iter().map(shown).collect())
            .collect();
        let widths: Vec<usize> = (0..header.len())
            .map(|column| {
                let cells = rows.iter().map(|row| row[column].len());
                cells.chain([header[column].len()]).max().unwrap_or(0)
            })
            .collect();
        let mut text = format!("{}\n", self.title);
        for row in std::iter::once(&header).chain(&rows) {
            let cells = row.iter().zip(&widths);
            let cells: Vec<String> = cells.map(|(cell, width)| format!("{cell:>width$}")).collect();
            text.push_str(&cells.join("  "));
            text.push('\n');
        }
        text
    }
}

fn shown(figure: &Value) -> String {
    match figure {
        Value::String(text) => text.clone(),
        Value::Number(number) if number.is_f64() => {
            let value = number.as_f64().unwrap_or_default();
            if value.abs() >= 100.0 {
                format!("{value:.0}")
            } else {
                format!("{value:.3}")
            }
        }
        other => other.to_string(),
    }
}

/// The straight line through points by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// The value at 0.
    pub at_zero: f64,
    /// What one more costs.
    pub slope: f64,
}

impl Line {
    /// Through points of (size, value); `None` with fewer than two sizes.
    pub fn through(points: &[(f64, f64)]) -> Option<Line> {
        let count = points.len() as f64;
        let mean_size = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_value = points.iter().map(|point| point.1).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|point| (point.0 - mean_size).powi(2)).sum();
        if points.len() < 2 || spread == 0.0 {
            return None;
        }
        let products = points
            .iter()
            .map(|point| (point.0 - mean_size) * (point.1 - mean_value));
        let slope = products.sum::<f64>() / spread;
        Some(Line {
            at_zero: mean_value - slope * mean_size,
            slope,
        })
    }
}

/// The value below which a share (0 to 1) of the values lies; 0 of none.
pub fn quantile(values: &[f64], share: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let last = sorted.len().saturating_sub(1);
    let position = (last as f64 * share).ceil() as usize;
    sorted.get(position).copied().unwrap_or_default()
}

/// The mean; 0 of none.
pub fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / (values.len().max(1) as f64)
}
