//! Results, as JSON or as a table.

use {crate::arguments::Format, serde_json::Value, std::fmt::Write};

/// A result in both forms.
pub(crate) struct Output {
    pub(crate) json: Value,
    pub(crate) table: Table,
}

/// Text for readers.
pub(crate) enum Table {
    /// One line.
    Line(String),
    /// Rows under headings.
    Rows { headings: Vec<String>, rows: Vec<Vec<String>> },
}

impl Output {
    pub(crate) fn render(&self, format: Format) -> anyhow::Result<String> {
        match format {
            Format::Json => Ok(format!("{}\n", serde_json::to_string_pretty(&self.json)?)),
            Format::Table => Ok(self.table.render()),
        }
    }
}

impl Table {
    pub(crate) fn new(headings: &[&str], rows: Vec<Vec<String>>) -> Self {
        Self::Rows {
            headings: headings.iter().map(|heading| (*heading).to_owned()).collect(),
            rows,
        }
    }

    /// Named items: a column for the name and one for each field that occurs.
    pub(crate) fn of_items(items: &serde_json::Map<String, Value>) -> Self {
        let mut fields: Vec<&String> = Vec::new();
        for field in items.values().filter_map(Value::as_object).flat_map(|item| item.keys()) {
            if !fields.contains(&field) {
                fields.push(field);
            }
        }
        let headings = ["name"].into_iter().map(str::to_owned);
        let headings = headings.chain(fields.iter().map(|field| (*field).clone())).collect();
        let row = |(name, item): (&String, &Value)| {
            let cells = fields.iter().map(|field| item.get(*field).map_or_else(String::new, cell));
            [name.clone()].into_iter().chain(cells).collect()
        };
        Self::Rows { headings, rows: items.iter().map(row).collect() }
    }

    /// The leaves of a JSON value with their paths.
    pub(crate) fn of_leaves(headings: &[&str], value: &Value) -> Self {
        let mut rows = Vec::new();
        collect_leaves("", value, &mut rows);
        Self::new(headings, rows)
    }

    fn render(&self) -> String {
        match self {
            Self::Line(line) => format!("{line}\n"),
            Self::Rows { headings, rows } => render_rows(headings, rows),
        }
    }
}

fn collect_leaves(path: &str, value: &Value, rows: &mut Vec<Vec<String>>) {
    match value.as_object() {
        Some(fields) if !fields.is_empty() => {
            for (name, value) in fields {
                let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
                collect_leaves(&path, value, rows);
            }
        }
        _ => rows.push(vec![path.to_owned(), cell(value)]),
    }
}

/// A value in one cell.
pub(crate) fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => printable(text),
        Value::Array(values) => values.iter().map(cell).collect::<Vec<_>>().join(","),
        other => other.to_string(),
    }
}

/// The text without characters that could control a terminal.
fn printable(text: &str) -> String {
    text.chars().map(|c| if c.is_control() { ' ' } else { c }).collect()
}

fn render_rows(headings: &[String], rows: &[Vec<String>]) -> String {
    let headings: Vec<_> = headings.iter().map(|heading| heading.to_uppercase()).collect();
    let width = |column: usize| {
        let cells = [&headings].into_iter().chain(rows).filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<_> = (0..headings.len()).map(width).collect();
    let mut text = String::new();
    for row in [&headings].into_iter().chain(rows) {
        let mut line = String::new();
        for (cell, width) in row.iter().zip(&widths) {
            // Writing to a string does not fail.
            let _ = write!(line, "{cell:<width$}  ");
        }
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}
