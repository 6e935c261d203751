//! Fault tests of the ACME client on virtual clocks against the simulated authority.
mod common;
use common::*;
use cranesill_certs::messages::Level;
use cranesill_certs::{disk as folder, Event, SECOND};
use cranesill_standins::acme::WrongChain;
use std::rc::Rc;

#[test]
fn certificates_are_issued_and_renewed_in_time_for_a_year() {
    for lifetime in [90 * DAY, 6 * DAY] {
        let (ca, disk) = (authority(), disk());
        ca.borrow_mut().lifetime = lifetime;
        let mut sim = Simulation::new(
            &ca,
            Some(&disk),
            &[&["a.example", "b.example"], &["c.example"]],
        );
        sim.run(120);
        assert!(
            sim.has_valid("a.example") && sim.has_valid("b.example") && sim.has_valid("c.example"),
            "{}",
            sim.recent_log()
        );
        for _ in 0..365 {
            sim.run(DAY);
            assert!(
                sim.has_valid("b.example") && sim.has_valid("c.example"),
                "{}",
                sim.recent_log()
            );
        }
        let made = ca.borrow().orders();
        let wanted = 2 * (365 * DAY).div_ceil(lifetime * 62 / 100) as usize;
        assert!(made <= wanted + 4, "{made} orders, expected about {wanted}");
        assert_eq!(
            sim.warnings("expiring") + sim.warnings("expired"),
            0,
            "{}",
            sim.recent_log()
        );
    }
}

#[test]
fn an_outage_longer_than_the_lifetime_logs_errors_and_limits_requests() {
    let ca = authority();
    let mut sim = Simulation::new(&ca, Some(&disk()), &[&["a.example"]]);
    sim.run(120);
    ca.borrow_mut().faults.vanished = true;
    sim.requests.clear();
    sim.run(89 * DAY);
    assert!(
        sim.warnings("expiring") > 10 && sim.warnings("expired") == 0,
        "{}",
        sim.recent_log()
    );
    sim.run(2 * DAY);
    let errors = sim
        .log
        .iter()
        .filter(|(_, n)| n.kind == "expired" && n.level == Level::Error)
        .count();
    assert!(
        (1_300..=1_500).contains(&errors),
        "{errors} errors, expected one per minute since the expiry"
    );
    assert!(
        !sim.served["a.example"].is_empty(),
        "the expired certificate is no longer served"
    );
    let requests: usize = sim.requests.values().sum();
    assert!(
        requests < 31 * 24 * 3,
        "the delays between requests do not grow: {:?}",
        sim.requests
    );
    ca.borrow_mut().faults.vanished = false;
    assert!(
        sim.run_while(HOUR, |w| !w.has_valid("a.example")),
        "not renewed within the maximum delay\n{}",
        sim.recent_log()
    );
}

#[test]
fn renewal_recovers_from_wall_clock_jumps_past_renewal_and_expiry_and_back() {
    let ca = authority();
    let mut sim = Simulation::new(&ca, Some(&disk()), &[&["a.example"]]);
    sim.run(120);
    let first = sim.served["a.example"][0].serial.clone();
    // Clock past the renewal time: renewed once.
    sim.clock_offset_s = 70 * DAY as i64;
    sim.run(600);
    assert_ne!(
        sim.served["a.example"][0].serial,
        first,
        "{}",
        sim.recent_log()
    );
    assert!(ca.borrow().orders() <= 2);
    // Clock past the expiry of new certificates: orders must back off.
    sim.clock_offset_s = 400 * DAY as i64;
    sim.run(DAY);
    assert!(ca.borrow().orders() < 12, "{}", ca.borrow().orders());
    assert!(
        sim.warnings("clock") >= 1 && sim.warnings("expired") >= 60,
        "{}",
        sim.recent_log()
    );
    // Clock moved back to one hour behind the true time.
    sim.clock_offset_s = -(HOUR as i64);
    let before = ca.borrow().orders();
    sim.run(DAY);
    assert!(sim.has_valid("a.example"));
    assert!(ca.borrow().orders() <= before + 1, "{}", sim.recent_log());
    sim.run(90 * DAY);
    assert!(sim.has_valid("a.example"), "{}", sim.recent_log());
}

