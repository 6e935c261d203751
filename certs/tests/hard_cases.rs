//! What must not go wrong, on virtual clocks, against the stand-in authority's core.
mod common;
use common::*;
use cranesill_certs::messages::Level;
use cranesill_certs::{disk as folder, Event, SECOND};
use cranesill_standins::acme::WrongChain;
use std::rc::Rc;

#[test]
fn certificates_are_obtained_and_renewed_in_time_for_a_year() {
    for lifetime in [90 * DAY, 6 * DAY] {
        let (ca, disk) = (authority(), disk());
        ca.borrow_mut().lifetime = lifetime;
        let mut world = World::new(
            &ca,
            Some(&disk),
            &[&["a.example", "b.example"], &["c.example"]],
        );
        world.run(120);
        assert!(
            world.good("a.example") && world.good("b.example") && world.good("c.example"),
            "{}",
            world.story()
        );
        for _ in 0..365 {
            world.run(DAY);
            assert!(
                world.good("b.example") && world.good("c.example"),
                "{}",
                world.story()
            );
        }
        let made = ca.borrow().orders();
        let wanted = 2 * (365 * DAY).div_ceil(lifetime * 62 / 100) as usize;
        assert!(made <= wanted + 4, "{made} orders where {wanted} do");
        assert_eq!(
            world.loud("expiring") + world.loud("expired"),
            0,
            "{}",
            world.story()
        );
    }
}

#[test]
fn an_authority_gone_for_longer_than_the_certificate_lives_costs_loud_errors_and_no_storm() {
    let ca = authority();
    let mut world = World::new(&ca, Some(&disk()), &[&["a.example"]]);
    world.run(120);
    ca.borrow_mut().faults.vanished = true;
    world.asked.clear();
    world.run(89 * DAY);
    assert!(
        world.loud("expiring") > 10 && world.loud("expired") == 0,
        "{}",
        world.story()
    );
    world.run(2 * DAY);
    let errors = world
        .notes
        .iter()
        .filter(|(_, n)| n.kind == "expired" && n.level == Level::Error)
        .count();
    assert!(
        (1_300..=1_500).contains(&errors),
        "{errors}: one each minute since it expired"
    );
    assert!(
        !world.served["a.example"].is_empty(),
        "the old one is still there to be served"
    );
    let asked: usize = world.asked.values().sum();
    assert!(asked < 31 * 24 * 3, "{:?}: the pauses grow", world.asked);
    ca.borrow_mut().faults.vanished = false;
    assert!(
        world.run_while(HOUR, |w| !w.good("a.example")),
        "back within the longest pause\n{}",
        world.story()
    );
}

#[test]
fn a_clock_that_jumps_past_renewal_past_expiry_and_back_does_no_lasting_harm() {
    let ca = authority();
    let mut world = World::new(&ca, Some(&disk()), &[&["a.example"]]);
    world.run(120);
    let first = world.served["a.example"][0].serial.clone();
    // Past renewal: it is renewed, and once.
    world.off = 70 * DAY as i64;
    world.run(600);
    assert_ne!(
        world.served["a.example"][0].serial,
        first,
        "{}",
        world.story()
    );
    assert!(ca.borrow().orders() <= 2);
    // Past expiry: what is issued seems to have ended already; asking again and again would mend nothing.
    world.off = 400 * DAY as i64;
    world.run(DAY);
    assert!(ca.borrow().orders() < 12, "{}", ca.borrow().orders());
    assert!(
        world.loud("clock") >= 1 && world.loud("expired") >= 60,
        "{}",
        world.story()
    );
    // Back, and an hour further.
    world.off = -(HOUR as i64);
    let before = ca.borrow().orders();
    world.run(DAY);
    assert!(world.good("a.example"));
    assert!(ca.borrow().orders() <= before + 1, "{}", world.story());
    world.run(90 * DAY);
    assert!(world.good("a.example"), "{}", world.story());
}

#[test]
fn a_wrong_clock_at_the_start_is_told_and_the_certificate_taken_all_the_same() {
    for off in [-(400 * DAY as i64), -(START as i64) + 10, 30 * DAY as i64] {
        let ca = authority();
        let mut world = World::new(&ca, Some(&disk()), &[&["a.example"]]);
        world.off = off;
        world.restart();
        world.run(600);
        assert!(world.good("a.example"), "{off}: {}", world.story());
        assert!(world.loud("clock") >= 1, "{off}: {}", world.story());
        assert!(ca.borrow().orders() < 4);
        world.off = 0;
        world.run(80 * DAY);
        assert!(world.good("a.example"), "{off}: {}", world.story());
    }
}

