//! The daemon's own settings: one JSON file, given by `cranesill serve --settings FILE`. Everything that it can
//! switch on is off without it.
//!
//! Units stand in the names: `_ms` and `_s` are spans, `_bytes` sizes, `_percent` shares of a hundred. Unknown
//! keys are refused. [`read`] finds all faults of a file, not only the first, each with its JSON path.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod check;
mod diff;
mod types;

pub use check::{read, Fault};
pub use diff::{changes, Changes};
pub use types::*;

/// The JSON Schema of the file, as `cranesill schema` prints it.
pub fn schema() -> serde_json::Value {
    let mut schema = schemars::schema_for!(Daemon).to_value();
    plain(&mut schema);
    schema
}

/// Alternatives that are nothing but words become a list of words: a fault then names those that would do.
fn plain(schema: &mut serde_json::Value) {
    let words = schema
        .get("oneOf")
        .and_then(|v| v.as_array())
        .and_then(|all| {
            let word = |s: &serde_json::Value| s.get("const").cloned();
            all.iter().map(word).collect::<Option<Vec<_>>>()
        });
    match schema {
        serde_json::Value::Object(object) => {
            if let Some(words) = words {
                object.remove("oneOf");
                object.insert("enum".into(), words.into());
            }
            object.values_mut().for_each(plain);
        }
        serde_json::Value::Array(all) => all.iter_mut().for_each(plain),
        _ => {}
    }
}

#[cfg(test)]
mod tests;
