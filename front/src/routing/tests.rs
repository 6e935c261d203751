use super::*;
use cranesill::api::ListKind;
use serde_json::Value;

mod executions;

const SECOND: Timestamp = 1_000_000;

fn new_pipeline(capacity: CapacityLimits) -> RequestPipeline {
    let config: Value = serde_json::from_str(include_str!("../../examples/config.json")).unwrap();
    RequestPipeline::new(
        cranesill_settings::read(&config["settings"]).unwrap(),
        1,
        capacity,
    )
}

fn client_request(n: u64) -> (ReplyTo, ClientRequest) {
    let request = ClientRequest {
        class: "book-car".into(),
        transaction: TransactionId::new(&format!("{n:016x}")).unwrap(),
        time_limit: 3 * SECOND,
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
        request,
    )
}

/// Creates a pipeline whose only endpoint is an origin, to which writes are sent.
fn pipeline_with_origin(capacity: CapacityLimits) -> RequestPipeline {
    let mut pipeline = new_pipeline(capacity);
    let state = cranesill::api::EndpointState::Ready;
    let (endpoint, weight) = (EndpointId(0x31), 1.0);
    let origin = cranesill::api::EndpointEntry {
        endpoint,
        kind: 2,
        zone: 0,
        cell: 0,
        weight,
        started: 0,
        state,
    };
    pipeline.apply_endpoints(SECOND, ListKind::Full, vec![origin], EventSource::Live);
    pipeline
}

fn take_commands(pipeline: &mut RequestPipeline) -> Vec<Command> {
    std::iter::from_fn(|| pipeline.next_command())
        .filter(|c| !matches!(c, Command::SetTimer { .. }))
        .collect()
}

fn take_responses(pipeline: &mut RequestPipeline) -> Vec<Response> {
    let response = |c| {
        if let Command::Respond { response, .. } = c {
            Some(response)
        } else {
            None
        }
    };
    take_commands(pipeline)
        .into_iter()
        .filter_map(response)
        .collect()
}

#[test]
fn requests_beyond_the_buffer_limit_are_rejected_with_a_retry_after() {
    // Guards against reserving the maximum response size for each pending request, which rejects far too many.
    let mut pipeline = pipeline_with_origin(CapacityLimits {
        max_pending: 5_000,
        max_buffered_bytes: 96 << 20,
        max_body_bytes: 12 << 20,
    });
    for n in 1..=1_000 {
        let (from, request) = client_request(n);
        pipeline.receive_request(SECOND, from, request);
    }
    assert!(
        take_responses(&mut pipeline).is_empty(),
        "a thousand responses of average size fit into the memory limit"
    );
    pipeline.set_buffered_bytes(96 << 20);
    let (from, request) = client_request(2_000);
    pipeline.receive_request(SECOND, from, request);
    assert_eq!(take_responses(&mut pipeline), [Response::Rejected(500_000)]);
}

// Guards against bodies of pending requests that are in no account: bad clients drove the front over its memory limit.
#[test]
fn bodies_of_pending_requests_stay_within_their_limit_and_are_released_with_each_outcome() {
    const BODY_BYTES: usize = 48_000;
    const CLIENTS: usize = 60;
    const REQUESTS_PER_CLIENT: usize = 32;
    let limit = 4 << 20;
    let mut pipeline = pipeline_with_origin(CapacityLimits {
        max_pending: 20_000,
        max_buffered_bytes: 16 << 20,
        max_body_bytes: limit,
    });
    let write = |n: usize, client: usize| {
        let (from, request) = client_request(n as u64);
        let body = vec![b'b'; BODY_BYTES].as_slice().into();
        (
            ReplyTo { client, ..from },
            ClientRequest { body, ..request },
        )
    };
    let mut outstanding = Vec::new();
    let mut open = Vec::new();
    let mut rejected = 0;
    for n in 0..CLIENTS * REQUESTS_PER_CLIENT {
        let (from, request) = write(n, n % CLIENTS);
        pipeline.receive_request(SECOND, from, request);
        for command in take_commands(&mut pipeline) {
            match command {
                Command::Send { attempt, .. } => {
                    outstanding.push(attempt);
                    open.push(from);
                }
                Command::Respond { response, .. } => {
                    assert_eq!(response, Response::Rejected(500_000));
                    rejected += 1;
                }
                _ => {}
            }
        }
        assert!(pipeline.body_bytes() <= limit);
    }
    assert!(rejected > 0 && outstanding.len() >= CLIENTS);
    // A client without a body is admitted, and so is the first body of another one.
    let (from, without_body) = client_request(90_001);
    let without_body = ClientRequest {
        body: Rc::default(),
        ..without_body
    };
    pipeline.receive_request(
        SECOND,
        ReplyTo {
            client: 901,
            ..from
        },
        without_body,
    );
    let (from, request) = write(90_002, 902);
    pipeline.receive_request(SECOND, from, request);
    assert!(take_responses(&mut pipeline).is_empty());
    // Each way out releases the memory: a cancellation, a final response, the deadline, and the end of the process.
    pipeline.cancel_request(SECOND, open[0]);
    let served = AttemptEnd::Reply(UpstreamReply {
        kind: ReplyKind::Hit,
        ..UpstreamReply::default()
    });
    pipeline.attempt_ended(SECOND, outstanding[1], served);
    let deadline = Timer::RequestDeadline(outstanding[2].request);
    pipeline.handle_timer(4 * SECOND, deadline);
    let bodies = pipeline.body_bytes() / BODY_BYTES;
    assert_eq!(bodies, outstanding.len() + 1 - 3);
    pipeline.conclude_all(4 * SECOND);
    assert_eq!((pipeline.pending_requests(), pipeline.body_bytes()), (0, 0));
}

