use super::*;

fn endpoint_record(id: u32, state: EndpointState) -> EndpointRecord {
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

fn sample_snapshot() -> Snapshot {
    let mut snapshot = Snapshot {
        source: 0xfeed,
        ..Snapshot::default()
    };
    let endpoints = vec![
        endpoint_record(1, EndpointState::Ready),
        endpoint_record(2, EndpointState::Draining),
        endpoint_record(3, EndpointState::Ready),
    ];
    snapshot.apply(
        4,
        900,
        900,
        45,
        &WatchEvent::Endpoints {
            complete: true,
            list: endpoints,
        },
    );
    snapshot.apply(
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
    snapshot.apply(
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
    snapshot.apply(
        7,
        999,
        999,
        45,
        &WatchEvent::Endpoints {
            complete: false,
            list: vec![endpoint_record(3, EndpointState::Removed)],
        },
    );
    snapshot
}

#[test]
fn a_snapshot_round_trips_without_removed_endpoints_and_expired_purges() {
    let snapshot = sample_snapshot();
    assert_eq!(
        (snapshot.endpoints.len(), snapshot.purges.len()),
        (2, 1),
        "the removed endpoint and the expired purge must be dropped"
    );
    let text = snapshot.encode().unwrap();
    let decoded = Snapshot::decode(text.as_bytes()).unwrap();
    assert_eq!(
        (decoded.encode(), decoded.digest()),
        (Some(text.clone()), snapshot.digest())
    );
    assert_eq!(snapshot.watch_events().len(), 2);
    insta::assert_snapshot!(text);
}

#[test]
fn purges_are_retained_by_receive_time_and_their_number_is_bounded() {
    // The local clocks are an hour ahead of the clock that timestamps purges, or an hour behind it.
    for now in [10_000_000, 2_800_000] {
        let mut snapshot = Snapshot::default();
        snapshot.apply(
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
        snapshot.apply(
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
            snapshot.purges.len(),
            2,
            "caches may still hold copies from before both purges"
        );
        snapshot.apply(
            3,
            now + 9_000,
            now + 9_000,
            8_000,
            &WatchEvent::Endpoints {
                complete: false,
                list: vec![],
            },
        );
        assert_eq!(snapshot.purges.len(), 1);
        // The retention of a decoded purge starts when the first event is applied.
        let mut decoded = Snapshot::decode(snapshot.encode().unwrap().as_bytes()).unwrap();
        decoded.apply(
            4,
            now + 20_000,
            now + 20_000,
            8_000,
            &WatchEvent::Endpoints {
                complete: false,
                list: vec![],
            },
        );
        assert_eq!(decoded.purges.len(), 1);
    }
    let mut snapshot = Snapshot::default();
    for n in 0..2 * MAX_PURGES as u64 {
        snapshot.apply(
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
    assert_eq!(
        (snapshot.purges.len(), snapshot.encode()),
        (MAX_PURGES + 1, None)
    );
}

#[test]
fn truncated_corrupted_and_oversized_snapshots_are_rejected() {
    let text = sample_snapshot().encode().unwrap().into_bytes();
    for cut in 0..text.len() {
        assert!(Snapshot::decode(&text[..cut]).is_err(), "cut at {cut}");
        let mut corrupted = text.clone();
        corrupted[cut] ^= 1;
        assert!(Snapshot::decode(&corrupted).is_err(), "byte {cut}");
    }
    let with_header = |body: &str| {
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
        assert!(
            Snapshot::decode(with_header(body).as_bytes()).is_err(),
            "{body}"
        );
    }
    assert!(Snapshot::decode(&vec![b'x'; MAX_SNAPSHOT_BYTES + 1]).is_err());
    let too_many = (0..=MAX_PURGES as u64)
        .map(|n| RecordedPurge {
            object: Some(n),
            group: 0,
            at_ms: n,
        })
        .collect();
    assert_eq!(
        Snapshot {
            purges: too_many,
            ..sample_snapshot()
        }
        .encode(),
        None
    );
}

#[test]
fn a_step_of_the_wall_clock_does_not_change_purge_retention() {
    for step in [-3_600_000i64, -5_000, 5_000, 3_600_000] {
        let mut snapshot = Snapshot::default();
        let wall = |ms: u64| (10_000_000 + ms).saturating_add_signed(step);
        let no_changes = || WatchEvent::Endpoints {
            complete: false,
            list: vec![],
        };
        snapshot.apply(
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
        snapshot.apply(2, wall(7_000), 7_100, 8_000, &no_changes());
        assert_eq!(
            snapshot.purges.len(),
            1,
            "step of {step} ms: caches may still hold copies from before the purge"
        );
        snapshot.apply(3, wall(9_000), 9_100, 8_000, &no_changes());
        assert_eq!(snapshot.purges.len(), 0, "step of {step} ms");
    }
}
