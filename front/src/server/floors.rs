//! Applies messages of the purge log to the routing, which refuses answers older than a purge.
use super::drivers::{Effect, PurgeEffect};
use crate::routing::{PurgeFloors, RequestPipeline};
use cranesill::api::Timestamp;
use cranesill_daemon::{Purges, WithoutContact};
use cranesill_purges::lease::{ExpiryPolicy, Lease};
use cranesill_purges::shield::Shield;

/// Applies a message of the purge log to the routing. Returns the message that follows from it, if any.
pub fn take(front: &mut RequestPipeline, now: Timestamp, message: PurgeEffect) -> Option<Effect> {
    match message {
        PurgeEffect::Enabled {
            settings,
            purged_up_to,
        } => install(front, now, &settings, purged_up_to),
        PurgeEffect::Purged(purges) => {
            let floors = front.floors.as_mut()?;
            purges.iter().for_each(|purge| floors.add(purge));
            return compile_job(floors);
        }
        PurgeEffect::AllPurged { up_to } => {
            if let Some(floors) = &mut front.floors {
                floors.add_all(up_to);
            }
        }
        PurgeEffect::Contact => renew_lease(front, now),
        PurgeEffect::Confirmed { up_to } => {
            if let Some(floors) = &mut front.floors {
                floors.confirmed = up_to;
            }
        }
        PurgeEffect::Expired { horizon } => {
            if let Some(floors) = &mut front.floors {
                floors.expire(horizon);
            }
        }
        PurgeEffect::Compiled(set) => {
            let floors = front.floors.as_mut()?;
            floors.install(*set);
            return compile_job(floors);
        }
        // The driver of purges carries it out.
        PurgeEffect::Compile(_) => {}
    }
    None
}

/// Patterns that are to be compiled, if there are new ones.
fn compile_job(floors: &mut PurgeFloors) -> Option<Effect> {
    let patterns = floors.take_compile_job()?;
    Some(Effect::Purges(PurgeEffect::Compile(patterns)))
}

/// Switches purges on.
fn install(
    front: &mut RequestPipeline,
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
    front.floors = Some(floors);
    let shield_rate = settings.shield_per_s;
    front.shield = shield_rate.map(|per_s| Shield::new(now, per_s.into()));
}

/// Notes that the writer of the purge log was in contact and that all it has is here.
fn renew_lease(front: &mut RequestPipeline, now: Timestamp) {
    let floors = front.floors.as_mut();
    let lease = floors.and_then(|floors| floors.lease.as_mut());
    if lease.is_some_and(|lease| lease.renew(now, now / 1_000)) {
        tracing::info!("purges: contact with the ledger again");
    }
}
