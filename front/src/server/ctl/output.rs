//! Output of the status of certificates: a table and an exit code.
use serde_json::Value;

/// A certificate with less than this percentage of its lifetime left needs attention.
const MIN_LIFETIME_LEFT_PERCENT: i64 = 15;
/// Exit code for a certificate that expires soon, is missing or does not cover all names.
const NEEDS_ATTENTION: u8 = 4;
/// Exit code for an expired certificate.
const EXPIRED: u8 = 5;

/// Formats a duration in its largest suitable unit.
fn duration(seconds: i64) -> String {
    let s = seconds.unsigned_abs();
    match s {
        0..=119 => format!("{s} s"),
        120..=7_199 => format!("{} min", s / 60),
        7_200..=172_799 => format!("{} h", s / 3_600),
        _ => format!("{} d", s / 86_400),
    }
}

/// Formats certificates as a table.
pub(super) fn table(rows: &[Value]) -> String {
    let header = ["NAME", "CERTIFICATE", "ENDS", "ORDER", "WHY"].map(String::from);
    let lines: Vec<_> = std::iter::once(header)
        .chain(rows.iter().map(cells))
        .collect();
    let width = |column: usize| {
        let widths = lines.iter().map(|line| line[column].chars().count());
        widths.max().unwrap_or(0)
    };
    let widths = [0, 1, 2, 3].map(width);
    let line = |line: &[String; 5]| {
        let columns = line.iter().zip(widths);
        let columns: Vec<_> = columns
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        let line = format!("{}  {}", columns.join("  "), line[4]);
        line.trim_end().to_string()
    };
    lines.iter().map(line).collect::<Vec<_>>().join("\n")
}

/// Returns the cells of the row for one certificate.
fn cells(row: &Value) -> [String; 5] {
    let text = |field: &str| row[field].as_str().unwrap_or("").to_string();
    let ends = match row["left_s"].as_i64() {
        Some(left) if left < 0 => format!("{} ago", duration(left)),
        Some(left) => format!("in {}", duration(left)),
        None => "-".into(),
    };
    let order = match row["next_s"].as_i64() {
        Some(next) => format!("{} ({})", text("order"), duration(next)),
        None => text("order"),
    };
    [text("name"), text("certificate"), ends, order, reason(row)]
}

/// Formats the last error of a certificate and the names that the authority refuses.
fn reason(row: &Value) -> String {
    let why = match &row["why"] {
        Value::Null => "-".to_string(),
        why => format!(
            "{}: {}",
            why["cause"].as_str().unwrap_or(""),
            why["text"].as_str().unwrap_or("")
        ),
    };
    let refused = row["refused"].as_array().into_iter().flatten();
    let refused: Vec<_> = refused.filter_map(Value::as_str).collect();
    if refused.is_empty() {
        return why;
    }
    format!("refused: {}; {why}", refused.join(" "))
}

/// Returns the highest exit code of all certificates.
pub(super) fn worst_exit_code(rows: &[Value]) -> u8 {
    rows.iter().map(exit_code).max().unwrap_or(0)
}

fn exit_code(row: &Value) -> u8 {
    let not_after = row["not_after"].as_i64();
    let lifetime = not_after
        .zip(row["not_before"].as_i64())
        .map_or(0, |(not_after, not_before)| not_after - not_before);
    match (row["certificate"].as_str(), row["left_s"].as_i64()) {
        (Some("EXPIRED"), _) => EXPIRED,
        (Some("good"), Some(left))
            if left * 100 >= lifetime * MIN_LIFETIME_LEFT_PERCENT && is_complete(row) =>
        {
            0
        }
        _ => NEEDS_ATTENTION,
    }
}

/// Whether a certificate covers all configured names.
fn is_complete(row: &Value) -> bool {
    let covered = row["covers"].as_array().cloned().unwrap_or_default();
    let names = row["names"].as_array().cloned().unwrap_or_default();
    names.iter().all(|name| covered.contains(name))
}
