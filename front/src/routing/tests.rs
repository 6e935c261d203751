use super::*;
use cranesill::api::ListKind;
use serde_json::Value;

const S: Timestamp = 1_000_000;

fn pipeline(capacity: CapacityLimits) -> RequestPipeline {
    let config: Value = serde_json::from_str(include_str!("../../examples/config.json")).unwrap();
    RequestPipeline::new(
        cranesill_settings::read(&config["settings"]).unwrap(),
        1,
        capacity,
    )
}

fn client_request(n: u64) -> (ReplyTo, ClientRequest) {
    let ask = ClientRequest {
        class: "book-car".into(),
        transaction: TransactionId::new(&format!("{n:016x}")).unwrap(),
        time_limit: 3 * S,
        object: None,
        part: 0,
        group: 0,
        size_kb: 0.0,
        cached_tag: None,
        idempotency_key: None,
        body: b"keys".as_slice().into(),
    };
    (
        ReplyTo {
            client: 2,
            stream: n as u32,
        },
        ask,
    )
}

/// An origin and nothing else: writes go there.
fn with_origin(capacity: CapacityLimits) -> RequestPipeline {
    let mut front = pipeline(capacity);
    let state = cranesill::api::EndpointState::Ready;
    let (member, weight) = (EndpointId(0x31), 1.0);
    let origin = cranesill::api::EndpointEntry {
        endpoint: member,
        kind: 2,
        zone: 0,
        cell: 0,
        weight,
        started: 0,
        state,
    };
    front.apply_endpoints(S, ListKind::Full, vec![origin], EventSource::Live);
    front
}

fn commands(front: &mut RequestPipeline) -> Vec<Command> {
    std::iter::from_fn(|| front.next_command())
        .filter(|c| !matches!(c, Command::SetTimer { .. }))
        .collect()
}

fn answers(front: &mut RequestPipeline) -> Vec<Response> {
    let answer = |c| {
        if let Command::Respond { response, .. } = c {
            Some(response)
        } else {
            None
        }
    };
    commands(front).into_iter().filter_map(answer).collect()
}

#[test]
fn without_capacity_a_request_is_rejected_at_once_with_retry_after() {
    // On a calm day thousands of requests a second were rejected: for each the largest response was reserved.
    let mut front = with_origin(CapacityLimits {
        max_pending: 5_000,
        max_buffered_bytes: 96 << 20,
    });
    for n in 1..=1_000 {
        let (from, ask) = client_request(n);
        front.receive_request(S, from, ask);
    }
    assert!(
        answers(&mut front).is_empty(),
        "there is memory for a thousand usual responses"
    );
    front.set_buffered_bytes(96 << 20);
    let (from, ask) = client_request(2_000);
    front.receive_request(S, from, ask);
    assert_eq!(answers(&mut front), [Response::Rejected(500_000)]);
}

#[test]
fn a_client_that_claims_to_wait_for_weeks_is_remembered_for_no_longer_than_its_class() {
    let mut front = with_origin(CapacityLimits {
        max_pending: 10,
        max_buffered_bytes: 96 << 20,
    });
    let (from, first) = client_request(1);
    front.receive_request(
        S,
        from,
        ClientRequest {
            time_limit: u64::from(u32::MAX) * 1_000,
            ..first
        },
    );
    let last = std::iter::from_fn(|| front.next_command()).filter_map(|c| match c {
        Command::SetTimer {
            at,
            timer: Timer::RequestDeadline(_) | Timer::AttemptTimeout(_),
        } => Some(at),
        _ => None,
    });
    assert!(last.max().is_some_and(|at| at <= S + 3 * S));
}

