//! Reads validated settings. Values of the wrong type have been rejected by [`crate::check`].
use crate::json::{array, duration, flag, kind, number, string, strings};
use crate::{Deployment, Limits, Names, ReportLayout};
use cranesill::api::{Class, Idempotency, KeyScope, Micros, Settings, SlowStartLimits};
use serde_json::Value;

/// Idle timeout of connections if the settings have none.
const DEFAULT_IDLE_US: f64 = 15e6;
const DEFAULT_STREAMS: f64 = 1.0;
const DEFAULT_OPEN_REQUESTS: f64 = 20_000.0;
/// Purge grace if the settings have none: attempts decided before a purge may be sent at any time.
const UNLIMITED: Micros = Micros::MAX / 2;

/// Reads the deployment that the settings describe.
pub fn deployment(root: &Value) -> Deployment {
    Deployment {
        settings: settings(root),
        layout: report_layout(&root["report"]),
        names: names(root),
        limits: limits(root),
    }
}

fn report_layout(report: &Value) -> ReportLayout {
    let fields = array(report, "fields");
    let position = |name: &str| fields.iter().position(|field| field.as_str() == Some(name));
    ReportLayout {
        in_flight: position("concurrent"),
        link: position("x1"),
    }
}

fn settings(root: &Value) -> Settings {
    let family = &root["familyInfo"];
    let limits = &root["policyLimits"];
    let rules = &root["rules"];
    let zone = number(root, "zone") as u16;
    Settings {
        zone,
        fronts_by_zone: fronts_by_zone(family),
        fronts: number(root, "nInstances") as u32,
        front_index: number(root, "index") as u32,
        classes: classes(root),
        parent_kind: kind(family, "upperKind"),
        origin_kind: kind(family, "rootKind"),
        client_kb_per_s: number(family, "clientKbPerS"),
        link_kb_per_s: family["feedKbPerS"][usize::from(zone)]
            .as_f64()
            .unwrap_or(0.0),
        pass_through: flag(family, "passThroughOk"),
        coalescing: flag(family, "joins"),
        purge_propagation: duration(family, "purgeTakes"),
        cache_slow_start: cache_slow_start(rules),
        parent_slow_start: parent_slow_start(family),
        overload_window: duration(rules, "overloadFor"),
        connect_timeout: duration(limits, "connectTimeout"),
        max_attempts: number(limits, "sendCap") as u32,
        hedging: flag(limits, "mayDuplicate"),
        cancellation: flag(limits, "cancelling"),
        max_retry_after: if flag(limits, "retryAfter") {
            duration(limits, "maxRetryAfter")
        } else {
            0
        },
        must_subscribe: root["discovery"].as_str() == Some("subscribe"),
    }
}

fn cache_slow_start(rules: &Value) -> SlowStartLimits {
    SlowStartLimits {
        initial_capacity_fraction: number(rules, "coldFrom"),
        warm_up: duration(rules, "cold"),
        overload_multiple: number(rules, "fallMultiple"),
    }
}

fn parent_slow_start(family: &Value) -> SlowStartLimits {
    SlowStartLimits {
        initial_capacity_fraction: number(family, "parentColdFrom"),
        warm_up: duration(family, "parentWarmsIn"),
        overload_multiple: number(family, "parentFallMultiple"),
    }
}

fn fronts_by_zone(family: &Value) -> Vec<u32> {
    let counts = array(family, "seatsByZone").iter();
    counts
        .map(|count| count.as_u64().unwrap_or(0) as u32)
        .collect()
}

fn classes(root: &Value) -> Vec<Class> {
    let family = &root["familyInfo"];
    let classes = array(root, "classes").iter().enumerate();
    classes
        .map(|(index, class)| Class {
            latency_objective: duration(class, "aim"),
            objective_stretch: number(class, "aimStretch"),
            priority_weight: number(class, "gain"),
            idempotency: idempotency(class),
            write: family["classWrite"][index].as_bool().unwrap_or(false),
            freshness_lifetime: family["classFresh"][index].as_f64().unwrap_or(0.0) as Micros,
            grace: family["usableAfter"][index].as_f64().unwrap_or(0.0) as Micros,
        })
        .collect()
}

fn idempotency(class: &Value) -> Idempotency {
    match class["semantics"].as_str() {
        Some("pure") => Idempotency::Idempotent,
        Some("token") => Idempotency::Keyed {
            scope: match class["group"].as_str() {
                Some("all") => KeyScope::All,
                Some("zone") => KeyScope::Zone,
                _ => KeyScope::Cell,
            },
            window: duration(class, "memorySpan"),
        },
        _ => Idempotency::NotIdempotent,
    }
}

fn names(root: &Value) -> Names {
    let classes = array(root, "classes").iter();
    Names {
        classes: classes.map(|class| string(&class["name"])).collect(),
        zones: strings(root, "zones"),
        kinds: strings(root, "kinds"),
        report: strings(&root["report"], "fields"),
    }
}

fn limits(root: &Value) -> Limits {
    let limits = &root["policyLimits"];
    let at_least_one = |key: &str, default: f64| {
        let value = number(limits, key);
        if value >= 1.0 {
            value
        } else {
            default
        }
    };
    let purge_grace = duration(&root["familyInfo"], "purgeGrace");
    let classes = array(root, "classes").iter();
    Limits {
        idle_timeout: at_least_one("connIdle", DEFAULT_IDLE_US) as Micros,
        purge_grace: if purge_grace > 0 {
            purge_grace
        } else {
            UNLIMITED
        },
        streams_per_connection: at_least_one("streamsPerConn", DEFAULT_STREAMS) as usize,
        max_open_requests: at_least_one("openCap", DEFAULT_OPEN_REQUESTS) as usize,
        client_timeouts: classes.map(|class| duration(class, "deadline")).collect(),
    }
}
