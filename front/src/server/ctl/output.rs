//! How certificates are shown to operators, as a table and as an exit code.
use serde_json::Value;

/// A certificate with less of its life left than this is told of by the exit code, in hundredths.
const SOON_PERCENT: i64 = 15;

/// A span as people say it.
fn span(seconds: i64) -> String {
    let s = seconds.unsigned_abs();
    match s {
        0..=119 => format!("{s} s"),
        120..=7_199 => format!("{} min", s / 60),
        7_200..=172_799 => format!("{} h", s / 3_600),
        _ => format!("{} d", s / 86_400),
    }
}

pub(super) fn table(rows: &[Value]) -> String {
    let mut lines = vec![["NAME", "CERTIFICATE", "ENDS", "ORDER", "WHY"].map(String::from)];
    for row in rows {
        let text = |field: &str| row[field].as_str().unwrap_or("").to_string();
        let ends = match row["left_s"].as_i64() {
            Some(left) if left < 0 => format!("{} ago", span(left)),
            Some(left) => format!("in {}", span(left)),
            None => "-".into(),
        };
        let order = match row["next_s"].as_i64() {
            Some(next) => format!("{} ({})", text("order"), span(next)),
            None => text("order"),
        };
        let mut why = match &row["why"] {
            Value::Null => "-".to_string(),
            why => format!(
                "{}: {}",
                why["cause"].as_str().unwrap_or(""),
                why["text"].as_str().unwrap_or("")
            ),
        };
        let refused: Vec<_> = row["refused"]
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(Value::as_str)
            .collect();
        if !refused.is_empty() {
            why = format!("refused: {}; {why}", refused.join(" "));
        }
        lines.push([text("name"), text("certificate"), ends, order, why]);
    }
    let wide = |i: usize| {
        lines
            .iter()
            .map(|l| l[i].chars().count())
            .max()
            .unwrap_or(0)
    };
    let widths: Vec<_> = (0..4).map(wide).collect();
    let line = |l: &[String; 5]| {
        let cells: Vec<_> = (0..4)
            .map(|i| format!("{:w$}", l[i], w = widths[i]))
            .collect();
        format!("{}  {}", cells.join("  "), l[4])
            .trim_end()
            .to_string()
    };
    lines.iter().map(line).collect::<Vec<_>>().join("\n")
}

/// What the exit code says of certificates.
pub(super) fn verdict(rows: &[Value]) -> u8 {
    let of = |row: &Value| {
        let life = row["not_after"]
            .as_i64()
            .zip(row["not_before"].as_i64())
            .map_or(0, |(a, b)| a - b);
        let left = row["left_s"].as_i64();
        match (row["certificate"].as_str(), left) {
            (Some("EXPIRED"), _) => 5,
            (Some("good"), Some(left)) if left * 100 >= life * SOON_PERCENT => {
                let covers = row["covers"].as_array().cloned().unwrap_or_default();
                let names = row["names"].as_array().cloned().unwrap_or_default();
                if names.iter().all(|n| covers.contains(n)) {
                    0
                } else {
                    4
                }
            }
            _ => 4,
        }
    };
    rows.iter().map(of).max().unwrap_or(0)
}
