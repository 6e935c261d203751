use super::*;

/// Returns the key and the self-signed certificate for some names, with the given validity.
fn self_signed(names: &[&str], from: UnixTime, until: UnixTime) -> (String, String) {
    let key = rcgen::KeyPair::generate().unwrap();
    let names: Vec<String> = names.iter().map(|n| n.to_string()).collect();
    let mut params = rcgen::CertificateParams::new(names).unwrap();
    let at = |s: u64| time::OffsetDateTime::from_unix_timestamp(s as i64).unwrap();
    (params.not_before, params.not_after) = (at(from), at(until));
    (key.serialize_pem(), params.self_signed(&key).unwrap().pem())
}

#[test]
fn key_and_certificate_must_match() {
    let (key, chain) = self_signed(&["A.example", "*.b.example"], 1_000, 2_000);
    let found = Identity::from_key_and_chain(&key, &chain).unwrap();
    assert_eq!((found.not_before, found.not_after), (1_000, 2_000));
    assert!(found.covers("a.EXAMPLE") && found.covers("x.b.example"));
    assert!(!found.covers("b.example") && !found.covers("x.y.b.example"));
    assert!(
        found.is_valid_at(1_000)
            && found.is_valid_at(2_000)
            && !found.is_valid_at(2_001)
            && !found.is_valid_at(999)
    );
    assert!(!format!("{found:?}").contains(key.lines().nth(1).unwrap()));
    let (other, _) = self_signed(&["a.example"], 1_000, 2_000);
    let error = Identity::from_key_and_chain(&other, &chain).unwrap_err();
    assert!(error.contains("does not match"), "{error}");
    assert!(Identity::from_key_and_chain(&key, &format!("{other}{chain}")).is_err());
}

#[test]
fn malformed_bundles_are_rejected_with_a_one_line_error() {
    let (key, chain) = self_signed(&["a.example"], 1_000, 2_000);
    let bundle = format!("{key}{chain}");
    for cut in (0..bundle.len()).step_by(7) {
        if let Err(e) = Identity::from_pem(&bundle[..cut]) {
            assert!(!e.contains('\n'));
        }
    }
    assert!(Identity::from_pem(&format!("{key}{}", chain.repeat(MAX_CHAIN_LENGTH + 1))).is_err());
    assert!(Identity::from_pem(&"x".repeat(MAX_BUNDLE_BYTES + 1)).is_err());
}
