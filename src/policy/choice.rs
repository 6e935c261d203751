//! Choice of the cache for a request and of the source of a fill: the first in rendezvous order that will do. An
//! order is walked only as far as need be: in a large fleet no decision looks at all members.
use super::*;
use crate::policy::placement::Order;

/// How well a cache would do for a request; what is better is greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Fitness {
    /// It has not failed the request.
    untried: bool,
    has_room: bool,
}

impl Fitness {
    const BEST: Fitness = Fitness {
        untried: true,
        has_room: true,
    };
}

impl Router {
    /// What the rendezvous order of an object goes by. Caches keep each part of an object by itself, so there
    /// the part is hashed too: a much watched object would else rest on one cache alone.
    fn placement_key(role: Role, ask: &Request) -> u64 {
        let part = if role == Role::Cache {
            u64::from(ask.part)
        } else {
            0
        };
        mix(ask.object.0, part)
    }

    /// The usable members of a role in rendezvous order of the object.
    pub(super) fn order(&mut self, role: Role, ask: &Request) -> Order {
        self.members
            .ranking_mut(role)
            .order(Self::placement_key(role, ask))
    }

    /// The usable caches that connections are held to, in rendezvous order of the object.
    fn order_in_reach(&self, ask: &Request) -> Order {
        let usable = self.reach.places().filter(|at| self.members.is_ready(*at));
        let listed = usable.map(|at| (&self.members[at].listed, at));
        let candidates = listed.map(|(listed, at)| (listed.endpoint, listed.weight, at));
        Order::among(Self::placement_key(Role::Cache, ask), candidates)
    }

    /// The member at a position in an order.
    pub(super) fn ranked(&self, role: Role, order: &mut Order, position: usize) -> Option<usize> {
        order.get(self.members.ranking(role), position)
    }

    /// The cache for a request: the first in hash order that will do. While connections are held to as many
    /// caches as can be, the first among those, unless none of them has room.
    pub(super) fn cache_for(&mut self, req: &Pending) -> Option<usize> {
        self.refill(Role::Cache, req.safe());
        if self.reach.is_full() {
            let order = self.order_in_reach(&req.ask);
            let found = self.first_cache(req, order);
            if let Some((at, _)) = found.filter(|(_, fitness)| *fitness == Fitness::BEST) {
                return Some(at);
            }
        }
        let order = self.order(Role::Cache, &req.ask);
        self.first_cache(req, order).map(|(at, _)| at)
    }

    /// The first cache in an order that is selectable, has not failed the request (while there is another) and
    /// is not pushed over; one without room is passed over while another has some.
    fn first_cache(&mut self, req: &Pending, mut order: Order) -> Option<(usize, Fitness)> {
        let mut found: Option<(usize, Fitness)> = None;
        let (mut position, mut after) = (0, 0);
        while let Some(at) = self.ranked(Role::Cache, &mut order, position) {
            position += 1;
            let fitness = self.fitness(req, at);
            if fitness > found.map(|(_, fitness)| fitness) {
                (found, after) = (fitness.map(|fitness| (at, fitness)), position);
            }
            if fitness == Some(Fitness::BEST) {
                break;
            }
        }
        let (first, fitness) = found?;
        let spilled = self.spill(req, first, fitness, order, after);
        Some((spilled.unwrap_or(first), fitness))
    }

    /// Budgets of the members of a role in slow start fill by the capacity of that moment, in each decision that
    /// could choose them, whether or not they come first. All others are passed by.
    fn refill(&mut self, role: Role, probes: bool) {
        let warming: Vec<usize> = self.warming.iter().copied().collect();
        for at in warming {
            if !self.is_cold(at) {
                self.warming.remove(&at);
            } else if self.members[at].role == role
                && self.members.is_ready(at)
                && self.trusts(at, probes)
            {
                self.cold_room(at);
            }
        }
    }

    /// Whether something may go to a member as far as its health goes; only what `probes` goes to a SUSPECT one.
    fn trusts(&self, at: usize, probes: bool) -> bool {
        let health = &self.members[at].health;
        let trusted = probes || health.state(self.now) == State::Up;
        trusted && health.selectable(self.now)
    }

    /// How well a cache would do for a request; `None`: not at all. Only safe requests probe a SUSPECT one.
    fn fitness(&mut self, req: &Pending, at: usize) -> Option<Fitness> {
        let fits = self.trusts(at, req.safe()) && self.cold_room(at);
        fits.then(|| Fitness {
            untried: !req.failed.contains(&at),
            has_room: self.cache_room(at),
        })
    }

    /// Whether a cache has room for one more request of this router.
    pub(super) fn cache_room(&self, at: usize) -> bool {
        let widening = self
            .reach
            .widening(at, self.members.ready(Role::Cache).len());
        self.members[at].pace.wider_room(self.now, widening)
    }

    /// The next cache in the order, from `position` on, for an object that the `first` one has too many
    /// requests for: one as fit, with half of that.
    fn spill(
        &mut self,
        req: &Pending,
        first: usize,
        fitness: Fitness,
        mut order: Order,
        mut position: usize,
    ) -> Option<usize> {
        let routers = self.routers(Role::Cache);
        let whole = |m: &Member| f64::from(m.pace.held * routers) / m.listed.weight;
        let much = whole(&self.members[first]);
        let crowd = much > SPILL_LOAD && self.members[first].pace.held >= SPILL_HELD;
        if !crowd || self.link_told().is_some_and(|full| full >= SPILL_LINK) {
            return None;
        }
        while let Some(at) = self.ranked(Role::Cache, &mut order, position) {
            position += 1;
            if whole(&self.members[at]) < much / 2.0 && self.fitness(req, at) == Some(fitness) {
                return Some(at);
            }
        }
        None
    }

    /// The source of a fill: the parent first in hash order that is selectable and not pushed over, after
    /// three failed tries the next; the origin when there is none.
    pub(super) fn source_for(&mut self, req: &Pending) -> Option<usize> {
        self.refill(Role::Parent, true);
        let mut order = self.order(Role::Parent, &req.ask);
        let given_up =
            |at: usize| req.failed_sources.iter().filter(|s| **s == at).count() >= RR_RETRIES;
        let (mut first, mut position) = (None, 0);
        while let Some(at) = self.ranked(Role::Parent, &mut order, position) {
            position += 1;
            if !self.members[at].health.selectable(self.now) || !self.cold_room(at) {
                continue;
            }
            if !given_up(at) {
                return Some(at);
            }
            first = first.or(Some(at));
        }
        first.or_else(|| self.origin())
    }
}
