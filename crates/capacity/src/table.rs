//! Markdown tables and the number format in them.

use std::fmt::Write;

/// A table under construction.
#[derive(Debug, Clone)]
pub struct Table {
    text: String,
}

impl Table {
    /// Starts a table with column titles.
    pub fn new(titles: &[&str]) -> Table {
        let mut table = Table { text: String::new() };
        table.row(titles);
        let _ = writeln!(table.text, "|{}", " --- |".repeat(titles.len()));
        table
    }

    /// Adds a row.
    pub fn row<T: AsRef<str>>(&mut self, cells: &[T]) {
        let cells: Vec<&str> = cells.iter().map(AsRef::as_ref).collect();
        let _ = writeln!(self.text, "| {} |", cells.join(" | "));
    }

    /// The table's Markdown text.
    pub fn text(self) -> String {
        self.text
    }
}

/// Formats a number with about three significant digits, whole from 100 and with separated thousands.
pub fn figure(value: f64) -> String {
    let size = value.abs();
    if size >= 1000.0 {
        return thousands(value);
    }
    let decimals = match size {
        _ if size >= 100.0 || size == 0.0 => 0,
        _ if size >= 10.0 => 1,
        _ if size >= 1.0 => 2,
        _ if size >= 0.01 => 3,
        _ => 5,
    };
    format!("{value:.decimals$}")
}

/// Formats a number rounded down to a whole one, with separated thousands.
pub fn count(value: f64) -> String {
    thousands(value.floor())
}

fn thousands(value: f64) -> String {
    let digits = format!("{:.0}", value.abs());
    let mut text = if value < 0.0 { "-".to_owned() } else { String::new() };
    for (index, digit) in digits.chars().enumerate() {
        if index > 0 && (digits.len() - index).is_multiple_of(3) {
            text.push(',');
        }
        text.push(digit);
    }
    text
}

/// Formats a share as a percentage.
pub fn percent(share: f64) -> String {
    format!("{} %", figure(share * 100.0))
}