#[test]
fn killed_at_each_step_of_an_order_it_is_taken_up_and_not_made_anew() {
    let steps = {
        let mut world = World::new(&authority(), Some(&disk()), &[&["a.example", "b.example"]]);
        world.run(120);
        assert!(world.good("a.example"));
        world.actions
    };
    assert!(steps > 25, "{steps}");
    let mut anew = 0;
    for step in 1..steps {
        let (ca, disk) = (authority(), disk());
        let mut world = World::new(&ca, Some(&disk), &[&["a.example", "b.example"]]);
        world.kill_at = Some(step.max(world.actions));
        world.run(120);
        world.restart();
        world.run(120);
        assert!(
            world.good("a.example") && world.good("b.example"),
            "killed at {step}: {}",
            world.story()
        );
        // One more only if it was killed between the authority's answer and the write of its URL.
        let made = ca.borrow().orders();
        assert!(made <= 2, "killed at {step}: {made} orders");
        anew += made - 1;
        assert!(
            !disk.borrow().names().iter().any(|n| n.ends_with(".order")),
            "killed at {step}"
        );
        assert!(world.shown.is_empty());
    }
    assert!(anew <= 2, "{anew} made anew");
}

#[test]
fn killed_at_each_step_of_each_write_key_and_certificate_belong_together() {
    let steps = {
        let disk = disk();
        let mut world = World::new(&authority(), Some(&disk), &[&["a.example"]]);
        world.run(70 * DAY);
        let steps = disk.borrow().steps;
        steps
    };
    assert!(steps > 20, "{steps}");
    let mut resumed = 0;
    for step in 0..steps {
        let (ca, disk) = (authority(), disk());
        let mut world = World::new(&ca, Some(&disk), &[&["a.example"]]);
        world.restart();
        disk.borrow_mut().kill_at = Some(step);
        world.run_while(70 * DAY, |_| disk.borrow().steps <= step);
        // The process dies with its disk.
        disk.borrow_mut().lose_power();
        let loaded = folder::load(&mut *disk.borrow_mut()).unwrap();
        assert_eq!(loaded.faults, [], "killed at {step}");
        resumed += loaded.pending.len();
        let had = !loaded.identities.is_empty();
        world.restart();
        assert_eq!(world.served.contains_key("a.example"), had);
        world.run(120);
        assert!(
            world.good("a.example"),
            "killed at {step}: {}",
            world.story()
        );
    }
    assert!(
        resumed > 5,
        "some were killed with an order under way: {resumed}"
    );
}

#[test]
fn two_fronts_that_both_believe_it_is_their_turn_end_with_one_certificate_that_fits() {
    let (ca, disk) = (authority(), disk());
    // Each is told of itself alone.
    let mut one = World::front("n1", &["n1", "n1"], &ca, Some(&disk), &[&["a.example"]]);
    let mut two = World::front("n2", &["n2", "n2"], &ca, Some(&disk), &[&["a.example"]]);
    for _ in 0..2_000 {
        one.run(1);
        two.run(1);
        let loaded = folder::load(&mut *disk.borrow_mut()).unwrap();
        assert_eq!(loaded.faults, []);
    }
    assert!(one.good("a.example") && two.good("a.example"));
    assert!(ca.borrow().orders() <= 3);
    for _ in 0..200 {
        one.run(DAY);
        two.run(DAY);
        assert!(one.good("a.example") && two.good("a.example"));
    }
}

#[test]
fn fronts_that_share_a_folder_renew_once_and_the_next_takes_over_when_the_first_is_gone() {
    let (ca, disk) = (authority(), disk());
    let fronts = ["n1", "n2", "n3"];
    let mut all: Vec<_> = fronts
        .iter()
        .map(|me| World::front(me, &fronts, &ca, Some(&disk), &[&["a.example"]]))
        .collect();
    let hour = |all: &mut Vec<World>, out: usize| {
        for _ in 0..60 {
            all.iter_mut()
                .enumerate()
                .filter(|(i, _)| *i != out)
                .for_each(|(_, w)| w.run(60));
        }
    };
    hour(&mut all, 9);
    assert_eq!(ca.borrow().orders(), 1, "the others find it in the folder");
    assert!(all.iter().all(|w| w.good("a.example")));
    let first = all
        .iter()
        .position(|w| w.notes.iter().any(|(_, n)| n.kind == "issued"))
        .unwrap();
    (0..80 * 24).for_each(|_| hour(&mut all, first));
    assert_eq!(ca.borrow().orders(), 2, "another took over, and one alone");
    assert!(all
        .iter()
        .enumerate()
        .all(|(i, w)| i == first || w.good("a.example")));
}

