//! Applies messages of the purge log to the routing, which rejects responses older than a purge.
use super::drivers::{Effect, PurgeEffect};
use crate::routing::{PurgeFloors, RequestPipeline};
use cranesill::api::Timestamp;
use cranesill_daemon::{Purges, WithoutContact};
use cranesill_purges::lease::{ExpiryPolicy, Lease};
use cranesill_purges::shield::Shield;

/// Applies a message of the purge log to the routing. Returns a follow-up message, if any.
pub fn apply(
    pipeline: &mut RequestPipeline,
    now: Timestamp,
    message: PurgeEffect,
) -> Option<Effect> {
    match message {
        PurgeEffect::Enabled {
            settings,
            purged_up_to,
        } => enable(pipeline, now, &settings, purged_up_to),
        PurgeEffect::Purged(purges) => {
            let floors = pipeline.floors.as_mut()?;
            purges.iter().for_each(|purge| floors.add(purge));
            return pending_compile(floors);
        }
        PurgeEffect::AllPurged { up_to } => {
            if let Some(floors) = &mut pipeline.floors {
                floors.add_all(up_to);
            }
        }
        PurgeEffect::Contact => renew_lease(pipeline, now),
        PurgeEffect::Confirmed { up_to } => {
            if let Some(floors) = &mut pipeline.floors {
                floors.confirmed = up_to;
            }
        }
        PurgeEffect::Expired { horizon } => {
            if let Some(floors) = &mut pipeline.floors {
                floors.expire(horizon);
            }
        }
        PurgeEffect::Compiled(set) => {
            let floors = pipeline.floors.as_mut()?;
            floors.install(*set);
            return pending_compile(floors);
        }
        // Handled by the driver of purges.
        PurgeEffect::Compile(_) => {}
    }
    None
}

/// Returns the message that requests compilation of new patterns, if there are any.
fn pending_compile(floors: &mut PurgeFloors) -> Option<Effect> {
    let patterns = floors.take_compile_job()?;
    Some(Effect::Purges(PurgeEffect::Compile(patterns)))
}

/// Enables purges, with the lease and the shield as the settings require.
fn enable(
    pipeline: &mut RequestPipeline,
    now: Timestamp,
    settings: &Purges,
    purged_up_to: Option<u64>,
) {
    let mut floors = PurgeFloors::new(settings.index_bytes, settings.skew_ms);
    if let Some(at) = purged_up_to {
        floors.add_all(at);
    }
    floors.lease = settings.follow.as_ref().map(|follow| {
        let expiry_policy = match follow.without_contact {
            WithoutContact::Strict => ExpiryPolicy::Strict,
            WithoutContact::Available => ExpiryPolicy::Available,
        };
        Lease::expired(now, now / 1_000, follow.lease_ms * 1_000, expiry_policy)
    });
    pipeline.floors = Some(floors);
    let shield_rate = settings.shield_per_s;
    pipeline.shield = shield_rate.map(|per_s| Shield::new(now, per_s.into()));
}

/// Renews the lease of the purge log after contact with its writer.
fn renew_lease(pipeline: &mut RequestPipeline, now: Timestamp) {
    let floors = pipeline.floors.as_mut();
    let lease = floors.and_then(|floors| floors.lease.as_mut());
    if lease.is_some_and(|lease| lease.renew(now, now / 1_000)) {
        tracing::info!("purges: contact with the writer of the purge log restored");
    }
}
