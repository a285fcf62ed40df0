//! Tests that fingerprints depend on the content of a request and not on the identifiers of its attempts.

use test_case::test_case;

use super::*;

#[test]
fn fingerprint_is_independent_of_call_id_and_node() {
    let first = head("/sheet/1", b"body");
    let again = CallHead {
        attempt: AttemptId { entry: 8, seq: 9 },
        call_id: Arc::from("another"),
        origin: Arc::from("ledger"),
        account: None,
        deadline_ms: 7,
        patience: QueueTimeout::Last,
        repeat_permille: 1000,
        hlc: 77,
        ..first.clone()
    };
    assert_eq!(KEY.fingerprint(&first, b"body"), KEY.fingerprint(&again, b"body"));
}

#[test_case(|head| head.path = "/sheet/2".into(); "path")]
#[test_case(|head| head.method = "POST".into(); "method")]
#[test_case(|head| head.headers[0].1 = b"other.example".to_vec(); "host")]
#[test_case(|head| head.headers.push(("authorization".into(), b"somebody".to_vec())); "caller")]
#[test_case(|head| head.body_bytes += 1; "length of the body")]
fn different_request_head_has_different_fingerprint(change: fn(&mut CallHead)) {
    let first = head("/sheet/1", b"body");
    let mut other = first.clone();
    change(&mut other);
    assert_ne!(KEY.head_fingerprint(&first), KEY.head_fingerprint(&other));
}

#[test]
fn different_body_or_key_gives_different_fingerprint() {
    let first = head("/sheet/1", b"body");
    assert_eq!(KEY.fingerprint(&first, b"body").head, KEY.fingerprint(&first, b"bodz").head);
    assert_ne!(KEY.fingerprint(&first, b"body"), KEY.fingerprint(&first, b"bodz"));
    assert_ne!(KEY.fingerprint(&first, b"body"), FingerprintKey::of_parts(7, 12).fingerprint(&first, b"body"));
    assert_ne!(FingerprintKey::draw(), FingerprintKey::draw());
}

#[test]
fn heads_with_equal_concatenation_have_different_fingerprints() {
    let mut first = head("/a", b"");
    first.method = "GETX".into();
    let mut other = head("X/a", b"");
    other.method = "GET".into();
    assert_ne!(KEY.head_fingerprint(&first), KEY.head_fingerprint(&other));
}

#[test]
fn recent_answers_expire_and_ignore_long_bodies() {
    let mut answers = RecentAnswers::default();
    let long = vec![0; 2_000];
    answers.answered(KEY, &head("/sheet/1", b"body"), b"body", 1_000_000);
    answers.answered(KEY, &head("/sheet/1", &long), &long, 1_000_000);
    let holds = |path: &str, body: &[u8], now_us| answers.holds(KEY, &head(path, body), body, now_us);
    assert!(holds("/sheet/1", b"body", 10_999_999));
    assert!(!holds("/sheet/1", b"body", 11_000_000));
    assert!(!holds("/sheet/1", b"bodz", 1_000_001));
    assert!(!holds("/sheet/2", b"body", 1_000_001));
    assert!(!holds("/sheet/1", &long, 1_000_001));
}