#[test]
fn requests_that_wait_for_capacity_are_ordered_by_the_size_that_the_client_stated() {
    // Guards against sizes that do not reach the decisions: on a calm day of a deployment whose clients state them, a
    // quarter of the priority weight was lost because every part counted as taking the same time.
    let mut front = pipeline(CapacityLimits {
        max_pending: 1_000,
        max_buffered_bytes: 96 << 20,
    });
    let state = cranesill::api::EndpointState::Ready;
    let (member, weight) = (EndpointId(1), 0.2);
    front.apply_endpoints(
        S,
        ListKind::Full,
        vec![cranesill::api::EndpointEntry {
            endpoint: member,
            kind: 0,
            zone: 1,
            cell: 0,
            weight,
            started: 0,
            state,
        }],
        EventSource::Live,
    );
    let mut video = |n: u64, size_kb: f64| {
        let (from, base) = client_request(n);
        let item = Some(ObjectKey {
            text: format!("{n:016x}").into(),
            id: n,
        });
        front.receive_request(
            S,
            from,
            ClientRequest {
                class: "car-video".into(),
                object: item,
                size_kb,
                ..base
            },
        );
        let sent = commands(&mut front);
        sent.into_iter().find_map(|c| {
            if let Command::Send { attempt, .. } = c {
                Some(attempt)
            } else {
                None
            }
        })
    };
    // One slot: the first request takes it, the large one and then the small one wait for it.
    let first = video(1, 3_000.0).expect("the cache is free");
    assert_eq!((video(2, 60_000.0), video(3, 30.0)), (None, None));
    let reply = UpstreamReply {
        kind: ReplyKind::Hit,
        ..UpstreamReply::default()
    };
    front.attempt_ended(S + 400_000, first, AttemptEnd::Reply(reply));
    let next = commands(&mut front).into_iter().find_map(|c| match c {
        Command::Send { fetch, .. } => fetch.object.map(|item| item.id),
        _ => None,
    });
    assert_eq!(
        next,
        Some(3),
        "the highest priority weight for its sending time goes first"
    );
}

#[test]
fn another_deployment_with_its_classes_in_another_order_and_other_kinds_is_served_by_the_same_code()
{
    let config: Value =
        serde_json::from_str(include_str!("../../examples/three-hubs.json")).unwrap();
    let deployment = cranesill_settings::read(&config["settings"]).unwrap();
    let (_, known) =
        crate::protocol::configured_events::read(&config["known"], &deployment.names).unwrap();
    let mut front = RequestPipeline::new(
        deployment,
        1,
        CapacityLimits {
            max_pending: 10,
            max_buffered_bytes: 16 << 20,
        },
    );
    for news in known {
        let crate::protocol::discovery::WatchEvent::Endpoints { complete, list } = news else {
            panic!()
        };
        let entry =
            |l: &crate::protocol::discovery::EndpointRecord| cranesill::api::EndpointEntry {
                endpoint: EndpointId(l.id.into()),
                kind: l.kind,
                zone: l.zone,
                cell: l.cell,
                weight: l.weight,
                started: 0,
                state: l.state,
            };
        front.apply_endpoints(
            S,
            if complete {
                ListKind::Full
            } else {
                ListKind::Delta
            },
            list.iter().map(entry).collect(),
            EventSource::Live,
        );
    }
    let mut fetch = |n: u64, class: &str| {
        let (from, base) = client_request(n);
        let item = Some(ObjectKey {
            text: format!("{n:016x}").into(),
            id: n,
        });
        front.receive_request(
            S,
            from,
            ClientRequest {
                class: class.into(),
                object: item,
                size_kb: 80.0,
                ..base
            },
        );
        commands(&mut front).into_iter().find_map(|c| match c {
            Command::Send {
                target: to, fetch, ..
            } => Some((to.0, fetch)),
            _ => None,
        })
    };
    let (to, note) = fetch(1, "note").expect("the first class runs at the origin");
    assert_eq!((to, note.write, note.fill.is_some()), (0x41, true, false));
    for (n, class) in (2..).zip(["cover", "clip"]) {
        let (to, read) = fetch(n, class).expect(class);
        let fill = read.fill.expect("a miss is filled");
        assert!(
            [0x21, 0x22].contains(&to) && fill.source.is_some_and(|s| [0x31, 0x32].contains(&s.0)),
            "{fill:?}"
        );
        assert!(!fill.coalesce, "fills are not joined here");
    }
    assert!(
        fetch(9, "page-bits").is_none(),
        "a class of another deployment is none here"
    );
}

#[test]
fn an_attempt_end_counts_once_and_so_does_a_response() {
    let mut front = with_origin(CapacityLimits {
        max_pending: 10,
        max_buffered_bytes: 96 << 20,
    });
    let (from, first) = client_request(1);
    front.receive_request(S, from, first.clone());
    // The endpoint could not tell two pending requests under one identifier apart.
    front.receive_request(S, ReplyTo { stream: 9, ..from }, first);
    let done = commands(&mut front);
    let [Command::Send { attempt, .. }, Command::Respond {
        response: Response::Failed,
        ..
    }] = done[..]
    else {
        panic!("{done:?}")
    };
    let reply = |word| {
        let body = b"booked".as_slice().into();
        AttemptEnd::Reply(UpstreamReply {
            kind: word,
            body,
            ..UpstreamReply::default()
        })
    };
    front.attempt_ended(2 * S, attempt, reply(ReplyKind::Hit));
    front.attempt_ended(2 * S, attempt, reply(ReplyKind::Fault));
    front.attempt_ended(
        2 * S,
        attempt,
        AttemptEnd::Broken {
            duplicate_failure: false,
        },
    );
    front.handle_timer(5 * S, Timer::RequestDeadline(attempt.request));
    assert_eq!(
        answers(&mut front),
        [Response::Served(b"booked".as_slice().into())]
    );
    assert_eq!(front.pending_requests(), 0);
}

