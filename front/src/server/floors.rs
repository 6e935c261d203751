//! Carries out for the front what the ledger of purges brought about.
use super::drivers::{Effect, Purging};
use crate::routing::{PurgeFloors, RequestPipeline};
use cranesill::api::Timestamp;
use cranesill_daemon::WithoutContact;
use cranesill_purges::lease::{Lease, WhenExpired};
use cranesill_purges::shield::Shield;

/// Takes news of the ledger over; what is to be done elsewhere for it.
pub fn take(front: &mut RequestPipeline, now: Timestamp, news: Purging) -> Option<Effect> {
    let job = |floors: &mut PurgeFloors| {
        floors
            .take_compile_job()
            .map(|job| Effect::Purges(Purging::Compile(job)))
    };
    match news {
        Purging::Floors(settings, all) => {
            let mut floors = PurgeFloors::new(settings.index_bytes, settings.skew_ms);
            all.into_iter().for_each(|at| floors.add_all(at));
            floors.lease = settings.follow.map(|follow| {
                let without = match follow.without_contact {
                    WithoutContact::Strict => WhenExpired::Strict,
                    WithoutContact::Available => WhenExpired::Available,
                };
                Lease::expired(now, now / 1_000, follow.lease_ms * 1_000, without)
            });
            front.floors = Some(floors);
            front.shield = settings.shield_per_s.map(|n| Shield::new(now, n.into()));
        }
        Purging::Purged(purges) => {
            if let Some(floors) = &mut front.floors {
                purges.iter().for_each(|purge| floors.add(purge));
                return job(floors);
            }
        }
        Purging::Everything(at) => {
            front
                .floors
                .iter_mut()
                .for_each(|floors| floors.add_all(at));
        }
        Purging::Contact => {
            let lease = front.floors.as_mut().and_then(|f| f.lease.as_mut());
            if lease.is_some_and(|lease| lease.renew(now, now / 1_000)) {
                tracing::info!("purges: contact with the ledger again");
            }
        }
        Purging::Confirmed(number) => {
            front
                .floors
                .iter_mut()
                .for_each(|floors| floors.confirmed = number);
        }
        Purging::Horizon(horizon) => {
            front
                .floors
                .iter_mut()
                .for_each(|floors| floors.expire(horizon));
        }
        Purging::Compiled(set) => {
            if let Some(floors) = &mut front.floors {
                floors.install(*set);
                return job(floors);
            }
        }
        // It is a driver's.
        Purging::Compile(_) => {}
    }
    None
}
