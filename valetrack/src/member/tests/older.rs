//! A store that comes back older: its revisions and the ids of its leases are given out again.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use proptest::prelude::*;

use crate::member::{
    ChangeLog, Directory, EntryDoc, EntryKeeper, EntryStep, Evacuation, EvacuationKeys, MISSING_US, Member, Phase,
    SeenEntry, Taken, entry_key,
};
use crate::store::{Change, Era, Item, Lease, Position};

/// The era before the store comes back older, and the one after it.
const BEFORE: Era = Era::new(4);
const AFTER: Era = Era::new(5);
const LEASE: Lease = Lease { id: 7, ttl_ms: 8_000, era: BEFORE };
/// Longer than the operators take to write again what the store has lost.
const LONG_US: u64 = 60_000_000;

fn before(revision: u64) -> Position {
    Position::new(BEFORE, revision)
}

fn after(revision: u64) -> Position {
    Position::new(AFTER, revision)
}

fn item(key: &str, value: &str, position: Position) -> Item {
    Item { key: key.to_owned(), value: value.as_bytes().to_vec(), position, lease: None }
}

mod log {
    use test_case::test_case;

    use super::*;

    fn read_before() -> ChangeLog {
        let mut log = ChangeLog::default();
        log.read(&[item("op/config", "51", before(33))], before(33), 1_000);
        log
    }

    #[test]
    fn a_state_at_a_lower_revision_of_a_later_era_is_taken() {
        let mut log = read_before();
        let found = item("op/config", "38", after(26));
        assert_eq!(log.read(std::slice::from_ref(&found), after(29), 2_000), Taken::Newest);
        assert_eq!(log.position(), after(29));
        assert_eq!(log.items().collect::<Vec<_>>(), [&found]);
    }

    #[test]
    fn an_answer_of_an_earlier_era_that_comes_last_is_dropped() {
        let mut log = read_before();
        assert!(log.enter(AFTER));
        assert!(!log.enter(BEFORE) && !log.enter(AFTER));
        assert_eq!(log.read(&[], before(90), 2_000), Taken::Outdated);
        assert_eq!(log.apply(&[], before(33), before(90), 2_000), Taken::Outdated);
        assert_eq!(log.position(), Position::start_of(AFTER));
        assert_eq!(log.current_until_us(), None, "nothing of the later era has been read");
    }

    #[test]
    fn changes_behind_a_revision_that_was_given_out_again_tell_nothing_of_those_before_it() {
        let mut log = read_before();
        let change = Change::Put(item("op/config", "61", after(34)));
        let changes = [change];
        assert_eq!(log.apply(&changes, before(33), after(34), 2_000), Taken::Disconnected);
        assert_eq!(log.position(), before(33));
        log.enter(AFTER);
        assert_eq!(log.apply(&changes, before(33), after(34), 2_000), Taken::Disconnected, "nor once the era is known");
    }

    #[test_case(before(33); "that the store had reached before")]
    #[test_case(before(90); "that the store has not reached again")]
    #[test_case(Position::start_of(AFTER); "of a follower that has read nothing of the era")]
    #[test_case(Position::new(Era::new(6), 1); "of a follower that has heard of a later era")]
    fn a_follower_that_stands_elsewhere_is_sent_everything(follower: Position) {
        let mut relay = ChangeLog::default();
        relay.read(&[item("a", "1", after(20))], after(29), 1_000);
        relay.apply(&[Change::Put(item("b", "2", after(40)))], after(29), after(40), 2_000);
        let news = relay.since(follower);
        assert!(news.whole);
        assert_eq!((news.changes.len(), news.at), (2, after(40)));
    }
}

mod entries {
    use super::*;

    fn member(phase: Phase) -> Member {
        Member {
            vm: Arc::from("a"),
            incarnation: 1,
            phase,
            domain: Arc::from("kranj"),
            service: Arc::from("intake"),
            link_addr: ([127, 0, 0, 1], 7_000).into(),
            version: None,
            is_relay: false,
        }
    }

    fn entry(phase: Phase, era: Era, position: Position) -> Item {
        let value = serde_json::to_vec(&EntryDoc { member: member(phase), era }).expect("json");
        Item { key: entry_key("a"), value, position, lease: Some(7) }
    }

