//! Reads a deployment's settings: the JSON object that an instance gets from the simulator and a front from
//! its configuration. Unknown keys are passed over; a missing key gets the wire's default; one that can't be what it is
//! for is an error that names its place.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod check;

use cranesill::api::{Class, Idempotency, KeyScope, LoadReport, Micros, Settings, SlowStartLimits};
use serde_json::Value;

fn number(v: &Value, key: &str) -> f64 {
    v[key].as_f64().unwrap_or(0.0)
}

fn span(v: &Value, key: &str) -> u64 {
    number(v, key).max(0.0) as u64
}

fn flag(v: &Value, key: &str) -> bool {
    v[key].as_bool().unwrap_or(false)
}

fn kind(v: &Value, key: &str) -> Option<u8> {
    v[key].as_i64().and_then(|k| u8::try_from(k).ok())
}

/// Where each figure of a load report stands among its values.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportLayout {
    inflight: Option<usize>,
    link: Option<usize>,
}

impl ReportLayout {
    /// Names the values of a report. Those that are missing, negative or no number tell nothing.
    pub fn read(&self, values: &[f32]) -> Option<LoadReport> {
        let told = |at: Option<usize>| at.and_then(|i| values.get(i)).map(|v| f64::from(*v));
        let figure = |at| told(at).filter(|v| v.is_finite() && *v >= 0.0);
        (!values.is_empty()).then(|| LoadReport {
            in_flight: figure(self.inflight),
            link: figure(self.link),
        })
    }
}

/// Names that stand on sockets where the simulator's wire has numbers: each list is in the wire's order.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Request classes.
    pub classes: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Kinds of members.
    pub kinds: Vec<String>,
    /// Values of a load report.
    pub report: Vec<String>,
}

/// What the settings say of connections and open requests.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Members close connections that were idle for this long.
    pub idle: Micros,
    /// Attempts that one connection carries at once.
    pub streams: usize,
    /// What was decided before a purge may be sent for this long after it was told.
    pub purge_grace: Micros,
    /// Requests that an instance may have open.
    pub open: usize,
    /// How long a client waits at most, over all its tries; by class.
    pub waits: Vec<Micros>,
}

/// The settings, as far as any part of the project uses them.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// For the decisions.
    pub settings: Settings,
    /// Where the figures of a load report stand.
    pub layout: ReportLayout,
    /// For sockets.
    pub names: Names,
    /// For sockets.
    pub limits: Limits,
}

fn names(list: &Value, key: Option<&str>) -> Vec<String> {
    let name = |v: &Value| {
        key.map_or(v, |k| &v[k])
            .as_str()
            .unwrap_or_default()
            .to_string()
    };
    list.as_array()
        .map(|all| all.iter().map(name).collect())
        .unwrap_or_default()
}

/// Parses the JSON text of the settings.
pub fn parse(text: &[u8]) -> Result<Deployment, String> {
    read(&serde_json::from_slice(text).map_err(|e| format!("settings: {e}"))?)
}

/// Reads settings that are parsed already.
pub fn read(v: &Value) -> Result<Deployment, String> {
    if !v.is_object() {
        return Err("settings: not an object".to_string());
    }
    let faults = check::faults(v);
    if !faults.is_empty() {
        return Err(faults.join("; "));
    }
    let fields = v["report"]["fields"]
        .as_array()
        .cloned()
        .unwrap_or_default();
    let place = |name: &str| fields.iter().position(|f| f.as_str() == Some(name));
    let layout = ReportLayout {
        inflight: place("concurrent"),
        link: place("x1"),
    };
    let (family, limits, rules) = (&v["familyInfo"], &v["policyLimits"], &v["rules"]);
    let none = Vec::new();
    let zone = number(v, "zone") as u16;
    let mut classes = Vec::new();
    for (i, c) in v["classes"].as_array().unwrap_or(&none).iter().enumerate() {
        let effect = match c["semantics"].as_str() {
            Some("pure") => Idempotency::Idempotent,
            Some("token") => Idempotency::Keyed {
                scope: match c["group"].as_str() {
                    Some("all") => KeyScope::All,
                    Some("zone") => KeyScope::Zone,
                    _ => KeyScope::Cell,
                },
                window: span(c, "memorySpan"),
            },
            _ => Idempotency::NotIdempotent,
        };
        classes.push(Class {
            latency_objective: span(c, "aim"),
            objective_stretch: number(c, "aimStretch"),
            priority_weight: number(c, "gain"),
            idempotency: effect,
            write: family["classWrite"][i].as_bool().unwrap_or(false),
            grace: family["usableAfter"][i].as_f64().unwrap_or(0.0) as u64,
            freshness_lifetime: family["classFresh"][i].as_f64().unwrap_or(0.0) as u64,
        });
    }
    let seats = family["seatsByZone"].as_array().unwrap_or(&none);
    let cold_cache = SlowStartLimits {
        initial_share: number(rules, "coldFrom"),
        warm_up: span(rules, "cold"),
        overload_multiple: number(rules, "fallMultiple"),
    };
    let settings = Settings {
        zone,
        fronts_by_zone: seats
            .iter()
            .map(|s| s.as_u64().unwrap_or(0) as u32)
            .collect(),
        fronts: number(v, "nInstances") as u32,
        front_index: number(v, "index") as u32,
        classes,
        parent_kind: kind(family, "upperKind"),
        origin_kind: kind(family, "rootKind"),
        client_kb_per_s: number(family, "clientKbPerS"),
        link_kb_per_s: family["feedKbPerS"][usize::from(zone)]
            .as_f64()
            .unwrap_or(0.0),
        pass_through: flag(family, "passThroughOk"),
        coalescing: flag(family, "joins"),
        purge_propagation: span(family, "purgeTakes"),
        cache_slow_start: cold_cache,
        parent_slow_start: SlowStartLimits {
            initial_share: number(family, "parentColdFrom"),
            warm_up: span(family, "parentWarmsIn"),
            overload_multiple: number(family, "parentFallMultiple"),
        },
        overload_window: span(rules, "overloadFor"),
        connect_timeout: span(limits, "connectTimeout"),
        max_attempts: number(limits, "sendCap") as u32,
        hedging: flag(limits, "mayDuplicate"),
        cancellation: flag(limits, "cancelling"),
        max_retry_after: if flag(limits, "retryAfter") {
            span(limits, "maxRetryAfter")
        } else {
            0
        },
        must_subscribe: v["discovery"].as_str() == Some("subscribe"),
    };
    let names = Names {
        classes: names(&v["classes"], Some("name")),
        zones: names(&v["zones"], None),
        kinds: names(&v["kinds"], None),
        report: names(&v["report"]["fields"], None),
    };
    let told = |key, default: f64| {
        Some(number(limits, key))
            .filter(|n| *n >= 1.0)
            .unwrap_or(default)
    };
    let limits = Limits {
        idle: told("connIdle", 15e6) as Micros,
        purge_grace: if span(family, "purgeGrace") > 0 {
            span(family, "purgeGrace")
        } else {
            Micros::MAX / 2
        },
        streams: told("streamsPerConn", 1.0) as usize,
        open: told("openCap", 20_000.0) as usize,
        waits: v["classes"]
            .as_array()
            .unwrap_or(&none)
            .iter()
            .map(|c| span(c, "deadline"))
            .collect(),
    };
    Ok(Deployment {
        settings,
        layout,
        names,
        limits,
    })
}