#[test]
fn a_wrong_clock_at_start_is_logged_and_the_certificate_is_accepted() {
    for clock_offset_s in [-(400 * DAY as i64), -(START as i64) + 10, 30 * DAY as i64] {
        let ca = authority();
        let mut sim = Simulation::new(&ca, Some(&disk()), &[&["a.example"]]);
        sim.clock_offset_s = clock_offset_s;
        sim.restart();
        sim.run(600);
        assert!(
            sim.has_valid("a.example"),
            "{clock_offset_s}: {}",
            sim.recent_log()
        );
        assert!(
            sim.warnings("clock") >= 1,
            "{clock_offset_s}: {}",
            sim.recent_log()
        );
        assert!(ca.borrow().orders() < 4);
        sim.clock_offset_s = 0;
        sim.run(80 * DAY);
        assert!(
            sim.has_valid("a.example"),
            "{clock_offset_s}: {}",
            sim.recent_log()
        );
    }
}

#[test]
fn an_order_is_resumed_after_a_kill_at_any_step() {
    let steps = {
        let mut sim = Simulation::new(&authority(), Some(&disk()), &[&["a.example", "b.example"]]);
        sim.run(120);
        assert!(sim.has_valid("a.example"));
        sim.actions
    };
    assert!(steps > 25, "{steps}");
    let mut extra_orders = 0;
    for step in 1..steps {
        let (ca, disk) = (authority(), disk());
        let mut sim = Simulation::new(&ca, Some(&disk), &[&["a.example", "b.example"]]);
        sim.kill_at = Some(step.max(sim.actions));
        sim.run(120);
        sim.restart();
        sim.run(120);
        assert!(
            sim.has_valid("a.example") && sim.has_valid("b.example"),
            "killed at {step}: {}",
            sim.recent_log()
        );
        // A second order is allowed only if the process stopped before the order URL was saved.
        let made = ca.borrow().orders();
        assert!(made <= 2, "killed at {step}: {made} orders");
        extra_orders += made - 1;
        assert!(
            !disk.borrow().names().iter().any(|n| n.ends_with(".order")),
            "killed at {step}"
        );
        assert!(sim.published.is_empty());
    }
    assert!(extra_orders <= 2, "{extra_orders} additional orders");
}

#[test]
fn key_and_certificate_match_after_a_kill_at_any_step_of_a_write() {
    let steps = {
        let disk = disk();
        let mut sim = Simulation::new(&authority(), Some(&disk), &[&["a.example"]]);
        sim.run(70 * DAY);
        let steps = disk.borrow().steps;
        steps
    };
    assert!(steps > 20, "{steps}");
    let mut resumed = 0;
    for step in 0..steps {
        let (ca, disk) = (authority(), disk());
        let mut sim = Simulation::new(&ca, Some(&disk), &[&["a.example"]]);
        sim.restart();
        disk.borrow_mut().kill_at = Some(step);
        sim.run_while(70 * DAY, |_| disk.borrow().steps <= step);
        // The process and the disk fail together.
        disk.borrow_mut().lose_power();
        let loaded = folder::load(&mut *disk.borrow_mut()).unwrap();
        assert_eq!(loaded.faults, [], "killed at {step}");
        resumed += loaded.pending.len();
        let had = !loaded.identities.is_empty();
        sim.restart();
        assert_eq!(sim.served.contains_key("a.example"), had);
        sim.run(120);
        assert!(
            sim.has_valid("a.example"),
            "killed at {step}: {}",
            sim.recent_log()
        );
    }
    assert!(
        resumed > 5,
        "{resumed} crashes with an order in progress, expected more"
    );
}