    fn phase(directory: &Directory) -> Option<Phase> {
        directory.members().map(|member| member.phase).next()
    }

    #[test]
    fn a_copy_does_not_bring_an_earlier_state_of_a_node_back() {
        let mut directory = Directory::default();
        directory.replace(&[entry(Phase::Serving, BEFORE, before(12))], 0);
        directory.apply(&Change::Put(entry(Phase::Leaving, BEFORE, before(33))), 0);
        directory.replace(&[entry(Phase::Serving, BEFORE, after(12))], 1_000);
        assert_eq!(phase(&directory), Some(Phase::Leaving));
        assert_eq!(directory.missing(), 0, "it stands there and is not missing");
    }

    #[test]
    fn what_a_node_writes_again_counts_at_a_lower_revision() {
        let mut directory = Directory::default();
        directory.replace(&[entry(Phase::Serving, BEFORE, before(33))], 0);
        directory.apply(&Change::Put(entry(Phase::Leaving, AFTER, after(30))), 1_000);
        assert_eq!(phase(&directory), Some(Phase::Leaving));
        directory.apply(&Change::Put(entry(Phase::Serving, BEFORE, before(34))), 2_000);
        assert_eq!(phase(&directory), Some(Phase::Leaving), "a late word of the earlier era changes nothing");
    }

    #[test]
    fn an_entry_that_lapses_in_the_later_era_is_missing() {
        let mut directory = Directory::default();
        directory.replace(&[entry(Phase::Serving, BEFORE, before(33))], 0);
        directory.apply(&Change::Gone { key: entry_key("a"), position: after(30) }, 1_000);
        assert_eq!(directory.expire(1_000 + MISSING_US), [Arc::from("a")]);
    }

    #[test]
    fn an_entry_of_a_release_that_names_no_era_goes_by_that_of_the_store() {
        let mut directory = Directory::default();
        directory.replace(&[entry(Phase::Serving, Era::default(), before(33))], 0);
        directory.replace(&[entry(Phase::Leaving, Era::default(), after(30))], 0);
        assert_eq!(phase(&directory), Some(Phase::Leaving));
    }

    #[test]
    fn many_entries_that_are_missing_at_once_are_given_the_time_to_write_them() {
        let mut directory = Directory::default();
        let entries: Vec<Item> = (0..1_000)
            .map(|at| {
                let vm: Arc<str> = Arc::from(format!("vm-{at}"));
                let doc = EntryDoc { member: Member { vm: vm.clone(), ..member(Phase::Serving) }, era: BEFORE };
                item(&entry_key(&vm), &serde_json::to_string(&doc).expect("json"), before(12))
            })
            .collect();
        directory.replace(&entries, 0);
        directory.replace(&[], 0);
        assert_eq!(directory.missing(), 1_000);
        // A thousand leases and writes at 400 a second take five seconds.
        assert!(directory.expire(MISSING_US + 4_900_000).is_empty());
        assert_eq!(directory.expire(MISSING_US + 5_000_000).len(), 1_000);
    }
}

mod own_entry {
    use test_case::test_case;

    use super::*;

    /// Makes a keeper whose entry stands at revision 12 and whose store has come back older.
    fn in_doubt() -> EntryKeeper {
        let mut keeper = EntryKeeper::default();
        keeper.change();
        keeper.enter(BEFORE, 0);
        keeper.granted(LEASE, 0);
        keeper.wrote(keeper.wanted(), before(12));
        keeper.enter(AFTER, 1_000_000);
        keeper
    }

    fn seen(revision: u64, lease: u64) -> SeenEntry {
        SeenEntry { position: after(revision), lease: Some(lease) }
    }

    #[test]
    fn an_entry_that_the_copy_holds_costs_a_renewal() {
        let mut keeper = in_doubt();
        assert!(matches!(keeper.next(1_000_000), EntryStep::Wait { .. }), "it is looked for first");
        keeper.seen(seen(12, 7));
        assert_eq!(keeper.next(3_000_000), EntryStep::Renew { lease: 7 });
        keeper.renewed(AFTER, 3_000_000);
        assert!(matches!(keeper.next(3_000_000), EntryStep::Wait { .. }));
    }