#[test]
fn a_disconnected_client_gets_no_response_and_its_attempt_is_cancelled() {
    let mut front = with_origin(CapacityLimits {
        max_pending: 10,
        max_buffered_bytes: 96 << 20,
    });
    let (from, ask) = client_request(1);
    front.receive_request(S, from, ask);
    let Some(Command::Send { attempt, .. }) = commands(&mut front).into_iter().next() else {
        panic!()
    };
    front.cancel_request(2 * S, from);
    assert!(matches!(commands(&mut front)[..], [Command::Abort(aborted)] if aborted == attempt));
    front.attempt_ended(2 * S, attempt, AttemptEnd::Cancelled);
    assert!(commands(&mut front).is_empty());
}

#[test]
fn after_a_purge_of_everything_fetches_past_the_caches_are_bounded_and_joined_ones_cost_nothing() {
    use cranesill_purges::{shield::Shield, Purge, PurgeTarget};
    let mut front = pipeline(CapacityLimits {
        max_pending: 10_000,
        max_buffered_bytes: 1 << 30,
    });
    let state = cranesill::api::EndpointState::Ready;
    let entry = |id, kind, zone| {
        let (member, weight) = (EndpointId(id), 8.0);
        cranesill::api::EndpointEntry {
            endpoint: member,
            kind,
            zone,
            cell: 0,
            weight,
            started: 0,
            state,
        }
    };
    front.apply_endpoints(
        S,
        ListKind::Full,
        vec![entry(1, 0, 1), entry(2, 0, 1), entry(0x31, 2, 0)],
        EventSource::Live,
    );
    let mut floors = PurgeFloors::new(1 << 16, 0);
    floors.add(&Purge {
        number: 1,
        at_ms: S / 1_000,
        target: PurgeTarget::Group(3),
        id: "a".into(),
        who: "".into(),
        why: "".into(),
    });
    front.floors = Some(floors);
    front.shield = Some(Shield::new(S, 20.0));
    let (mut sent, mut refused) = (0, 0);
    for n in 1..=200u64 {
        let (from, mut ask) = client_request(n);
        let id = n % 100;
        ask.class = "page-bits".into();
        ask.group = 3;
        ask.object = Some(ObjectKey {
            text: format!("{id:016x}").into(),
            id,
        });
        front.receive_request(2 * S, from, ask);
        for command in std::iter::from_fn(|| front.next_command()) {
            match command {
                Command::Send { fetch, .. } => {
                    let fill = fetch.fill.unwrap();
                    assert!(
                        (1_000..=S).contains(&fill.max_age),
                        "nothing from before the purge: {fill:?}"
                    );
                    sent += usize::from(fill.source.is_some());
                }
                Command::Respond {
                    response: Response::Rejected(later),
                    ..
                } => {
                    assert!(later > 0, "it comes with the time to retry");
                    refused += 1;
                }
                Command::Respond { response, .. } => panic!("{response:?}"),
                _ => {}
            }
        }
    }
    // Twenty objects at most, and a second request for one of these joins the first. A rejected request gives its slot
    // back: all others would wait for capacity otherwise.
    assert!(
        refused >= 100 && (1..=40).contains(&sent),
        "{sent} sent, {refused} refused"
    );
}

