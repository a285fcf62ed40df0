//! Incarnations of upstreams that leave, as one node remembers them.

use test_case::test_case;

use crate::gate::{Departure, DepartureSource, Departures};

fn departure(vm: &str, id: &str, born_ms: Option<u64>) -> Departure {
    Departure { vm: vm.into(), id: id.into(), born_ms }
}

#[test_case(departure("a", "i-1", Some(5)), true; "the same incarnation")]
#[test_case(departure("a", "i-1", None), true; "an incarnation whose start is unknown")]
#[test_case(departure("a", "i-1", Some(6)), false; "a later start with the same id")]
#[test_case(departure("a", "i-2", Some(5)), false; "another id")]
#[test_case(departure("b", "i-1", Some(5)), false; "another VM")]
fn departure_holds_for_its_incarnation_alone(other: Departure, expected: bool) {
    let departures = Departures::default();
    departures.record(&departure("a", "i-1", Some(5)), DepartureSource::Entry);
    assert_eq!(departures.of(&other).is_some(), expected);
}

#[test]
fn departures_pass_between_nodes_in_headers_only() {
    let (entry, owner) = (Departures::default(), Departures::default());
    entry.record(&departure("a", "i-1", Some(5)), DepartureSource::Answer);
    entry.record(&departure("b", "i-2", None), DepartureSource::Answer);
    let mut headers = vec![("accept".to_owned(), b"*/*".to_vec())];
    entry.attach(Some("a"), &mut headers);
    assert_eq!(headers.len(), 2, "only the departure of the owner's VM");
    owner.take_from(&mut headers, DepartureSource::Call);
    assert_eq!(headers, [("accept".to_owned(), b"*/*".to_vec())]);
    assert!(owner.of(&departure("a", "i-1", Some(5))).is_some());
    assert!(owner.of(&departure("b", "i-2", None)).is_none());
    entry.attach(None, &mut headers);
    assert_eq!(headers.len(), 3, "all of them while the owner is unknown");
}

#[test]
fn invalid_or_missing_departures_leave_call_unchanged() {
    let departures = Departures::default();
    let mut headers = Vec::new();
    departures.attach(None, &mut headers);
    assert!(headers.is_empty());
    headers.push(("valetrack-leaving".to_owned(), vec![255; 3]));
    departures.take_from(&mut headers, DepartureSource::Call);
    assert!(headers.is_empty());
}