    #[test_case(Some(seen(11, 7)), Some(after(11)); "an earlier write of it")]
    #[test_case(Some(seen(12, 8)), Some(after(12)); "with another lease")]
    #[test_case(None, None; "nowhere")]
    fn an_entry_that_the_copy_does_not_hold_is_written_with_another_lease(
        found: Option<SeenEntry>,
        expected: Option<Position>,
    ) {
        let mut keeper = in_doubt();
        match found {
            Some(entry) => keeper.seen(entry),
            None => keeper.missing(after(29)),
        }
        assert_eq!(keeper.next(1_100_000), EntryStep::Grant, "its lease may be somebody else's by now");
        keeper.granted(Lease { id: 9, ttl_ms: 8_000, era: AFTER }, 1_100_000);
        assert_eq!(keeper.next(1_100_000), EntryStep::Write { lease: 9, expected });
    }

    #[test]
    fn an_entry_that_nobody_shows_is_written_anew() {
        let keeper = in_doubt();
        let EntryStep::Wait { until_us } = keeper.next(1_000_000) else {
            panic!("it waits");
        };
        assert!(until_us <= 1_600_000, "an entry is to be back within two seconds");
        assert_eq!(keeper.next(until_us), EntryStep::Grant);
    }

    #[test]
    fn answers_of_the_earlier_era_that_come_late_count_for_nothing() {
        let mut keeper = in_doubt();
        keeper.missing(after(29));
        keeper.granted(Lease { id: 10, ..LEASE }, 1_000_000);
        assert_eq!(keeper.next(1_100_000), EntryStep::Grant);
        keeper.granted(Lease { id: 9, ttl_ms: 8_000, era: AFTER }, 1_100_000);
        keeper.wrote(keeper.wanted(), before(34));
        keeper.seen(SeenEntry { position: before(34), lease: Some(10) });
        keeper.missing(before(35));
        assert_eq!(keeper.next(1_100_000), EntryStep::Write { lease: 9, expected: None });
        keeper.wrote(keeper.wanted(), after(30));
        keeper.renewed(BEFORE, 9_000_000);
        assert_eq!(keeper.next(9_000_000), EntryStep::Renew { lease: 9 });
    }

    #[test]
    fn a_write_that_the_store_takes_after_it_came_back_older_is_made_again_with_another_lease() {
        let mut keeper = EntryKeeper::default();
        keeper.change();
        keeper.enter(BEFORE, 0);
        keeper.granted(LEASE, 0);
        assert_eq!(keeper.next(0), EntryStep::Write { lease: 7, expected: None });
        keeper.enter(AFTER, 0);
        keeper.wrote(keeper.wanted(), after(30));
        assert_eq!(keeper.next(0), EntryStep::Grant, "the lease may be somebody else's");
    }

    #[test]
    fn a_store_that_was_away_is_asked_by_what_prolongs_nobodys_lease() {
        let mut keeper = in_doubt();
        keeper.failed(1_000_000, &mut fastrand::Rng::with_seed(3));
        assert_eq!(keeper.next(3_000_000), EntryStep::Ask);
    }
}

mod evacuations {
    use super::*;

    fn domains(names: &[&str]) -> BTreeSet<Arc<str>> {
        names.iter().map(|name| Arc::from(*name)).collect()
    }

    fn stored(keys: &[(&str, Position)]) -> BTreeMap<Arc<str>, Position> {
        keys.iter().map(|(domain, position)| (Arc::from(*domain), *position)).collect()
    }

    /// Makes the keys of a node that knows of one evacuation, and of one that has ended, as the store comes back older.
    fn back_older() -> EvacuationKeys {
        let mut keys = EvacuationKeys::default();
        keys.read(stored(&[("loka", before(20))]));
        keys.put("kranj", before(31));
        keys.remove("loka");
        let evacuated = keys.domains(0);
        assert_eq!(evacuated, domains(&["kranj"]));
        keys.enter_era(&evacuated, 0);
        keys
    }

    #[test]
    fn what_the_copy_lacks_is_no_removal_and_what_it_holds_again_is_no_new_word() {
        let mut keys = back_older();
        keys.read(stored(&[("loka", after(20))]));
        assert_eq!(keys.domains(1_000), domains(&["kranj"]));
    }

