use super::*;

#[test]
fn a_token_bucket_fills_to_its_maximum_and_may_be_overdrawn() {
    let mut bucket = TokenBucket::new(100);
    bucket.refill(110, 2.0, 15.0);
    assert_eq!(bucket.level, 15.0);
    bucket.level -= 40.0;
    bucket.refill(115, 2.0, 15.0);
    assert_eq!(bucket.level, -15.0);
}
