//! Validates settings before they are read, and reports each fault with its path.
//!
//! A missing key is valid, since the sender omits keys that have their default. A value of the wrong type or out of
//! range is rejected here because the reader would silently take it as 0.
use crate::error::{Problem, SettingsFault};
use serde_json::Value;

/// One hour.
const MAX_DURATION_US: f64 = 3.6e9;
/// JSON pointers of numbers, each with its maximum. The minimum is 0.
const NUMBERS: [(&str, f64); 20] = [
    ("/zone", 65_535.0),
    ("/index", 1e6),
    ("/nInstances", 1e6),
    ("/familyInfo/clientKbPerS", 1e12),
    ("/familyInfo/purgeTakes", MAX_DURATION_US),
    ("/familyInfo/purgeGrace", MAX_DURATION_US),
    ("/familyInfo/parentColdFrom", 1.0),
    ("/familyInfo/parentWarmsIn", MAX_DURATION_US),
    ("/familyInfo/parentFallMultiple", 1e6),
    ("/rules/coldFrom", 1.0),
    ("/rules/cold", MAX_DURATION_US),
    ("/rules/fallMultiple", 1e6),
    ("/rules/overloadFor", MAX_DURATION_US),
    ("/policyLimits/connIdle", MAX_DURATION_US),
    ("/policyLimits/connectTimeout", MAX_DURATION_US),
    ("/policyLimits/maxRetryAfter", MAX_DURATION_US),
    ("/policyLimits/openCap", 1e9),
    ("/policyLimits/sendCap", 65_535.0),
    ("/policyLimits/streamsPerConn", 1e9),
    ("/step", MAX_DURATION_US),
];
const CLASS_NUMBERS: [(&str, f64); 5] = [
    ("/aim", MAX_DURATION_US),
    ("/aimStretch", 1e6),
    ("/gain", 1e12),
    ("/deadline", MAX_DURATION_US),
    ("/memorySpan", MAX_DURATION_US),
];
const BOOLEANS: [&str; 5] = [
    "/familyInfo/joins",
    "/familyInfo/passThroughOk",
    "/policyLimits/cancelling",
    "/policyLimits/mayDuplicate",
    "/policyLimits/retryAfter",
];
/// JSON pointers of indexes into the list of kinds; -1 means none.
const KIND_INDEXES: [&str; 2] = ["/familyInfo/upperKind", "/familyInfo/rootKind"];
/// JSON pointers of arrays, each with the type of its entries.
const ARRAYS: [(&str, Expected); 10] = [
    ("/classes", Expected::Object),
    ("/zones", Expected::String),
    ("/kinds", Expected::String),
    ("/report/fields", Expected::String),
    ("/familyInfo/classWrite", Expected::Boolean),
    ("/familyInfo/classFresh", Expected::Number(MAX_DURATION_US)),
    ("/familyInfo/usableAfter", Expected::Number(MAX_DURATION_US)),
    ("/familyInfo/seatsByZone", Expected::Number(1e6)),
    ("/familyInfo/feedKbPerS", Expected::Number(1e12)),
    ("/familyInfo/attachedTo", Expected::Number(65_535.0)),
];
/// Keys in `familyInfo` of arrays with one entry per class.
const CLASS_ARRAYS: [&str; 3] = ["classWrite", "classFresh", "usableAfter"];
const SEMANTICS: [&str; 3] = ["pure", "token", "side_effect"];
const KEY_SCOPES: [&str; 3] = ["all", "zone", "cell"];
const DISCOVERY: [&str; 2] = ["automatic", "subscribe"];
/// Longest excerpt of an invalid value in an error message.
const MAX_REPORTED_CHARS: usize = 40;
const MAX_ARRAY_ENTRIES: usize = 65_536;

/// The expected type of a value.
#[derive(Clone, Copy)]
enum Expected {
    Object,
    String,
    Boolean,
    /// A number from 0 to this maximum.
    Number(f64),
}

impl Expected {
    fn problem(self, value: &Value) -> Option<Problem> {
        match self {
            Expected::Object => (!value.is_object()).then_some(Problem::NotAnObject),
            Expected::String => (!value.is_string()).then_some(Problem::NotAString),
            Expected::Boolean => (!value.is_boolean()).then_some(Problem::NotABoolean),
            Expected::Number(max) => match value.as_f64() {
                None => Some(Problem::NotANumber),
                Some(value) if (0.0..=max).contains(&value) => None,
                Some(value) => Some(Problem::OutOfRange { value, max }),
            },
        }
    }
}