    #[test]
    fn what_the_operators_write_again_counts_in_any_order() {
        let mut keys = back_older();
        keys.read(stored(&[("loka", after(20))]));
        keys.remove("loka");
        keys.put("kranj", after(30));
        assert_eq!(keys.domains(LONG_US), domains(&["kranj"]));
        keys.remove("kranj");
        assert_eq!(keys.domains(1_000), domains(&[]));
        keys.put("loka", after(20));
        assert_eq!(keys.domains(1_000), domains(&["loka"]), "a new word, also at a revision that was given out before");
    }

    #[test]
    fn an_evacuation_of_the_later_era_counts_at_once() {
        let mut keys = back_older();
        keys.read(stored(&[("loka", after(30))]));
        assert_eq!(keys.domains(1_000), domains(&["kranj", "loka"]));
    }

    #[test]
    fn the_store_is_believed_in_the_end() {
        let mut keys = back_older();
        keys.read(stored(&[("loka", after(20))]));
        assert_eq!(keys.domains(LONG_US), domains(&["loka"]));
    }

    #[test]
    fn a_node_that_has_just_started_keeps_what_others_know() {
        let mut keys = EvacuationKeys::default();
        keys.read(stored(&[]));
        keys.told(&domains(&["kranj"]), 0);
        assert_eq!(keys.domains(1_000), domains(&["kranj"]));
        assert_eq!(keys.domains(LONG_US), domains(&[]));
    }

    #[test]
    fn news_of_a_later_era_count_at_a_lower_number() {
        let news = |era, number, names: &[&str]| Evacuation { era, number, domains: domains(names) };
        let mut known = news(BEFORE, 33, &["kranj"]);
        assert!(known.merge(&news(AFTER, 30, &["loka"])));
        assert!(!known.merge(&news(BEFORE, 99, &["kranj"])));
        assert!(known.set(domains(&[]), after(31)));
    }
}

/// What happens to a store and to the nodes that follow it.
#[derive(Debug, Clone)]
enum Step {
    /// A key is written.
    Write(u8),
    /// A key is removed.
    Remove(u8),
    /// The store comes back this many changes older.
    ComeBack(usize),
    /// The relay asks for changes; the answer comes at once, or is kept back.
    RelayAsks { late: bool },
    /// An answer that was kept back comes at last.
    LateAnswer,
    /// The follower asks the relay.
    FollowerAsks,
    /// The follower hears of the era from the store itself.
    FollowerHears,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (0..5u8).prop_map(Step::Write),
        2 => (0..5u8).prop_map(Step::Remove),
        1 => (1..12usize).prop_map(Step::ComeBack),
        4 => any::<bool>().prop_map(|late| Step::RelayAsks { late }),
        1 => Just(Step::LateAnswer),
        3 => Just(Step::FollowerAsks),
        1 => Just(Step::FollowerHears),
    ];
    prop::collection::vec(step, 1..120)
}

/// A store whose history can be taken back.
#[derive(Debug, Clone)]
struct World {
    era: u64,
    /// Key by revision that changed it, and whether it was written.
    history: Vec<(u8, bool)>,
    /// Counts writes, so that no two write the same.
    writes: u64,
    values: BTreeMap<(u64, usize), u64>,
}

/// An answer of the store to a node that has read it up to a position.
#[derive(Debug, Clone)]
enum Answer {
    Whole(Vec<Item>, Position),
    Changes { after: Position, changes: Vec<Change>, at: Position },
}

impl World {
    fn position(&self) -> Position {
        Position::new(Era::new(self.era), self.history.len() as u64 + 1)
    }

    fn change(&mut self, key: u8, put: bool) {
        self.history.push((key, put));
        self.writes += 1;
        self.values.insert((self.era, self.history.len()), self.writes);
    }

    /// Returns the value of the write at a place of the history: the one of the latest era that wrote there.
    fn value(&self, place: usize) -> String {
        let written = (1..=self.era).rev().find_map(|era| self.values.get(&(era, place + 1)));
        written.copied().unwrap_or(0).to_string()
    }

    fn event(&self, place: usize) -> Change {
        let (key, put) = self.history[place];
        let position = Position::new(Era::new(self.era), place as u64 + 2);
        match put {
            true => Change::Put(item(&format!("key/{key}"), &self.value(place), position)),
            false => Change::Gone { key: format!("key/{key}"), position },
        }
    }

