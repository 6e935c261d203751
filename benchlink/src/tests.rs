use super::*;
use cranesill::api::*;

fn bytes(hex: &str) -> Vec<u8> {
    let digits: Vec<u8> = hex.bytes().filter(|b| !b.is_ascii_whitespace()).collect();
    digits
        .chunks(2)
        .map(|p| u8::from_str_radix(std::str::from_utf8(p).unwrap(), 16).unwrap())
        .collect()
}

fn replies_to(input: &[u8]) -> Result<Vec<u8>, AdapterError> {
    let mut output = Vec::new();
    run(&mut &input[..], &mut output).map(|()| output)
}

#[test]
fn an_empty_frame_gets_an_empty_reply() {
    assert_eq!(
        replies_to(&bytes("5a5c800000000000 04000000 00000000")).unwrap(),
        bytes("00000000")
    );
}

#[test]
fn events_are_decoded_from_reference_bytes() {
    let frame = bytes(
        "0800 03000000 c4913a5d3ada0f00 00003041 00002044 00000000 80a90300 0100 640ad2557c3bf091 00004040 0000
         0300 03000000 4d00000000000000
         0100 05000000 192b6f0ee6580a00
         0900 03000000 010ad2557c000000 0b00 084c0100
         0a00 03000000 c4913a5d3ada0f00 01 0000 b8240000 44480000 02000000 0000 0a124a07 2b23 03
              0000e04052b81e3f0000a03f
         0b00 03000000 02 2900000000000000 02000000
              00 0000803f 0000 0a124a07 2b23 0000000000000000 0000 01
              00 0000c03f 0000 0a9011f2 5423 20145d0000000000 0100 01",
    );
    let mut reader = wire::Reader::new(&frame);
    let mut next = || match reader.record().unwrap() {
        (_, wire::Record::Event(event)) => event,
        (_, wire::Record::Outcome(outcome, values)) => {
            assert_eq!(values, [7.0, 0.62, 1.25]);
            Event::Outcome(outcome)
        }
        other => panic!("{other:?}"),
    };
    let Event::Request(request) = next() else {
        panic!()
    };
    assert_eq!(
        (
            request.group,
            request.size_kb,
            request.time_left,
            request.part
        ),
        (11, 640.0, 240_000, 3)
    );
    assert_eq!(request.id, RequestId(0x000f_da3a_5d3a_91c4));
    assert!(matches!(next(), Event::Timer(77)));
    assert!(matches!(
        next(),
        Event::Cancelled(RequestId(0x000a_58e6_0e6f_2b19))
    ));
    assert!(matches!(
        next(),
        Event::Purged {
            object: Some(_),
            group: 11,
            age: 85_000
        }
    ));
    let Event::Outcome(outcome) = next() else {
        panic!()
    };
    assert_eq!(
        (outcome.status, outcome.note, outcome.closed),
        (Status::Ok, FillNote::Filled, true)
    );
    assert_eq!((outcome.source_wait, outcome.latency), (9400, 18500));
    let Event::Endpoints(ListKind::Full, entries) = next() else {
        panic!()
    };
    assert_eq!(
        (entries[1].weight, entries[1].zone, entries[1].started),
        (1.5, 1, 6_100_000)
    );
    assert_eq!(entries[0].state, EndpointState::Ready);
    reader.finish().unwrap();
}

#[test]
fn actions_are_encoded_to_reference_bytes() {
    let (request, target) = (
        RequestId(0x000f_da3a_5d3a_91c4),
        EndpointId(0x232b_074a_120a),
    );
    let mut out = Vec::new();
    let fill = Fill {
        source: EndpointId(0x2354_f211_900a),
        max_age: 1_500_000,
        rank: 2,
        coalesce: true,
        only_cached: false,
        refresh: true,
    };
    wire::encode(
        3,
        &Action::Send {
            request,
            target,
            timeout: 80_000,
            fill: None,
        },
        &mut out,
    );
    wire::encode(
        3,
        &Action::Send {
            request,
            target,
            timeout: 900_000,
            fill: Some(fill),
        },
        &mut out,
    );
    wire::encode(3, &Action::Timer(500_000, 77), &mut out);
    wire::encode(5, &Action::Log("two servers known".to_string()), &mut out);
    let expected = "0200 03000000 c4913a5d3ada0f00 0a124a07 2b23 80380100
        0400 03000000 c4913a5d3ada0f00 a0bb0d00 60e31600 02 0a9011f2 5423 09 0a124a07 2b23
        0700 03000000 20a10700 4d00000000000000
        0100 05000000 1100 74776f2073657276657273206b6e6f776e";
    assert_eq!(out, bytes(expected));
}