/// Returns all faults of the settings.
pub fn faults(settings: &Value) -> Vec<SettingsFault> {
    let mut checker = Checker::default();
    for (pointer, max) in NUMBERS {
        checker.check_value(settings, "settings", pointer, Expected::Number(max));
    }
    for pointer in BOOLEANS {
        checker.check_value(settings, "settings", pointer, Expected::Boolean);
    }
    for (index, class) in classes(settings).enumerate() {
        checker.check_class(index, class);
    }
    for (pointer, expected) in ARRAYS {
        checker.check_array(settings, pointer, expected);
    }
    for pointer in KIND_INDEXES {
        checker.check_kind_index(settings, pointer);
    }
    for (index, class) in classes(settings).enumerate() {
        checker.check_class_enums(index, class);
    }
    checker.check_enum(&settings["discovery"], "settings.discovery", &DISCOVERY);
    checker.check_zone(settings);
    checker.check_class_arrays(settings);
    checker.faults
}

fn classes(settings: &Value) -> impl Iterator<Item = &Value> {
    settings["classes"].as_array().into_iter().flatten()
}

/// Returns the value at a JSON pointer, or `None` if it is missing or `null`.
fn present<'a>(value: &'a Value, pointer: &str) -> Option<&'a Value> {
    value.pointer(pointer).filter(|found| !found.is_null())
}

/// Converts a JSON pointer to the dotted path used in error messages.
fn path(base: &str, pointer: &str) -> String {
    format!("{base}{}", pointer.replace('/', "."))
}

fn array_len(settings: &Value, pointer: &str) -> Option<usize> {
    settings
        .pointer(pointer)
        .and_then(Value::as_array)
        .map(Vec::len)
}

/// Collects faults.
#[derive(Default)]
struct Checker {
    faults: Vec<SettingsFault>,
}

impl Checker {
    fn report(&mut self, path: String, problem: Problem) {
        self.faults.push(SettingsFault { path, problem });
    }

    fn check_value(&mut self, parent: &Value, base: &str, pointer: &str, expected: Expected) {
        let found = present(parent, pointer);
        if let Some(problem) = found.and_then(|value| expected.problem(value)) {
            self.report(path(base, pointer), problem);
        }
    }

    fn check_class(&mut self, index: usize, class: &Value) {
        let base = format!("settings.classes[{index}]");
        for (pointer, max) in CLASS_NUMBERS {
            self.check_value(class, &base, pointer, Expected::Number(max));
        }
        self.check_value(class, &base, "/name", Expected::String);
    }

    fn check_array(&mut self, settings: &Value, pointer: &str, expected: Expected) {
        let name = path("settings", pointer);
        match present(settings, pointer) {
            None => {}
            Some(Value::Array(entries)) if entries.len() > MAX_ARRAY_ENTRIES => {
                let max = MAX_ARRAY_ENTRIES;
                self.report(name, Problem::TooManyEntries { max });
            }
            Some(Value::Array(entries)) => {
                for (index, entry) in entries.iter().enumerate() {
                    if let Some(problem) = expected.problem(entry) {
                        self.report(format!("{name}[{index}]"), problem);
                    }
                }
            }
            Some(_) => self.report(name, Problem::NotAnArray),
        }
    }

    fn check_kind_index(&mut self, settings: &Value, pointer: &str) {
        let is_kind_index = |value: &Value| value.as_i64().is_some_and(|n| (-1..=255).contains(&n));
        if present(settings, pointer).is_some_and(|value| !is_kind_index(value)) {
            self.report(path("settings", pointer), Problem::NotAKindIndex);
        }
    }

    fn check_class_enums(&mut self, index: usize, class: &Value) {
        let name = |key: &str| format!("settings.classes[{index}].{key}");
        self.check_enum(&class["semantics"], &name("semantics"), &SEMANTICS);
        self.check_enum(&class["group"], &name("group"), &KEY_SCOPES);
    }

    fn check_enum(&mut self, value: &Value, path: &str, allowed: &'static [&'static str]) {
        let is_allowed = value.as_str().is_some_and(|name| allowed.contains(&name));
        if !value.is_null() && !is_allowed {
            let excerpt = value.to_string().chars().take(MAX_REPORTED_CHARS).collect();
            self.report(path.to_string(), Problem::NotAllowed { excerpt, allowed });
        }
    }

    fn check_zone(&mut self, settings: &Value) {
        let zones = array_len(settings, "/zones");
        let zone = settings["zone"].as_u64();
        if zones
            .zip(zone)
            .is_some_and(|(zones, zone)| zone as usize >= zones)
        {
            let zone = settings["zone"].to_string();
            self.report("settings.zone".to_string(), Problem::NoSuchZone { zone });
        }
    }

    fn check_class_arrays(&mut self, settings: &Value) {
        let Some(classes) = array_len(settings, "/classes") else {
            return;
        };
        for key in CLASS_ARRAYS {
            let entries = array_len(settings, &format!("/familyInfo/{key}"));
            if entries.is_some_and(|entries| entries > classes) {
                let path = format!("settings.familyInfo.{key}");
                self.report(path, Problem::MoreThanClasses);
            }
        }
    }
}

#[cfg(test)]
mod tests;