#[test]
fn every_request_is_in_one_count_or_in_progress_whatever_becomes_of_it() {
    let mut front = with_origin(CapacityLimits {
        max_pending: 40,
        max_buffered_bytes: 96 << 20,
    });
    let (mut accepted, mut now, mut rng) = (0u64, S, 7u64);
    let mut roll = |n: u64| {
        rng = rng
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        (rng >> 33) % n
    };
    let (mut outstanding, mut open, mut responses) = (Vec::new(), Vec::new(), [0u64; 3]);
    for n in 1..=4_000u64 {
        now += roll(20_000);
        match roll(8) {
            0..=2 => {
                let (from, mut ask) = client_request(n);
                ask.class = ["book-car", "page-bits", "no-such"][roll(3) as usize].into();
                // A request of an unknown class is not counted, nor is a page without an object.
                accepted += u64::from(ask.class == "book-car");
                open.push(from);
                front.receive_request(now, from, ask);
            }
            3..=5 if !outstanding.is_empty() => {
                let attempt = outstanding.swap_remove(roll(outstanding.len() as u64) as usize);
                let reply = |word| {
                    AttemptEnd::Reply(UpstreamReply {
                        kind: word,
                        ..UpstreamReply::default()
                    })
                };
                let end = match roll(6) {
                    0 => reply(ReplyKind::Fault),
                    1 => AttemptEnd::Unsent {
                        duplicate_failure: false,
                    },
                    2 => AttemptEnd::Broken {
                        duplicate_failure: roll(2) == 0,
                    },
                    3 => reply(ReplyKind::Rejected),
                    _ => reply(ReplyKind::Hit),
                };
                front.attempt_ended(now, attempt, end);
            }
            6 if !open.is_empty() => {
                let from = open.swap_remove(roll(open.len() as u64) as usize);
                front.cancel_request(now, from);
            }
            _ => front.reject_new_requests(roll(9) == 0),
        }
        while let Some(command) = front.next_command() {
            match command {
                Command::Send { attempt, .. } => outstanding.push(attempt),
                Command::Abort(attempt) => front.attempt_ended(now, attempt, AttemptEnd::Cancelled),
                Command::Respond {
                    response: Response::Served(_) | Response::NotModified,
                    ..
                } => responses[0] += 1,
                Command::Respond {
                    response: Response::Rejected(_),
                    ..
                } => responses[1] += 1,
                Command::Respond {
                    response: Response::Failed,
                    ..
                } => responses[2] += 1,
                _ => {}
            }
        }
        let counts: Vec<ResponseCounts> =
            front.response_counts().map(|(_, counts)| *counts).collect();
        let sum = |of: fn(&ResponseCounts) -> u64| counts.iter().map(of).sum::<u64>();
        let all =
            sum(|c| c.served) + sum(|c| c.rejected) + sum(|c| c.failed) + sum(|c| c.cancelled);
        assert_eq!(all + front.pending_requests() as u64, accepted, "after {n}");
        // The responses that clients get are those counted, except for requests of no class.
        assert_eq!(
            (sum(|c| c.served), sum(|c| c.rejected)),
            (responses[0], responses[1])
        );
        assert!(sum(|c| c.failed) <= responses[2]);
    }
    assert!(
        responses.iter().all(|n| *n > 50),
        "each kind of response must occur: {responses:?}"
    );
}

#[test]
fn discovery_on_another_machine_dates_by_a_clock_of_its_own() {
    // The first machine agrees with this clock. The second is 4 s behind: what it dates 4 s ago happens now.
    let oldest = |moved: bool| {
        let mut front = pipeline(CapacityLimits {
            max_pending: 1_000,
            max_buffered_bytes: 96 << 20,
        });
        let state = cranesill::api::EndpointState::Ready;
        let entry = |id, kind, zone| {
            let (member, weight) = (EndpointId(id), 8.0);
            cranesill::api::EndpointEntry {
                endpoint: member,
                kind,
                zone,
                cell: 0,
                weight,
                started: 0,
                state,
            }
        };
        let now = 1_000 * S;
        front.apply_endpoints(
            now,
            ListKind::Full,
            vec![entry(1, 0, 1), entry(2, 0, 1), entry(0x31, 2, 0)],
            EventSource::Live,
        );
        front.apply_purge(now, None, 9, now - S / 10, EventSource::Live);
        if moved {
            front.discovery_moved();
        }
        front.apply_purge(now, None, 3, now - 4 * S, EventSource::Live);
        let (from, mut ask) = client_request(1);
        (ask.class, ask.group) = ("car-video".into(), 3);
        ask.object = Some(ObjectKey {
            text: format!("{:016x}", 7).into(),
            id: 7,
        });
        front.receive_request(now + S, from, ask);
        let sent = std::iter::from_fn(|| front.next_command());
        let fetch = sent
            .filter_map(|c| {
                if let Command::Send { fetch, .. } = c {
                    Some(fetch)
                } else {
                    None
                }
            })
            .next();
        fetch.unwrap().fill.unwrap().max_age
    };
    // Rounded down: a copy from before a purge never passes.
    assert_eq!(oldest(true), S - 1_000);
    assert_eq!(
        oldest(false),
        S + 4 * S - S / 10 - 1_000,
        "the same machine: the message was late"
    );
}
