//! Callers that call again, recognized by the time limits that they send.

use crate::placement::CallerTime;

/// Records calls of new callers, whose time limits are 510 to 600 ms.
fn new_callers(time: &mut CallerTime, calls: u32, rng: &mut fastrand::Rng) -> u32 {
    (0..calls).map(|_| u32::from(time.waited_ms(rng.u32(510..=600)) > 0)).sum()
}

#[test]
fn new_callers_with_any_limit_have_not_waited() {
    let mut time = CallerTime::default();
    assert_eq!(new_callers(&mut time, 10_000, &mut fastrand::Rng::with_seed(1)), 0);
}

#[test]
fn returning_callers_have_waited() {
    let mut time = CallerTime::default();
    let mut rng = fastrand::Rng::with_seed(2);
    new_callers(&mut time, 100, &mut rng);
    for _ in 0..200 {
        // Every third caller calls again 150 ms after its first call.
        new_callers(&mut time, 2, &mut rng);
        let waited_ms = time.waited_ms(rng.u32(510..=600) - 150);
        assert!((60..=240).contains(&waited_ms), "{waited_ms} ms");
    }
}

#[test]
fn first_calls_count_as_not_waited() {
    let mut time = CallerTime::default();
    assert_eq!(time.waited_ms(600), 0);
    assert_eq!(time.waited_ms(100), 0);
}

#[test]
fn shorter_limits_of_all_callers_become_usual() {
    let mut time = CallerTime::default();
    let mut rng = fastrand::Rng::with_seed(3);
    new_callers(&mut time, 100, &mut rng);
    (0..200).for_each(|_| {
        time.waited_ms(300);
    });
    assert_eq!(time.waited_ms(290), 0);
}