#[test]
fn a_name_refused_for_ever_holds_up_no_other() {
    let ca = authority();
    ca.borrow_mut().faults.refuse.insert("bad.example".into());
    ca.borrow_mut()
        .faults
        .unprovable
        .insert("ugly.example".into());
    let names: [&[&str]; 4] = [
        &["bad.example"],
        &["good.example", "bad.example"],
        &["ugly.example", "fair.example"],
        &["c.example"],
    ];
    let names = names.map(|n| n.to_vec());
    let mut world = World::new(
        &ca,
        Some(&disk()),
        &names.iter().map(Vec::as_slice).collect::<Vec<_>>()[..1],
    );
    assert!(world.run_while(600, |w| w.loud("refused") == 0));
    let mut world = World::new(
        &ca,
        Some(&disk()),
        &[
            &["good.example", "worse.example"],
            &["ugly.example", "fair.example"],
            &["bad.example"],
            &["c.example"],
        ],
    );
    ca.borrow_mut().faults.refuse.insert("worse.example".into());
    world.run(600);
    for name in ["good.example", "fair.example", "c.example"] {
        assert!(world.good(name), "{name}: {}", world.story());
    }
    let early = ca.borrow().orders();
    world.run(30 * DAY);
    let later = ca.borrow().orders();
    assert!(
        later - early < 30 * 5,
        "{early} {later}: refused names are asked for once a day at most"
    );
    // What was refused is there soon after it is allowed.
    ca.borrow_mut().faults.refuse.clear();
    ca.borrow_mut().faults.unprovable.clear();
    world.run(2 * DAY);
    for name in ["bad.example", "worse.example", "ugly.example"] {
        assert!(world.good(name), "{name}: {}", world.story());
    }
}

#[test]
fn a_name_refused_at_its_renewal_keeps_its_old_certificate_and_the_others_get_a_new_one() {
    let ca = authority();
    let mut world = World::new(&ca, Some(&disk()), &[&["a.example", "b.example"]]);
    world.run(120);
    ca.borrow_mut().faults.refuse.insert("b.example".into());
    for _ in 0..89 {
        world.run(DAY);
        assert!(
            world.good("a.example") && world.good("b.example"),
            "{}",
            world.story()
        );
    }
    // The old one has ended by now; a.example goes on.
    world.run(5 * DAY);
    assert!(world.good("a.example") && !world.good("b.example"));
}

#[test]
fn an_account_that_the_authority_no_longer_knows_is_made_again_under_its_key() {
    let ca = authority();
    let mut world = World::new(&ca, Some(&disk()), &[&["a.example"]]);
    world.run(120);
    ca.borrow_mut().forget_accounts();
    world.run(75 * DAY);
    assert!(
        world.good("a.example") && world.loud("account-unknown") == 1,
        "{}",
        world.story()
    );
    assert_eq!(world.served["a.example"].len(), 1);
}

#[test]
fn bad_nonces_are_tried_again_with_the_fresh_one() {
    let ca = authority();
    ca.borrow_mut().faults.bad_nonces = 4;
    let mut world = World::new(&ca, Some(&disk()), &[&["a.example"]]);
    world.run(120);
    assert!(
        world.good("a.example") && world.loud("account") == 0,
        "{}",
        world.story()
    );
    // Without end they are a failure like others.
    ca.borrow_mut().faults.bad_nonces = u32::MAX;
    world.asked.clear();
    world.tell(Event::Renew(1, "a.example".into()));
    world.run(HOUR);
    assert!(world.good("a.example"));
    assert!(
        world.asked.values().sum::<usize>() < 400,
        "{:?}",
        world.asked
    );
}

