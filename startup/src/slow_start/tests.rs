use super::*;

const S: Span = 1_000_000;

fn list(members: std::ops::Range<u64>) -> Vec<(u64, Take, u64)> {
    members.map(|member| (member, Take::Turn(0, true), member)).collect()
}

/// Moments at which each of so many fronts begins to use each member.
fn fleet(fronts: u32, members: u64, per_s: f64) -> Vec<(Time, u64)> {
    let mut all = Vec::new();
    for number in 0..fronts {
        let mut ramp = Ramp::new((number, fronts), per_s, 60 * S);
        all.extend(ramp.listed(7, true, list(0..members)).into_iter().map(|member| (7, member)));
        while let Some(at) = ramp.next() {
            all.extend(ramp.due(at).into_iter().map(|member| (at, member)));
        }
    }
    all
}

#[test]
fn a_member_gets_no_more_new_users_a_second_than_the_budget_and_gets_all_of_them() {
    for (fronts, members, per_s) in [(300, 200, 20.0), (40, 7, 10.0), (1_000, 50, 100.0), (1, 3, 1.0)] {
        let all = fleet(fronts, members, per_s);
        assert_eq!(all.len(), fronts as usize * members as usize);
        // Those that a front uses at once are over the budget; they are strewn over the members.
        let early = (f64::from(fronts) * AT_ONCE as f64 / members as f64).max(2.0) * 3.0 + 4.0;
        for member in 0..members {
            let of: Vec<_> = all.iter().filter(|(_, m)| *m == member).map(|(at, _)| *at).collect();
            let worst =
                of.iter().map(|at| of.iter().filter(|o| (*at..at + S).contains(o)).count()).max().unwrap();
            assert!(
                worst as f64 <= per_s + early,
                "{fronts} fronts: {worst} in a second at one of {members}"
            );
        }
        let last = all.iter().map(|(at, _)| *at).max().unwrap();
        assert!(last <= 7 + (f64::from(fronts) / per_s * 1e6) as Time);
    }
}

#[test]
fn every_front_has_something_of_each_kind_at_once_and_goes_its_own_way() {
    let mut firsts = BTreeSet::new();
    for number in 0..100 {
        let mut ramp = Ramp::new((number, 100), 1.0, 60 * S);
        let mut all = list(0..30);
        all.extend((30..34).map(|member| (member, Take::Turn(1, false), member)));
        all.push((40, Take::Now, 40));
        let first = ramp.listed(0, true, all);
        assert_eq!(first.iter().filter(|m| **m < 30).count(), AT_ONCE);
        assert_eq!(first.iter().filter(|m| (30..34).contains(*m)).count(), AT_ONCE);
        assert!(first.contains(&40));
        firsts.insert(first);
    }
    assert!(firsts.len() > 50, "{} ways for 100 fronts", firsts.len());
}

#[test]
fn what_leaves_goes_at_once_and_what_is_used_is_told_on() {
    let mut ramp = Ramp::new((3, 10), 1.0, 60 * S);
    let used = ramp.listed(0, true, list(0..10));
    let waits: Vec<u64> = (0..10).filter(|m| !used.contains(m)).collect();
    // One that waits drains: that is told, and it does not come back by itself.
    assert_eq!(ramp.listed(1, false, vec![(waits[0], Take::Now, 99)]), [99]);
    assert_eq!(ramp.listed(1, false, vec![(used[0], Take::Turn(0, true), 98)]), [98], "it is used already");
    // What is told of one that waits replaces what was known, and does not begin its wait anew.
    let due = ramp.waits[&waits[1]].0;
    // One that is used goes, and is new once it comes back; one that only drains is not.
    assert_eq!(ramp.listed(1, false, vec![(used[1], Take::Gone, 96), (used[0], Take::Now, 95)]), [96, 95]);
    let back =
        ramp.listed(1, false, vec![(used[1], Take::Turn(0, true), 94), (used[0], Take::Turn(0, true), 93)]);
    assert!(back.contains(&93), "it is used still");
    assert_eq!(ramp.listed(2, false, vec![(waits[1], Take::Turn(0, true), 97)]), []);
    assert_eq!(ramp.waits[&waits[1]].0, due);
    let rest = ramp.due(60 * S);
    assert!(rest.contains(&97) && !rest.contains(&waits[0]) && rest.len() == waits.len() - 1);
    // A whole list drops what it lacks; what comes back later waits anew.
    assert_eq!(ramp.listed(70 * S, true, vec![(used[0], Take::Turn(0, true), used[0])]), [used[0]]);
    assert_eq!((ramp.used.len(), ramp.waiting()), (1, 0));
}