#[test]
fn bodies_of_pending_requests_count_against_the_memory_for_requests() {
    let body_bytes = 10_000;
    let mut pipeline = pipeline_with_origin(CapacityLimits {
        max_pending: 100,
        max_buffered_bytes: 1 << 20,
        max_body_bytes: 1 << 20,
    });
    let buffered = (1 << 20) - body_bytes;
    pipeline.set_buffered_bytes(buffered);
    let (from, request) = client_request(1);
    let request = ClientRequest {
        body: vec![b'b'; body_bytes].into(),
        ..request
    };
    pipeline.receive_request(SECOND, from, request);
    assert!(take_responses(&mut pipeline).is_empty(), "fits exactly");
    // Without the body that is pending, a request without a body would fit.
    pipeline.set_buffered_bytes(buffered - INITIAL_RESPONSE_BYTES as usize + 1);
    let (from, request) = client_request(2);
    let request = ClientRequest {
        body: Rc::default(),
        ..request
    };
    pipeline.receive_request(SECOND, from, request.clone());
    assert_eq!(take_responses(&mut pipeline), [Response::Rejected(500_000)]);
    pipeline.set_buffered_bytes(buffered - INITIAL_RESPONSE_BYTES as usize);
    pipeline.receive_request(SECOND, from, request);
    assert!(take_responses(&mut pipeline).is_empty());
}

#[test]
fn an_excessive_client_time_limit_is_capped_at_that_of_the_class() {
    let mut pipeline = pipeline_with_origin(CapacityLimits {
        max_pending: 10,
        max_buffered_bytes: 96 << 20,
        max_body_bytes: 12 << 20,
    });
    let (from, first) = client_request(1);
    pipeline.receive_request(
        SECOND,
        from,
        ClientRequest {
            time_limit: u64::from(u32::MAX) * 1_000,
            ..first
        },
    );
    let last = std::iter::from_fn(|| pipeline.next_command()).filter_map(|c| match c {
        Command::SetTimer {
            at,
            timer: Timer::RequestDeadline(_) | Timer::AttemptTimeout(_),
        } => Some(at),
        _ => None,
    });
    assert!(last.max().is_some_and(|at| at <= SECOND + 3 * SECOND));
}

#[test]
fn queued_requests_are_ordered_by_the_size_that_the_client_stated() {
    // Guards against stated sizes not being passed to the router, which would then treat all parts as equally expensive.
    let mut pipeline = new_pipeline(CapacityLimits {
        max_pending: 1_000,
        max_buffered_bytes: 96 << 20,
        max_body_bytes: 12 << 20,
    });
    let state = cranesill::api::EndpointState::Ready;
    let (endpoint, weight) = (EndpointId(1), 0.2);
    pipeline.apply_endpoints(
        SECOND,
        ListKind::Full,
        vec![cranesill::api::EndpointEntry {
            endpoint,
            kind: 0,
            zone: 1,
            cell: 0,
            weight,
            started: 0,
            state,
        }],
        EventSource::Live,
    );
    let mut send_video_request = |n: u64, size_kb: f64| {
        let (from, base) = client_request(n);
        let object = Some(ObjectKey {
            text: format!("{n:016x}").into(),
            id: n,
        });
        pipeline.receive_request(
            SECOND,
            from,
            ClientRequest {
                class: "car-video".into(),
                object,
                size_kb,
                ..base
            },
        );
        let sent = take_commands(&mut pipeline);
        sent.into_iter().find_map(|c| {
            if let Command::Send { attempt, .. } = c {
                Some(attempt)
            } else {
                None
            }
        })
    };
    // There is one slot: the first request takes it, then the large one and the small one are queued.
    let first = send_video_request(1, 3_000.0).expect("the only slot is free");
    assert_eq!(
        (send_video_request(2, 60_000.0), send_video_request(3, 30.0)),
        (None, None)
    );
    let reply = UpstreamReply {
        kind: ReplyKind::Hit,
        ..UpstreamReply::default()
    };
    pipeline.attempt_ended(SECOND + 400_000, first, AttemptEnd::Reply(reply));
    let next = take_commands(&mut pipeline)
        .into_iter()
        .find_map(|c| match c {
            Command::Send { fetch, .. } => fetch.object.map(|object| object.id),
            _ => None,
        });
    assert_eq!(
        next,
        Some(3),
        "the request with the highest priority weight per transfer time is sent first"
    );
}