#[test]
fn what_the_authority_does_wrong_leaves_the_old_certificate_and_ends() {
    type Fault = fn(&mut cranesill_standins::acme::Faults);
    let faults: [(&str, Fault); 9] = [
        ("down", |f| f.down = true),
        ("down for an hour, it says", |f| {
            (f.down, f.retry_after) = (true, Some(3_600))
        }),
        ("limited", |f| {
            (f.orders_left, f.retry_after) = (Some(0), Some(7_200))
        }),
        ("stuck", |f| f.stuck = true),
        ("loses orders", |f| f.lose_orders = true),
        ("another key", |f| {
            f.wrong_chain = Some(WrongChain::OtherKey)
        }),
        ("expired", |f| f.wrong_chain = Some(WrongChain::Expired)),
        ("malformed", |f| f.malformed = true),
        ("elsewhere", |f| {
            f.elsewhere = Some("https://evil.example".into())
        }),
    ];
    for (what, fault) in faults {
        let ca = authority();
        let mut world = World::new(&ca, Some(&disk()), &[&["a.example"]]);
        world.run(120);
        let serial = world.served["a.example"][0].serial.clone();
        world.run(59 * DAY);
        world.restart();
        fault(&mut ca.borrow_mut().faults);
        world.asked.clear();
        world.run(5 * DAY);
        assert_eq!(world.served["a.example"][0].serial, serial, "{what}");
        let asked: usize = world.asked.values().sum();
        assert!(asked < 1_500, "{what}: {asked} requests in five days");
        let loud = world
            .notes
            .iter()
            .filter(|(_, n)| n.level >= Level::Warn)
            .count();
        assert!(loud > 0, "{what}: it is told");
        ca.borrow_mut().faults = Default::default();
        assert!(
            world.run_while(30 * HOUR, |w| w.served["a.example"][0].serial == serial),
            "{what}: {}",
            world.story()
        );
    }
}

#[test]
fn an_order_stuck_in_processing_is_taken_up_again_and_not_made_anew() {
    let ca = authority();
    ca.borrow_mut().faults.stuck = true;
    let mut world = World::new(
        &ca,
        Some(&disk()),
        &[&["a.example"], &["b.example"], &["c.example"]],
    );
    world.run(4 * HOUR);
    assert_eq!(
        ca.borrow().orders(),
        3,
        "each once, and none holds up another"
    );
    world.restart();
    ca.borrow_mut().faults.stuck = false;
    world.run(2 * HOUR);
    assert!(
        ["a.example", "b.example", "c.example"]
            .iter()
            .all(|n| world.good(n)),
        "{}",
        world.story()
    );
    assert_eq!(ca.borrow().orders(), 3);
}

#[test]
fn a_retry_after_is_heeded() {
    let ca = authority();
    (
        ca.borrow_mut().faults.down,
        ca.borrow_mut().faults.retry_after,
    ) = (true, Some(5_000));
    let mut world = World::new(&ca, Some(&disk()), &[&["a.example"]]);
    world.run(4_990);
    assert_eq!(world.asked["directory"], 1, "{}", world.story());
    ca.borrow_mut().faults = Default::default();
    assert!(
        world.run_while(1_600, |w| !w.good("a.example")),
        "{}",
        world.story()
    );
}

#[test]
fn hundreds_that_are_due_at_once_stay_within_the_window_and_the_most_urgent_go_first() {
    let ca = authority();
    let all: Vec<String> = (0..200).map(|i| format!("n{i}.example")).collect();
    let names: Vec<[&str; 1]> = all.iter().map(|n| [n.as_str()]).collect();
    let names: Vec<&[&str]> = names.iter().map(|n| &n[..]).collect();
    let mut world = World::new(&ca, Some(&disk()), &names);
    let mut orders = Vec::new();
    for _ in 0..40 {
        world.run(HOUR);
        orders.push(ca.borrow().orders());
    }
    assert!(orders.windows(4).all(|w| w[3] - w[0] <= 20), "{orders:?}");
    assert_eq!(orders[39], 200);
    assert!(all.iter().all(|n| world.good(n)));
    // A restart forgets no order of the window.
    let (ca, disk) = (authority(), disk());
    let mut world = World::new(&ca, Some(&disk), &names);
    for _ in 0..20 {
        world.run(30);
        world.restart();
    }
    assert!(ca.borrow().orders() <= 20, "{}", ca.borrow().orders());
}