#[test]
fn two_fronts_that_renew_concurrently_leave_a_consistent_folder() {
    let (ca, disk) = (authority(), disk());
    // Each front ranks itself first.
    let mut one = Simulation::front("n1", &["n1", "n1"], &ca, Some(&disk), &[&["a.example"]]);
    let mut two = Simulation::front("n2", &["n2", "n2"], &ca, Some(&disk), &[&["a.example"]]);
    for _ in 0..2_000 {
        one.run(1);
        two.run(1);
        let loaded = folder::load(&mut *disk.borrow_mut()).unwrap();
        assert_eq!(loaded.faults, []);
    }
    assert!(one.has_valid("a.example") && two.has_valid("a.example"));
    assert!(ca.borrow().orders() <= 3);
    for _ in 0..200 {
        one.run(DAY);
        two.run(DAY);
        assert!(one.has_valid("a.example") && two.has_valid("a.example"));
    }
}

#[test]
fn fronts_sharing_a_folder_renew_once_and_the_next_takes_over_if_the_first_stops() {
    let (ca, disk) = (authority(), disk());
    let fronts = ["n1", "n2", "n3"];
    let mut all: Vec<_> = fronts
        .iter()
        .map(|me| Simulation::front(me, &fronts, &ca, Some(&disk), &[&["a.example"]]))
        .collect();
    let hour = |all: &mut Vec<Simulation>, out: usize| {
        for _ in 0..60 {
            all.iter_mut()
                .enumerate()
                .filter(|(i, _)| *i != out)
                .for_each(|(_, w)| w.run(60));
        }
    };
    hour(&mut all, 9);
    assert_eq!(
        ca.borrow().orders(),
        1,
        "the other fronts did not use the certificate in the folder"
    );
    assert!(all.iter().all(|w| w.has_valid("a.example")));
    let first = all
        .iter()
        .position(|w| w.log.iter().any(|(_, n)| n.kind == "issued"))
        .unwrap();
    (0..80 * 24).for_each(|_| hour(&mut all, first));
    assert_eq!(
        ca.borrow().orders(),
        2,
        "expected exactly one other front to take over"
    );
    assert!(all
        .iter()
        .enumerate()
        .all(|(i, w)| i == first || w.has_valid("a.example")));
}

