use super::*;

fn listing(id: u32, state: EndpointState) -> EndpointRecord {
    let address = "127.0.0.1:80".parse().unwrap();
    EndpointRecord {
        id,
        address,
        state,
        zone: 1,
        kind: 2,
        cell: 3,
        weight: 4.25,
        started_ms: 5,
    }
}

fn known() -> Snapshot {
    let mut known = Snapshot {
        source: 0xfeed,
        ..Snapshot::default()
    };
    let members = vec![
        listing(1, EndpointState::Ready),
        listing(2, EndpointState::Draining),
        listing(3, EndpointState::Ready),
    ];
    known.apply(
        4,
        900,
        900,
        45,
        &WatchEvent::Endpoints {
            complete: true,
            list: members,
        },
    );
    known.apply(
        5,
        950,
        950,
        45,
        &WatchEvent::Purge {
            object: Some(0xabc),
            group: 0,
            at_ms: 940,
        },
    );
    known.apply(
        6,
        960,
        960,
        45,
        &WatchEvent::Purge {
            object: None,
            group: 9,
            at_ms: 955,
        },
    );
    known.apply(
        7,
        999,
        999,
        45,
        &WatchEvent::Endpoints {
            complete: false,
            list: vec![listing(3, EndpointState::Removed)],
        },
    );
    known
}

#[test]
fn what_is_written_is_read_and_what_is_over_is_dropped() {
    let known = known();
    assert_eq!(
        (known.endpoints.len(), known.purges.len()),
        (2, 1),
        "gone, and over"
    );
    let text = known.encode().unwrap();
    let read = Snapshot::decode(text.as_bytes()).unwrap();
    assert_eq!(
        (read.encode(), read.digest()),
        (Some(text.clone()), known.digest())
    );
    assert_eq!(known.watch_events().len(), 2);
    insta::assert_snapshot!(text);
}

#[test]
fn purges_are_kept_by_when_they_were_heard_of_whatever_the_clocks_say_and_are_bounded() {
    // This clock is an hour ahead of the one that dates purges, or behind it.
    for now in [10_000_000, 2_800_000] {
        let mut known = Snapshot::default();
        known.apply(
            1,
            now,
            now,
            8_000,
            &WatchEvent::Purge {
                object: Some(1),
                group: 0,
                at_ms: 6_400_000,
            },
        );
        known.apply(
            2,
            now + 7_000,
            now + 7_000,
            8_000,
            &WatchEvent::Purge {
                object: Some(2),
                group: 0,
                at_ms: 6_407_000,
            },
        );
        assert_eq!(
            known.purges.len(),
            2,
            "copies from before both may still be held"
        );
        known.apply(
            3,
            now + 9_000,
            now + 9_000,
            8_000,
            &WatchEvent::Endpoints {
                complete: false,
                list: vec![],
            },
        );
        assert_eq!(known.purges.len(), 1);
        // One that was read is kept from then on.
        let mut read = Snapshot::decode(known.encode().unwrap().as_bytes()).unwrap();
        read.apply(
            4,
            now + 20_000,
            now + 20_000,
            8_000,
            &WatchEvent::Endpoints {
                complete: false,
                list: vec![],
            },
        );
        assert_eq!(read.purges.len(), 1);
    }
    let mut known = Snapshot::default();
    for n in 0..2 * MAX_PURGES as u64 {
        known.apply(
            n,
            5,
            5,
            8_000,
            &WatchEvent::Purge {
                object: Some(n),
                group: 0,
                at_ms: 5,
            },
        );
    }
    assert_eq!((known.purges.len(), known.encode()), (MAX_PURGES + 1, None));
}

#[test]
fn cut_at_every_byte_or_changed_in_any_it_is_as_if_absent() {
    let text = known().encode().unwrap().into_bytes();
    for cut in 0..text.len() {
        assert!(Snapshot::decode(&text[..cut]).is_err(), "cut at {cut}");
        let mut bad = text.clone();
        bad[cut] ^= 1;
        assert!(Snapshot::decode(&bad).is_err(), "byte {cut}");
    }
    let whole = |body: &str| {
        format!(
            "cranesill list v1 {:08x}\n{body}",
            crc32fast::hash(body.as_bytes())
        )
    };
    for body in [
        "",
        "m\n",
        "from 1 2\n",
        "from 1 2 3\nx\n",
        "from 1 2 3\no zz 3\n",
        "from 1 2 3\ng -1 3\n",
    ] {
        assert!(Snapshot::decode(whole(body).as_bytes()).is_err(), "{body}");
    }
    assert!(Snapshot::decode(&vec![b'x'; MAX_SNAPSHOT_BYTES + 1]).is_err());
    let many = (0..=MAX_PURGES as u64)
        .map(|n| RecordedPurge {
            object: Some(n),
            group: 0,
            at_ms: n,
        })
        .collect();
    assert_eq!(
        Snapshot {
            purges: many,
            ..known()
        }
        .encode(),
        None
    );
}

#[test]
fn a_step_of_the_wall_clock_drops_no_purge_and_keeps_none_for_longer() {
    for step in [-3_600_000i64, -5_000, 5_000, 3_600_000] {
        let mut known = Snapshot::default();
        let wall = |ms: u64| (10_000_000 + ms).saturating_add_signed(step);
        let none = || WatchEvent::Endpoints {
            complete: false,
            list: vec![],
        };
        known.apply(
            1,
            10_000_000,
            100,
            8_000,
            &WatchEvent::Purge {
                object: Some(1),
                group: 0,
                at_ms: 6_400_000,
            },
        );
        known.apply(2, wall(7_000), 7_100, 8_000, &none());
        assert_eq!(
            known.purges.len(),
            1,
            "{step}: copies from before it may still be held"
        );
        known.apply(3, wall(9_000), 9_100, 8_000, &none());
        assert_eq!(known.purges.len(), 0, "{step}");
    }
}
