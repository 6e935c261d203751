//! What settings may be: each fault is told with its place. A key that is missing is none, since the wire leaves out what
//! has its default; one of another kind, or out of bounds, would be read as 0 and followed in silence.
use serde_json::Value;

/// Figures, each with the most that it may be; none is negative. Spans are microseconds, an hour at most.
const SPAN: f64 = 3.6e9;
const FIGURES: [(&str, f64); 20] = [
    ("/zone", 65_535.0),
    ("/index", 1e6),
    ("/nInstances", 1e6),
    ("/familyInfo/clientKbPerS", 1e12),
    ("/familyInfo/purgeTakes", SPAN),
    ("/familyInfo/purgeGrace", SPAN),
    ("/familyInfo/parentColdFrom", 1.0),
    ("/familyInfo/parentWarmsIn", SPAN),
    ("/familyInfo/parentFallMultiple", 1e6),
    ("/rules/coldFrom", 1.0),
    ("/rules/cold", SPAN),
    ("/rules/fallMultiple", 1e6),
    ("/rules/overloadFor", SPAN),
    ("/policyLimits/connIdle", SPAN),
    ("/policyLimits/connectTimeout", SPAN),
    ("/policyLimits/maxRetryAfter", SPAN),
    ("/policyLimits/openCap", 1e9),
    ("/policyLimits/sendCap", 65_535.0),
    ("/policyLimits/streamsPerConn", 1e9),
    ("/step", SPAN),
];
const CLASS_FIGURES: [(&str, f64); 5] = [
    ("/aim", SPAN),
    ("/aimStretch", 1e6),
    ("/gain", 1e12),
    ("/deadline", SPAN),
    ("/memorySpan", SPAN),
];
const FLAGS: [&str; 5] = [
    "/familyInfo/joins",
    "/familyInfo/passThroughOk",
    "/policyLimits/cancelling",
    "/policyLimits/mayDuplicate",
    "/policyLimits/retryAfter",
];
const KINDS: [&str; 2] = ["/familyInfo/upperKind", "/familyInfo/rootKind"];
/// Lists, what each holds, and how many at most.
const LISTS: [(&str, Holds); 10] = [
    ("/classes", Holds::Objects),
    ("/zones", Holds::Names),
    ("/kinds", Holds::Names),
    ("/report/fields", Holds::Names),
    ("/familyInfo/classWrite", Holds::Flags),
    ("/familyInfo/classFresh", Holds::Figures(SPAN)),
    ("/familyInfo/usableAfter", Holds::Figures(SPAN)),
    ("/familyInfo/seatsByZone", Holds::Figures(1e6)),
    ("/familyInfo/feedKbPerS", Holds::Figures(1e12)),
    ("/familyInfo/attachedTo", Holds::Figures(65_535.0)),
];
/// Of a word that is not known so much is told.
const WORD_TOLD: usize = 40;
const LIST_MOST: usize = 65_536;

#[derive(Clone, Copy)]
enum Holds {
    Objects,
    Names,
    Flags,
    Figures(f64),
}

impl Holds {
    fn fault(self, v: &Value) -> Option<String> {
        match self {
            Holds::Objects => (!v.is_object()).then(|| "not an object".into()),
            Holds::Names => (!v.is_string()).then(|| "not a text".into()),
            Holds::Flags => (!v.is_boolean()).then(|| "not true or false".into()),
            Holds::Figures(most) => match v.as_f64() {
                None => Some("not a number".into()),
                Some(n) => {
                    (!(0.0..=most).contains(&n)).then(|| format!("{n:?}: not from 0 to {most}"))
                }
            },
        }
    }
}

/// All that is wrong with settings, each with its path.
pub fn faults(v: &Value) -> Vec<String> {
    let mut faults = Vec::new();
    let mut look = |v: &Value, before: &str, path: &str, holds: Holds| {
        let found = v.pointer(path).filter(|v| !v.is_null());
        if let Some(why) = found.and_then(|v| holds.fault(v)) {
            faults.push(format!("{before}{}: {why}", path.replace('/', ".")));
        }
    };
    FIGURES
        .iter()
        .for_each(|(path, most)| look(v, "settings", path, Holds::Figures(*most)));
    FLAGS
        .iter()
        .for_each(|path| look(v, "settings", path, Holds::Flags));
    for (i, class) in v["classes"].as_array().into_iter().flatten().enumerate() {
        let before = format!("settings.classes[{i}]");
        CLASS_FIGURES
            .iter()
            .for_each(|(path, most)| look(class, &before, path, Holds::Figures(*most)));
        look(class, &before, "/name", Holds::Names);
    }
    for (path, holds) in LISTS {
        let name = format!("settings{}", path.replace('/', "."));
        match v.pointer(path) {
            None | Some(Value::Null) => {}
            Some(Value::Array(all)) if all.len() > LIST_MOST => {
                faults.push(format!("{name}: over {LIST_MOST} entries"));
            }
            Some(Value::Array(all)) => {
                let told = all
                    .iter()
                    .enumerate()
                    .filter_map(|(i, v)| Some((i, holds.fault(v)?)));
                faults.extend(told.map(|(i, why)| format!("{name}[{i}]: {why}")));
            }
            Some(_) => faults.push(format!("{name}: not a list")),
        }
    }
    for path in KINDS {
        let found = v.pointer(path).filter(|v| !v.is_null());
        if found.is_some_and(|v| !v.as_i64().is_some_and(|n| (-1..=255).contains(&n))) {
            faults.push(format!(
                "settings{}: not the place of a kind, or -1 for none",
                path.replace('/', ".")
            ));
        }
    }
    meanings(v, &mut faults);
    faults
}

/// Faults of words, and of figures that do not go together.
fn meanings(v: &Value, faults: &mut Vec<String>) {
    let mut word = |v: &Value, name: &str, known: &[&str]| {
        if !v.is_null() && !v.as_str().is_some_and(|word| known.contains(&word)) {
            let told: String = v.to_string().chars().take(WORD_TOLD).collect();
            faults.push(format!("{name}: {told}: none of {}", known.join(", ")));
        }
    };
    for (i, class) in v["classes"].as_array().into_iter().flatten().enumerate() {
        let name = |key: &str| format!("settings.classes[{i}].{key}");
        word(
            &class["semantics"],
            &name("semantics"),
            &["pure", "token", "side_effect"],
        );
        word(&class["group"], &name("group"), &["all", "zone", "cell"]);
    }
    word(
        &v["discovery"],
        "settings.discovery",
        &["automatic", "subscribe"],
    );
    let count = |path: &str| v.pointer(path).and_then(Value::as_array).map(Vec::len);
    if count("/zones")
        .zip(v["zone"].as_u64())
        .is_some_and(|(zones, zone)| zone as usize >= zones)
    {
        faults.push(format!(
            "settings.zone: {}: not a place in settings.zones",
            v["zone"]
        ));
    }
    let Some(classes) = count("/classes") else {
        return;
    };
    for key in ["classWrite", "classFresh", "usableAfter"] {
        if count(&format!("/familyInfo/{key}")).is_some_and(|n| n > classes) {
            faults.push(format!(
                "settings.familyInfo.{key}: more entries than settings.classes"
            ));
        }
    }
}

#[cfg(test)]
mod tests;