#[test]
fn malformed_input_is_an_error_and_never_a_panic() {
    let good = bytes(
        "5a5c800000000000 26000000 02000000
         0300 03000000 4d00000000000000 0900 03000000 010ad2557c000000 0b00 084c0100",
    );
    assert!(replies_to(&good).is_ok());
    for cut in 1..good.len() {
        assert!(replies_to(&good[..cut]).is_err(), "cut at {cut}");
    }
    let mut state = 7u64;
    for _ in 0..20_000 {
        let mut frame = good.clone();
        for _ in 0..3 {
            state = state
                .wrapping_mul(6364136223846793005)
                .wrapping_add(1442695040888963407);
            let at = 8 + (state >> 33) as usize % (frame.len() - 8);
            frame[at] = (state >> 24) as u8;
        }
        let _ = replies_to(&frame);
    }
    assert!(replies_to(&bytes("0000000000000000 0a000000 01000000 ff7f 03000000")).is_err());
    assert!(replies_to(&bytes("0000000000000000 03000000 00")).is_err());
}

#[test]
fn errors_name_the_sizes_and_the_instance() {
    let error = |hex: &str| replies_to(&bytes(hex)).unwrap_err().to_string();
    assert_eq!(
        error("0000000000000000 0400"),
        "input ended within a frame header: got 10 of 16 bytes"
    );
    assert_eq!(
        error("0000000000000000 03000000 00000000"),
        "frame length 3 is below the 4 bytes of the record count"
    );
    assert_eq!(
        error("0000000000000000 06000000 01000000 03"),
        "input ended within a frame: got 1 of 2 bytes"
    );
    assert_eq!(
        error("0000000000000000 06000000 01000000 0300"),
        "frame ended within a record: field of 4 bytes, 0 left"
    );
    assert_eq!(
        error("0000000000000000 05000000 00000000 03"),
        "frame has 1 bytes after its last record"
    );
    // A start record of instance 7 with seed 0 and a profile that is not a JSON object.
    let invalid_settings = cranesill_settings::parse(b"[]").unwrap_err();
    assert_eq!(
        error("0000000000000000 18000000 01000000 0500 07000000 0000000000000000 02000000 5b5d"),
        format!("cannot start instance 7: {invalid_settings}")
    );
}

#[test]
fn load_reports_are_read_by_the_configured_field_names() {
    let read = |fields: &str, values: &[f32]| {
        let text = format!("{{\"report\": {{\"fields\": {fields}}}}}");
        cranesill_settings::parse(text.as_bytes())
            .unwrap()
            .layout
            .read(values)
    };
    let full = read("[\"concurrent\", \"x0\", \"x1\"]", &[7.0, 0.5, 1.25]).unwrap();
    assert_eq!((full.in_flight, full.link), (Some(7.0), Some(1.25)));
    let odd = read("[\"x1\", \"concurrent\"]", &[f32::NAN, -1.0, 9.0, 9.0]).unwrap();
    assert_eq!((odd.in_flight, odd.link), (None, None));
    let short = read("[\"concurrent\", \"x1\"]", &[3.0]).unwrap();
    assert_eq!((short.in_flight, short.link), (Some(3.0), None));
    assert_eq!(read("[]", &[1.0]).unwrap(), LoadReport::default());
    assert_eq!(read("[\"x1\"]", &[]), None);
}