#[test]
fn a_folder_that_is_full_or_damaged_leaves_the_front_serving_and_says_so() {
    let (ca, disk) = (authority(), disk());
    disk.borrow_mut().full = true;
    let mut world = World::new(&ca, Some(&disk), &[&["a.example"]]);
    world.run(120);
    assert!(
        world.good("a.example") && world.loud("not-kept") > 0,
        "{}",
        world.story()
    );
    disk.borrow_mut().full = false;
    world.tell(Event::Renew(1, "a.example".into()));
    world.run(120);
    let bundle = disk.borrow().get("a.example.pem").unwrap();
    // Key and certificate of different orders, as if somebody had copied files about.
    let mut other = World::new(&authority(), Some(&common::disk()), &[&["a.example"]]);
    other.run(120);
    let text = String::from_utf8(bundle.clone()).unwrap();
    let key = text.split("-----BEGIN CERT").next().unwrap();
    let chain = other.served["a.example"][0]
        .bundle()
        .split_once("-----BEGIN CERT")
        .unwrap()
        .1
        .to_string();
    let torn = &bundle[..bundle.len() / 2];
    let mixed = format!("{key}-----BEGIN CERT{chain}");
    for bad in [mixed.as_bytes(), torn, b"", b"\xff\xfe"] {
        disk.borrow_mut().put("a.example.pem", bad);
        disk.borrow_mut()
            .put("state.json", &bad[..bad.len().min(40)]);
        world.restart();
        assert!(world.loud("file-unusable") > 0, "{}", world.story());
        world.run(4 * HOUR);
        assert!(world.good("a.example"), "{}", world.story());
        world.notes.clear();
    }
    // What a newer version wrote is left alone.
    disk.borrow_mut()
        .put("state.json", br#"{"version": 99, "orders": 7}"#);
    world.restart();
    assert!(
        world
            .notes
            .iter()
            .any(|(_, n)| n.text.contains("newer version")),
        "{}",
        world.story()
    );
}

#[test]
fn what_could_not_be_kept_is_kept_once_the_disk_is_well_without_another_order() {
    let (ca, disk) = (authority(), disk());
    disk.borrow_mut().full = true;
    let mut world = World::new(&ca, Some(&disk), &[&["a.example"]]);
    world.run(3 * HOUR);
    assert!(
        world.good("a.example") && disk.borrow().get("a.example.pem").is_none(),
        "{}",
        world.story()
    );
    let told = world.loud("not-kept");
    disk.borrow_mut().full = false;
    world.run(70);
    for file in ["a.example.pem", "account.json", "state.json"] {
        assert!(
            disk.borrow().get(file).is_some(),
            "{file}: {}",
            world.story()
        );
    }
    assert_eq!(world.loud("not-kept"), told, "it was told before");
    world.restart();
    world.run(HOUR);
    assert!(
        world.good("a.example") && ca.borrow().orders() == 1,
        "{}",
        world.story()
    );
}

#[test]
fn an_operator_is_told_of_an_import_once_it_is_durable_or_that_it_is_not() {
    let disk = disk();
    let mut other = World::new(&authority(), Some(&common::disk()), &[&["a.example"]]);
    other.run(120);
    let identity = other.served["a.example"][0].clone();
    let mut world = World::new(&authority(), Some(&disk), &[&["a.example"]]);
    disk.borrow_mut().full = true;
    world.tell(Event::Import(1, Box::new(identity.clone())));
    assert!(world.replies.is_empty(), "nothing is durable yet");
    world.run(2);
    let not_kept = |reply: &Result<String, String>| {
        reply
            .as_ref()
            .is_err_and(|e| e.contains("could not be kept"))
    };
    assert!(world.replies.iter().any(not_kept), "{:?}", world.replies);
    disk.borrow_mut().full = false;
    world.tell(Event::Import(2, Box::new(identity)));
    world.run(2);
    assert!(
        world.replies.iter().any(|reply| reply.is_ok()),
        "{:?}",
        world.replies
    );
}

#[test]
fn without_a_disk_all_is_kept_in_memory() {
    let ca = authority();
    let mut world = World::new(&ca, None, &[&["a.example"]]);
    world.run(75 * DAY);
    assert!(
        world.good("a.example") && ca.borrow().orders() == 2,
        "{}",
        world.story()
    );
    world.restart();
    assert!(
        !world.good("a.example"),
        "what it costs: a restart begins from nothing"
    );
    world.run(120);
    assert!(world.good("a.example"));
}

#[test]
fn renewal_information_moves_a_renewal_and_a_revoked_one_is_renewed_at_once() {
    let ca = authority();
    ca.borrow_mut().window = Some((10 * DAY, 11 * DAY));
    let mut world = World::new(&ca, Some(&disk()), &[&["a.example"]]);
    world.run(9 * DAY);
    assert_eq!(ca.borrow().orders(), 1);
    world.run(2 * DAY + HOUR);
    assert_eq!(ca.borrow().orders(), 2, "{}", world.story());
    world.tell(Event::Revoke(7, "a.example".into(), 1));
    world.run(120);
    assert!(world.replies.last().unwrap().is_ok(), "{:?}", world.replies);
    assert_eq!((ca.borrow().orders(), world.fresh_tickets), (3, 1));
    assert_eq!(
        ca.borrow()
            .issued()
            .iter()
            .filter(|(_, revoked)| *revoked)
            .count(),
        1
    );
    // Revoked behind our back: the window says so.
    ca.borrow_mut().window = Some((0, 1));
    world.run(7 * HOUR);
    let orders = ca.borrow().orders();
    assert!(
        (4..=5).contains(&orders),
        "at once, and not without end: {orders}"
    );
}

#[test]
fn an_external_account_is_bound_and_without_one_nothing_is_asked_in_vain() {
    let ca = authority();
    ca.borrow_mut()
        .external
        .insert("kid-7".into(), b"sixteen bytes ok".to_vec());
    let mut world = World::new(&ca, Some(&disk()), &[&["a.example"]]);
    world.run(DAY);
    assert!(
        !world.good("a.example") && world.loud("account") > 0,
        "{}",
        world.story()
    );
    assert!(
        world.asked.values().sum::<usize>() < 30,
        "{:?}",
        world.asked
    );
    world.with(|s| s.external = Some(("kid-7".into(), b"wrong key".to_vec())));
    world.run(600);
    assert!(!world.good("a.example"));
    world.with(|s| s.external = Some(("kid-7".into(), b"sixteen bytes ok".to_vec())));
    world.run(600);
    assert!(world.good("a.example"), "{}", world.story());
}

#[test]
fn the_accounts_key_rolls_over_and_a_kill_in_between_loses_nothing() {
    let steps = {
        let mut world = World::new(&authority(), Some(&disk()), &[&["a.example"]]);
        world.run(120);
        let before = world.actions;
        world.tell(Event::RollKey(3));
        world.run(60);
        assert!(world.replies[0].is_ok(), "{:?}", world.replies);
        world.actions - before
    };
    for step in 0..steps {
        let (ca, disk) = (authority(), disk());
        let mut world = World::new(&ca, Some(&disk), &[&["a.example"]]);
        world.run(120);
        world.kill_at = Some(world.actions + step);
        world.tell(Event::RollKey(3));
        world.run(60);
        world.restart();
        world.run(75 * DAY);
        assert!(
            world.good("a.example") && ca.borrow().orders() == 2,
            "killed at {step}: {}",
            world.story()
        );
    }
}

#[test]
fn an_imported_certificate_is_served_at_once_and_renewed_in_its_time() {
    let (ca, disk) = (authority(), disk());
    let mut other = World::new(&ca, None, &[&["a.example", "b.example"]]);
    other.run(120);
    let identity = other.served["a.example"][0].clone();
    let far = authority();
    far.borrow_mut().faults.vanished = true;
    let mut world = World::new(&far, Some(&disk), &[&["a.example"]]);
    world.run(60);
    world.tell(Event::Import(1, Box::new(identity.clone())));
    // It is served at once, and the operator is told of that once a restart would find it.
    assert!(world.good("a.example") && world.replies.is_empty());
    world.run(1);
    assert!(world.replies[0].is_ok());
    world.restart();
    assert!(world.good("a.example"), "it was kept");
    world.off = 200 * DAY as i64;
    world.tell(Event::Import(1, Box::new(identity)));
    assert!(world.replies[1].is_err(), "an expired one is not taken");
}

#[test]
fn reconfigured_names_are_taken_over_in_service() {
    let ca = authority();
    let mut world = World::new(&ca, Some(&disk()), &[&["a.example"], &["b.example"]]);
    world.run(120);
    let wanted = vec![vec!["a.example".to_string(), "c.example".to_string()]];
    world.tell(Event::Configure(
        plan(),
        Box::new(ranked("n1", &["n1"])),
        wanted,
    ));
    assert!(world.served["b.example"].is_empty() && world.good("a.example"));
    world.run(120);
    assert!(
        world.good("c.example") && ca.borrow().orders() == 3,
        "{}",
        world.story()
    );
    let _ = (Rc::strong_count(&ca), SECOND);
}