    fn items(&self) -> BTreeMap<String, Item> {
        let mut items = BTreeMap::new();
        for place in 0..self.history.len() {
            match self.event(place) {
                Change::Put(item) => items.insert(item.key.clone(), item),
                Change::Gone { key, .. } => items.remove(&key),
            };
        }
        items
    }

    fn whole(&self) -> Answer {
        Answer::Whole(self.items().into_values().collect(), self.position())
    }

    /// Answers as the platform does: it compares the revision alone.
    fn answer(&self, after: Position) -> Answer {
        if after.is_start() || after.wire_revision() > self.position().wire_revision() {
            return self.whole();
        }
        let first = after.wire_revision().saturating_sub(1) as usize;
        let changes = (first..self.history.len()).map(|place| self.event(place)).collect();
        Answer::Changes { after, changes, at: self.position() }
    }
}

fn take(log: &mut ChangeLog, answer: Answer, world: &World) {
    let (taken, at) = match answer {
        Answer::Whole(items, at) => {
            log.enter(at.era());
            (log.read(&items, at, 0), at)
        }
        Answer::Changes { after, changes, at } => {
            log.enter(at.era());
            (log.apply(&changes, after, at, 0), at)
        }
    };
    // What does not go on from what is known is read whole, unless it is the answer that is old.
    if taken != Taken::Newest
        && at.era() == log.era()
        && let Answer::Whole(items, at) = world.whole()
    {
        log.read(&items, at, 0);
    }
}

fn values(log: &ChangeLog) -> BTreeMap<String, Vec<u8>> {
    log.items().map(|item| (item.key.clone(), item.value.clone())).collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(36),
        ..ProptestConfig::default()
    })]

    /// Whenever the store comes back older, and however answers cross, the next answer makes a relay whole and its
    /// next news its follower.
    #[test]
    fn relays_and_followers_end_with_what_the_store_holds(steps in steps()) {
        let mut world = World { era: 1, history: Vec::new(), writes: 0, values: BTreeMap::new() };
        let (mut relay, mut follower) = (ChangeLog::default(), ChangeLog::default());
        let mut late: Vec<Answer> = Vec::new();
        for step in steps {
            match step {
                Step::Write(key) => world.change(key, true),
                Step::Remove(key) => world.change(key, false),
                Step::ComeBack(changes) => {
                    let left = world.history.len().saturating_sub(changes);
                    world.history.truncate(left);
                    world.era += 1;
                    let gone = |place: &usize| *place > left;
                    world.values.retain(|(_, place), _| !gone(place));
                }
                Step::RelayAsks { late: true } => late.push(world.answer(relay.position())),
                Step::RelayAsks { late: false } => {
                    let answer = world.answer(relay.position());
                    take(&mut relay, answer, &world);
                }
                Step::LateAnswer => {
                    if let Some(answer) = late.pop() {
                        take(&mut relay, answer, &world);
                    }
                }
                Step::FollowerAsks => follow(&mut follower, &mut relay, &world),
                Step::FollowerHears => {
                    follower.enter(Era::new(world.era));
                }
            }
        }
        let answer = world.answer(relay.position());
        take(&mut relay, answer, &world);
        follow(&mut follower, &mut relay, &world);
        let held: BTreeMap<String, Vec<u8>> = world.items().into_iter().map(|(key, item)| (key, item.value)).collect();
        prop_assert_eq!(&values(&relay), &held);
        prop_assert_eq!(&values(&follower), &held);
    }
}

/// Has a follower ask its relay, which reads the store first where the follower has heard of a later era.
fn follow(follower: &mut ChangeLog, relay: &mut ChangeLog, world: &World) {
    if relay.enter(follower.era()) {
        let answer = world.answer(relay.position());
        take(relay, answer, world);
    }
    let after = follower.position();
    let news = relay.since(after);
    follower.enter(news.at.era());
    match news.whole {
        true => {
            let items: Vec<Item> = news.changes.iter().filter_map(Change::item).cloned().collect();
            follower.read(&items, news.at, 0);
        }
        false => {
            follower.apply(&news.changes, after, news.at, 0);
        }
    }
}