#[test]
fn a_permanently_refused_name_does_not_delay_others() {
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
    let mut sim = Simulation::new(
        &ca,
        Some(&disk()),
        &names.iter().map(Vec::as_slice).collect::<Vec<_>>()[..1],
    );
    assert!(sim.run_while(600, |w| w.warnings("refused") == 0));
    let mut sim = Simulation::new(
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
    sim.run(600);
    for name in ["good.example", "fair.example", "c.example"] {
        assert!(sim.has_valid(name), "{name}: {}", sim.recent_log());
    }
    let early = ca.borrow().orders();
    sim.run(30 * DAY);
    let later = ca.borrow().orders();
    assert!(
        later - early < 30 * 5,
        "refused names ordered too often: {early} orders before, {later} after 30 days"
    );
    // Certificates follow soon after the names are accepted.
    ca.borrow_mut().faults.refuse.clear();
    ca.borrow_mut().faults.unprovable.clear();
    sim.run(2 * DAY);
    for name in ["bad.example", "worse.example", "ugly.example"] {
        assert!(sim.has_valid(name), "{name}: {}", sim.recent_log());
    }
}

#[test]
fn a_name_refused_at_renewal_keeps_the_old_certificate_while_others_are_renewed() {
    let ca = authority();
    let mut sim = Simulation::new(&ca, Some(&disk()), &[&["a.example", "b.example"]]);
    sim.run(120);
    ca.borrow_mut().faults.refuse.insert("b.example".into());
    for _ in 0..89 {
        sim.run(DAY);
        assert!(
            sim.has_valid("a.example") && sim.has_valid("b.example"),
            "{}",
            sim.recent_log()
        );
    }
    // The old certificate has expired; a.example has been renewed without b.example.
    sim.run(5 * DAY);
    assert!(sim.has_valid("a.example") && !sim.has_valid("b.example"));
}

#[test]
fn an_account_unknown_to_the_authority_is_registered_again_with_its_key() {
    let ca = authority();
    let mut sim = Simulation::new(&ca, Some(&disk()), &[&["a.example"]]);
    sim.run(120);
    ca.borrow_mut().forget_accounts();
    sim.run(75 * DAY);
    assert!(
        sim.has_valid("a.example") && sim.warnings("account-unknown") == 1,
        "{}",
        sim.recent_log()
    );
    assert_eq!(sim.served["a.example"].len(), 1);
}

#[test]
fn a_request_rejected_for_its_nonce_is_retried_with_the_new_one_up_to_a_limit() {
    let ca = authority();
    ca.borrow_mut().faults.bad_nonces = 4;
    let mut sim = Simulation::new(&ca, Some(&disk()), &[&["a.example"]]);
    sim.run(120);
    assert!(
        sim.has_valid("a.example") && sim.warnings("account") == 0,
        "{}",
        sim.recent_log()
    );
    // A permanent nonce error is a failure like others.
    ca.borrow_mut().faults.bad_nonces = u32::MAX;
    sim.requests.clear();
    sim.handle(Event::Renew(1, "a.example".into()));
    sim.run(HOUR);
    assert!(sim.has_valid("a.example"));
    assert!(
        sim.requests.values().sum::<usize>() < 400,
        "{:?}",
        sim.requests
    );
}

#[test]
fn authority_faults_leave_the_old_certificate_and_renewal_follows_recovery() {
    type Fault = fn(&mut cranesill_standins::acme::Faults);
    let faults: [(&str, Fault); 9] = [
        ("down", |f| f.down = true),
        ("down with Retry-After of an hour", |f| {
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
        let mut sim = Simulation::new(&ca, Some(&disk()), &[&["a.example"]]);
        sim.run(120);
        let serial = sim.served["a.example"][0].serial.clone();
        sim.run(59 * DAY);
        sim.restart();
        fault(&mut ca.borrow_mut().faults);
        sim.requests.clear();
        sim.run(5 * DAY);
        assert_eq!(sim.served["a.example"][0].serial, serial, "{what}");
        let requests: usize = sim.requests.values().sum();
        assert!(requests < 1_500, "{what}: {requests} requests in five days");
        let warnings = sim
            .log
            .iter()
            .filter(|(_, n)| n.level >= Level::Warn)
            .count();
        assert!(warnings > 0, "{what}: no warning was logged");
        ca.borrow_mut().faults = Default::default();
        assert!(
            sim.run_while(30 * HOUR, |w| w.served["a.example"][0].serial == serial),
            "{what}: {}",
            sim.recent_log()
        );
    }
}

#[test]
fn an_order_stuck_in_processing_is_resumed_and_not_created_again() {
    let ca = authority();
    ca.borrow_mut().faults.stuck = true;
    let mut sim = Simulation::new(
        &ca,
        Some(&disk()),
        &[&["a.example"], &["b.example"], &["c.example"]],
    );
    sim.run(4 * HOUR);
    assert_eq!(
        ca.borrow().orders(),
        3,
        "expected one order per certificate"
    );
    sim.restart();
    ca.borrow_mut().faults.stuck = false;
    sim.run(2 * HOUR);
    assert!(
        ["a.example", "b.example", "c.example"]
            .iter()
            .all(|n| sim.has_valid(n)),
        "{}",
        sim.recent_log()
    );
    assert_eq!(ca.borrow().orders(), 3);
}

#[test]
fn retry_after_is_respected() {
    let ca = authority();
    (
        ca.borrow_mut().faults.down,
        ca.borrow_mut().faults.retry_after,
    ) = (true, Some(5_000));
    let mut sim = Simulation::new(&ca, Some(&disk()), &[&["a.example"]]);
    sim.run(4_990);
    assert_eq!(sim.requests["directory"], 1, "{}", sim.recent_log());
    ca.borrow_mut().faults = Default::default();
    assert!(
        sim.run_while(1_600, |w| !w.has_valid("a.example")),
        "{}",
        sim.recent_log()
    );
}

#[test]
fn hundreds_of_due_certificates_stay_within_the_order_limit_also_across_restarts() {
    let ca = authority();
    let all: Vec<String> = (0..200).map(|i| format!("n{i}.example")).collect();
    let names: Vec<[&str; 1]> = all.iter().map(|n| [n.as_str()]).collect();
    let names: Vec<&[&str]> = names.iter().map(|n| &n[..]).collect();
    let mut sim = Simulation::new(&ca, Some(&disk()), &names);
    let mut orders = Vec::new();
    for _ in 0..40 {
        sim.run(HOUR);
        orders.push(ca.borrow().orders());
    }
    assert!(orders.windows(4).all(|w| w[3] - w[0] <= 20), "{orders:?}");
    assert_eq!(orders[39], 200);
    assert!(all.iter().all(|n| sim.has_valid(n)));
    // A restart must not reset the order limit.
    let (ca, disk) = (authority(), disk());
    let mut sim = Simulation::new(&ca, Some(&disk), &names);
    for _ in 0..20 {
        sim.run(30);
        sim.restart();
    }
    assert!(ca.borrow().orders() <= 20, "{}", ca.borrow().orders());
}

#[test]
fn a_full_or_damaged_folder_is_logged_and_certificates_are_still_served() {
    let (ca, disk) = (authority(), disk());
    disk.borrow_mut().full = true;
    let mut sim = Simulation::new(&ca, Some(&disk), &[&["a.example"]]);
    sim.run(120);
    assert!(
        sim.has_valid("a.example") && sim.warnings("not-kept") > 0,
        "{}",
        sim.recent_log()
    );
    disk.borrow_mut().full = false;
    sim.handle(Event::Renew(1, "a.example".into()));
    sim.run(120);
    let bundle = disk.borrow().get("a.example.pem").unwrap();
    // Key and certificate of different orders.
    let mut other = Simulation::new(&authority(), Some(&common::disk()), &[&["a.example"]]);
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
        disk.borrow_mut().insert_file("a.example.pem", bad);
        disk.borrow_mut()
            .insert_file("state.json", &bad[..bad.len().min(40)]);
        sim.restart();
        assert!(sim.warnings("file-unusable") > 0, "{}", sim.recent_log());
        sim.run(4 * HOUR);
        assert!(sim.has_valid("a.example"), "{}", sim.recent_log());
        sim.log.clear();
    }
    // A file of a newer version is reported.
    disk.borrow_mut()
        .insert_file("state.json", br#"{"version": 99, "orders": 7}"#);
    sim.restart();
    assert!(
        sim.log
            .iter()
            .any(|(_, n)| n.text.contains("newer version")),
        "{}",
        sim.recent_log()
    );
}

/// After a downgrade the files of the newer version must be there for the next upgrade.
#[test]
fn files_of_a_newer_version_are_left_untouched() {
    let (ca, disk) = (authority(), disk());
    let newer = br#"{"version": 99, "content": "of a later release"}"#;
    let names = ["account.json", "state.json", "a.example.order"];
    for name in names {
        disk.borrow_mut().insert_file(name, newer);
    }
    let mut sim = Simulation::new(&ca, Some(&disk), &[&["a.example"]]);
    sim.run(DAY);
    assert!(sim.has_valid("a.example"), "{}", sim.recent_log());
    for name in names {
        let content = disk.borrow().get(name);
        assert!(
            content.as_deref() == Some(&newer[..]),
            "{name} was replaced"
        );
    }
    let not_saved = |entry: &str| entry.contains("not overwritten");
    let errors = sim.log.iter().filter(|(_, entry)| not_saved(&entry.text));
    let errors: Vec<_> = errors.map(|(_, entry)| entry.text.clone()).collect();
    let named = |name: &str| errors.iter().filter(|text| text.contains(name)).count();
    assert!(
        named("state.json") <= 1 && named("account.json") >= 1,
        "{errors:#?}"
    );
}

#[test]
fn failed_writes_are_retried_until_the_disk_recovers_without_another_order() {
    let (ca, disk) = (authority(), disk());
    disk.borrow_mut().full = true;
    let mut sim = Simulation::new(&ca, Some(&disk), &[&["a.example"]]);
    sim.run(3 * HOUR);
    assert!(
        sim.has_valid("a.example") && disk.borrow().get("a.example.pem").is_none(),
        "{}",
        sim.recent_log()
    );
    let logged = sim.warnings("not-kept");
    disk.borrow_mut().full = false;
    sim.run(70);
    for file in ["a.example.pem", "account.json", "state.json"] {
        assert!(
            disk.borrow().get(file).is_some(),
            "{file}: {}",
            sim.recent_log()
        );
    }
    assert_eq!(sim.warnings("not-kept"), logged, "a retry was logged again");
    sim.restart();
    sim.run(HOUR);
    assert!(
        sim.has_valid("a.example") && ca.borrow().orders() == 1,
        "{}",
        sim.recent_log()
    );
}

#[test]
fn an_import_is_confirmed_once_durable_and_reported_if_the_write_fails() {
    let disk = disk();
    let mut other = Simulation::new(&authority(), Some(&common::disk()), &[&["a.example"]]);
    other.run(120);
    let identity = other.served["a.example"][0].clone();
    let mut sim = Simulation::new(&authority(), Some(&disk), &[&["a.example"]]);
    disk.borrow_mut().full = true;
    sim.handle(Event::Import(1, Box::new(identity.clone())));
    assert!(
        sim.replies.is_empty(),
        "confirmed before the write was durable"
    );
    sim.run(2);
    let not_kept = |reply: &Result<String, String>| {
        reply
            .as_ref()
            .is_err_and(|e| e.contains("could not be saved"))
    };
    assert!(sim.replies.iter().any(not_kept), "{:?}", sim.replies);
    disk.borrow_mut().full = false;
    sim.handle(Event::Import(2, Box::new(identity)));
    sim.run(2);
    assert!(
        sim.replies.iter().any(|reply| reply.is_ok()),
        "{:?}",
        sim.replies
    );
}

#[test]
fn without_a_folder_certificates_are_kept_in_memory_only() {
    let ca = authority();
    let mut sim = Simulation::new(&ca, None, &[&["a.example"]]);
    sim.run(75 * DAY);
    assert!(
        sim.has_valid("a.example") && ca.borrow().orders() == 2,
        "{}",
        sim.recent_log()
    );
    sim.restart();
    assert!(
        !sim.has_valid("a.example"),
        "a restart without a folder must lose the certificate"
    );
    sim.run(120);
    assert!(sim.has_valid("a.example"));
}

#[test]
fn renewal_information_moves_a_renewal_and_a_revoked_certificate_is_replaced_at_once() {
    let ca = authority();
    ca.borrow_mut().window = Some((10 * DAY, 11 * DAY));
    let mut sim = Simulation::new(&ca, Some(&disk()), &[&["a.example"]]);
    sim.run(9 * DAY);
    assert_eq!(ca.borrow().orders(), 1);
    sim.run(2 * DAY + HOUR);
    assert_eq!(ca.borrow().orders(), 2, "{}", sim.recent_log());
    sim.handle(Event::Revoke(7, "a.example".into(), 1));
    sim.run(120);
    assert!(sim.replies.last().unwrap().is_ok(), "{:?}", sim.replies);
    assert_eq!((ca.borrow().orders(), sim.fresh_tickets), (3, 1));
    assert_eq!(
        ca.borrow()
            .issued()
            .iter()
            .filter(|(_, revoked)| *revoked)
            .count(),
        1
    );
    // Revoked by the authority, which suggests a window in the past.
    ca.borrow_mut().window = Some((0, 1));
    sim.run(7 * HOUR);
    let orders = ca.borrow().orders();
    assert!(
        (4..=5).contains(&orders),
        "expected one or two more orders, got {orders} in total"
    );
}

#[test]
fn an_external_account_is_bound_and_a_missing_one_limits_requests() {
    let ca = authority();
    ca.borrow_mut()
        .external
        .insert("kid-7".into(), b"sixteen bytes ok".to_vec());
    let mut sim = Simulation::new(&ca, Some(&disk()), &[&["a.example"]]);
    sim.run(DAY);
    assert!(
        !sim.has_valid("a.example") && sim.warnings("account") > 0,
        "{}",
        sim.recent_log()
    );
    assert!(
        sim.requests.values().sum::<usize>() < 30,
        "{:?}",
        sim.requests
    );
    sim.restart_with(|s| s.external = Some(("kid-7".into(), b"wrong key".to_vec())));
    sim.run(600);
    assert!(!sim.has_valid("a.example"));
    sim.restart_with(|s| s.external = Some(("kid-7".into(), b"sixteen bytes ok".to_vec())));
    sim.run(600);
    assert!(sim.has_valid("a.example"), "{}", sim.recent_log());
}

#[test]
fn account_key_rollover_survives_a_kill_at_any_step() {
    let steps = {
        let mut sim = Simulation::new(&authority(), Some(&disk()), &[&["a.example"]]);
        sim.run(120);
        let before = sim.actions;
        sim.handle(Event::RollKey(3));
        sim.run(60);
        assert!(sim.replies[0].is_ok(), "{:?}", sim.replies);
        sim.actions - before
    };
    for step in 0..steps {
        let (ca, disk) = (authority(), disk());
        let mut sim = Simulation::new(&ca, Some(&disk), &[&["a.example"]]);
        sim.run(120);
        sim.kill_at = Some(sim.actions + step);
        sim.handle(Event::RollKey(3));
        sim.run(60);
        sim.restart();
        sim.run(75 * DAY);
        assert!(
            sim.has_valid("a.example") && ca.borrow().orders() == 2,
            "killed at {step}: {}",
            sim.recent_log()
        );
    }
}

/// Only the answer that no account has the new key shows that the authority still uses the old one.
#[test]
fn a_failed_check_of_the_new_account_key_keeps_both_keys() {
    for status in [302, 401, 404, 429] {
        let (ca, disk) = (authority(), disk());
        let mut sim = Simulation::new(&ca, Some(&disk), &[&["a.example"]]);
        sim.run(120);
        // The authority changes the key, and its response is lost.
        sim.loses_responses = true;
        sim.handle(Event::RollKey(3));
        sim.run(60);
        assert!(sim.replies[0].is_err(), "{:?}", sim.replies);
        sim.loses_responses = false;
        ca.borrow_mut().faults.account_check_status = Some(status);
        // The renewal is due within this time.
        sim.run(61 * DAY);
        ca.borrow_mut().faults.account_check_status = None;
        sim.run(2 * DAY);
        assert!(
            sim.has_valid("a.example") && ca.borrow().orders() == 2 && ca.borrow().accounts() == 1,
            "status {status}, {} accounts: {}",
            ca.borrow().accounts(),
            sim.recent_log()
        );
    }
}

#[test]
fn an_imported_certificate_is_served_at_once_and_survives_a_restart() {
    let (ca, disk) = (authority(), disk());
    let mut other = Simulation::new(&ca, None, &[&["a.example", "b.example"]]);
    other.run(120);
    let identity = other.served["a.example"][0].clone();
    let far = authority();
    far.borrow_mut().faults.vanished = true;
    let mut sim = Simulation::new(&far, Some(&disk), &[&["a.example"]]);
    sim.run(60);
    sim.handle(Event::Import(1, Box::new(identity.clone())));
    // Served at once, but confirmed only after the write.
    assert!(sim.has_valid("a.example") && sim.replies.is_empty());
    sim.run(1);
    assert!(sim.replies[0].is_ok());
    sim.restart();
    assert!(sim.has_valid("a.example"), "not loaded after the restart");
    sim.clock_offset_s = 200 * DAY as i64;
    sim.handle(Event::Import(1, Box::new(identity)));
    assert!(
        sim.replies[1].is_err(),
        "an expired certificate was imported"
    );
}

#[test]
fn changed_names_are_applied_without_a_restart() {
    let ca = authority();
    let mut sim = Simulation::new(&ca, Some(&disk()), &[&["a.example"], &["b.example"]]);
    sim.run(120);
    let wanted = vec![vec!["a.example".to_string(), "c.example".to_string()]];
    sim.handle(Event::Configure(
        planner_settings(),
        Box::new(ranking("n1", &["n1"])),
        wanted,
    ));
    assert!(sim.served["b.example"].is_empty() && sim.has_valid("a.example"));
    sim.run(120);
    assert!(
        sim.has_valid("c.example") && ca.borrow().orders() == 3,
        "{}",
        sim.recent_log()
    );
    let _ = (Rc::strong_count(&ca), SECOND);
}