#[test]
fn classes_and_kinds_are_taken_from_the_deployment_settings() {
    let config: Value =
        serde_json::from_str(include_str!("../../examples/three-hubs.json")).unwrap();
    let deployment = cranesill_settings::read(&config["settings"]).unwrap();
    let (_, known) =
        crate::protocol::configured_events::read(&config["known"], &deployment.names).unwrap();
    let mut pipeline = RequestPipeline::new(
        deployment,
        1,
        CapacityLimits {
            max_pending: 10,
            max_buffered_bytes: 16 << 20,
            max_body_bytes: 12 << 20,
        },
    );
    for event in known {
        let crate::protocol::discovery::WatchEvent::Endpoints { complete, list } = event else {
            panic!()
        };
        let entry =
            |record: &crate::protocol::discovery::EndpointRecord| cranesill::api::EndpointEntry {
                endpoint: EndpointId(record.id.into()),
                kind: record.kind,
                zone: record.zone,
                cell: record.cell,
                weight: record.weight,
                started: 0,
                state: record.state,
            };
        pipeline.apply_endpoints(
            SECOND,
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
        let object = Some(ObjectKey {
            text: format!("{n:016x}").into(),
            id: n,
        });
        pipeline.receive_request(
            SECOND,
            from,
            ClientRequest {
                class: class.into(),
                object,
                size_kb: 80.0,
                ..base
            },
        );
        take_commands(&mut pipeline)
            .into_iter()
            .find_map(|c| match c {
                Command::Send {
                    target: to, fetch, ..
                } => Some((to.0, fetch)),
                _ => None,
            })
    };
    let (to, note) = fetch(1, "note").expect("the first class is executed by the origin");
    assert_eq!((to, note.write, note.fill.is_some()), (0x41, true, false));
    for (n, class) in (2..).zip(["cover", "clip"]) {
        let (to, read) = fetch(n, class).expect(class);
        let fill = read.fill.expect("a read has fill instructions");
        assert!(
            [0x21, 0x22].contains(&to) && fill.source.is_some_and(|s| [0x31, 0x32].contains(&s.0)),
            "{fill:?}"
        );
        assert!(!fill.coalesce, "coalescing is disabled in this deployment");
    }
    assert!(
        fetch(9, "page-bits").is_none(),
        "a class of another deployment must be unknown"
    );
}

#[test]
fn an_attempt_ends_once_and_a_request_gets_one_response() {
    let mut pipeline = pipeline_with_origin(CapacityLimits {
        max_pending: 10,
        max_buffered_bytes: 96 << 20,
        max_body_bytes: 12 << 20,
    });
    let (from, first) = client_request(1);
    pipeline.receive_request(SECOND, from, first.clone());
    // Transaction ids must be unique among pending requests.
    pipeline.receive_request(SECOND, ReplyTo { stream: 9, ..from }, first);
    let commands = take_commands(&mut pipeline);
    let [Command::Send { attempt, .. }, Command::Respond {
        response: Response::Failed,
        ..
    }] = commands[..]
    else {
        panic!("{commands:?}")
    };
    let reply = |kind| {
        let body = b"booked".as_slice().into();
        AttemptEnd::Reply(UpstreamReply {
            kind,
            body,
            ..UpstreamReply::default()
        })
    };
    pipeline.attempt_ended(2 * SECOND, attempt, reply(ReplyKind::Hit));
    pipeline.attempt_ended(2 * SECOND, attempt, reply(ReplyKind::Fault));
    pipeline.attempt_ended(
        2 * SECOND,
        attempt,
        AttemptEnd::Broken {
            duplicate_failure: false,
        },
    );
    pipeline.handle_timer(5 * SECOND, Timer::RequestDeadline(attempt.request));
    assert_eq!(
        take_responses(&mut pipeline),
        [Response::Served(b"booked".as_slice().into())]
    );
    assert_eq!(pipeline.pending_requests(), 0);
}

#[test]
fn the_attempt_of_a_disconnected_client_is_cancelled_without_a_response() {
    let mut pipeline = pipeline_with_origin(CapacityLimits {
        max_pending: 10,
        max_buffered_bytes: 96 << 20,
        max_body_bytes: 12 << 20,
    });
    let (from, request) = client_request(1);
    pipeline.receive_request(SECOND, from, request);
    let Some(Command::Send { attempt, .. }) = take_commands(&mut pipeline).into_iter().next()
    else {
        panic!()
    };
    pipeline.cancel_request(2 * SECOND, from);
    assert!(
        matches!(take_commands(&mut pipeline)[..], [Command::Cancel(aborted)] if aborted == attempt)
    );
    pipeline.attempt_ended(2 * SECOND, attempt, AttemptEnd::Cancelled);
    assert!(take_commands(&mut pipeline).is_empty());
}

#[test]
fn cache_bypasses_are_limited_and_coalesced_after_a_group_purge() {
    use cranesill_purges::{shield::Shield, Purge, PurgeTarget};
    let mut pipeline = new_pipeline(CapacityLimits {
        max_pending: 10_000,
        max_buffered_bytes: 1 << 30,
        max_body_bytes: 12 << 20,
    });
    let state = cranesill::api::EndpointState::Ready;
    let entry = |id, kind, zone| {
        let (endpoint, weight) = (EndpointId(id), 8.0);
        cranesill::api::EndpointEntry {
            endpoint,
            kind,
            zone,
            cell: 0,
            weight,
            started: 0,
            state,
        }
    };
    pipeline.apply_endpoints(
        SECOND,
        ListKind::Full,
        vec![entry(1, 0, 1), entry(2, 0, 1), entry(0x31, 2, 0)],
        EventSource::Live,
    );
    let mut floors = PurgeFloors::new(1 << 16, 0);
    floors.add(&Purge {
        number: 1,
        at_ms: SECOND / 1_000,
        target: PurgeTarget::Group(3),
        id: "a".into(),
        who: "".into(),
        why: "".into(),
    });
    pipeline.floors = Some(floors);
    pipeline.shield = Some(Shield::new(SECOND, 20.0));
    let (mut sent, mut rejected) = (0, 0);
    for n in 1..=200u64 {
        let (from, mut request) = client_request(n);
        let id = n % 100;
        request.class = "page-bits".into();
        request.group = 3;
        request.object = Some(ObjectKey {
            text: format!("{id:016x}").into(),
            id,
        });
        pipeline.receive_request(2 * SECOND, from, request);
        for command in std::iter::from_fn(|| pipeline.next_command()) {
            match command {
                Command::Send { fetch, .. } => {
                    let fill = fetch.fill.unwrap();
                    assert!(
                        (1_000..=SECOND).contains(&fill.max_age),
                        "copies from before the purge must be excluded: {fill:?}"
                    );
                    sent += usize::from(fill.source.is_some());
                }
                Command::Respond {
                    response: Response::Rejected(retry_after),
                    ..
                } => {
                    assert!(retry_after > 0, "a rejection must carry a retry-after");
                    rejected += 1;
                }
                Command::Respond { response, .. } => panic!("{response:?}"),
                _ => {}
            }
        }
    }
    // At most twenty objects are fetched, and a second request for one of them is coalesced with the first. Rejected requests
    // must release their slots; otherwise the remaining requests would be queued.
    assert!(
        rejected >= 100 && (1..=40).contains(&sent),
        "{sent} sent, {rejected} rejected"
    );
}

#[test]
fn every_request_is_either_pending_or_counted_once() {
    let mut pipeline = pipeline_with_origin(CapacityLimits {
        max_pending: 40,
        max_buffered_bytes: 96 << 20,
        max_body_bytes: 12 << 20,
    });
    let (mut accepted, mut now, mut rng) = (0u64, SECOND, 7u64);
    let mut random = |n: u64| {
        rng = rng
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        (rng >> 33) % n
    };
    let (mut outstanding, mut open, mut responses) = (Vec::new(), Vec::new(), [0u64; 3]);
    for n in 1..=4_000u64 {
        now += random(20_000);
        match random(8) {
            0..=2 => {
                let (from, mut request) = client_request(n);
                request.class = ["book-car", "page-bits", "no-such"][random(3) as usize].into();
                // Requests of unknown classes and reads without an object are not counted.
                accepted += u64::from(request.class == "book-car");
                open.push(from);
                pipeline.receive_request(now, from, request);
            }
            3..=5 if !outstanding.is_empty() => {
                let attempt = outstanding.swap_remove(random(outstanding.len() as u64) as usize);
                let reply = |kind| {
                    AttemptEnd::Reply(UpstreamReply {
                        kind,
                        ..UpstreamReply::default()
                    })
                };
                let end = match random(6) {
                    0 => reply(ReplyKind::Fault),
                    1 => AttemptEnd::Unsent {
                        duplicate_failure: false,
                    },
                    2 => AttemptEnd::Broken {
                        duplicate_failure: random(2) == 0,
                    },
                    3 => reply(ReplyKind::Rejected),
                    _ => reply(ReplyKind::Hit),
                };
                pipeline.attempt_ended(now, attempt, end);
            }
            6 if !open.is_empty() => {
                let from = open.swap_remove(random(open.len() as u64) as usize);
                pipeline.cancel_request(now, from);
            }
            _ => pipeline.reject_new_requests(random(9) == 0),
        }
        while let Some(command) = pipeline.next_command() {
            match command {
                Command::Send { attempt, .. } => outstanding.push(attempt),
                Command::Cancel(attempt) => {
                    pipeline.attempt_ended(now, attempt, AttemptEnd::Cancelled)
                }
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
        let counts: Vec<ResponseCounts> = pipeline
            .response_counts()
            .map(|(_, counts)| *counts)
            .collect();
        let sum = |of: fn(&ResponseCounts) -> u64| counts.iter().map(of).sum::<u64>();
        let all =
            sum(|c| c.served) + sum(|c| c.rejected) + sum(|c| c.failed) + sum(|c| c.cancelled);
        assert_eq!(
            all + pipeline.pending_requests() as u64,
            accepted,
            "after {n}"
        );
        // All responses to clients are counted, except those to requests of unknown classes.
        assert_eq!(
            (sum(|c| c.served), sum(|c| c.rejected)),
            (responses[0], responses[1])
        );
        assert!(sum(|c| c.failed) <= responses[2]);
    }
    assert!(
        responses.iter().all(|n| *n > 50),
        "each kind of response must occur more than 50 times: {responses:?}"
    );
}

#[test]
fn the_clock_offset_is_reset_when_discovery_moves_to_another_machine() {
    // The clock of the first machine agrees with the local one. That of the second is 4 s behind, so that its timestamps
    // appear 4 s old.
    let fill_max_age = |moved: bool| {
        let mut pipeline = new_pipeline(CapacityLimits {
            max_pending: 1_000,
            max_buffered_bytes: 96 << 20,
            max_body_bytes: 12 << 20,
        });
        let state = cranesill::api::EndpointState::Ready;
        let entry = |id, kind, zone| {
            let (endpoint, weight) = (EndpointId(id), 8.0);
            cranesill::api::EndpointEntry {
                endpoint,
                kind,
                zone,
                cell: 0,
                weight,
                started: 0,
                state,
            }
        };
        let now = 1_000 * SECOND;
        pipeline.apply_endpoints(
            now,
            ListKind::Full,
            vec![entry(1, 0, 1), entry(2, 0, 1), entry(0x31, 2, 0)],
            EventSource::Live,
        );
        pipeline.apply_purge(now, None, 9, now - SECOND / 10, EventSource::Live);
        if moved {
            pipeline.discovery_moved();
        }
        pipeline.apply_purge(now, None, 3, now - 4 * SECOND, EventSource::Live);
        let (from, mut request) = client_request(1);
        (request.class, request.group) = ("car-video".into(), 3);
        request.object = Some(ObjectKey {
            text: format!("{:016x}", 7).into(),
            id: 7,
        });
        pipeline.receive_request(now + SECOND, from, request);
        let sent = std::iter::from_fn(|| pipeline.next_command());
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
    // The maximum age is rounded down, so that no copy from before the purge is accepted.
    assert_eq!(fill_max_age(true), SECOND - 1_000);
    assert_eq!(
        fill_max_age(false),
        SECOND + 4 * SECOND - SECOND / 10 - 1_000,
        "on the same machine the message was delayed"
    );
}
