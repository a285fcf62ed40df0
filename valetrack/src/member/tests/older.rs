//! Store rollbacks: the store is restored from an older copy and assigns revisions and lease ids a second time.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use proptest::prelude::*;

use crate::member::{
    ApplyOutcome, ChangeLog, Directory, EntryDoc, EntryKeeper, EntryStep, Evacuation, EvacuationKeys, MISSING_US,
    Member, Phase, SeenEntry, entry_key,
};
use crate::store::{Change, Era, Item, Lease, Position};

/// The eras before and after a store rollback.
const BEFORE: Era = Era::new(4);
const AFTER: Era = Era::new(5);
const LEASE: Lease = Lease { id: 7, ttl_ms: 8_000, era: BEFORE };
/// Longer than operators take to repeat the changes that the store has lost.
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
    fn log_accepts_lower_revision_of_later_era() {
        let mut log = read_before();
        let found = item("op/config", "38", after(26));
        assert_eq!(log.read(std::slice::from_ref(&found), after(29), 2_000), ApplyOutcome::Newest);
        assert_eq!(log.position(), after(29));
        assert_eq!(log.items().collect::<Vec<_>>(), [&found]);
    }

    #[test]
    fn log_drops_late_answer_of_earlier_era() {
        let mut log = read_before();
        assert!(log.enter(AFTER));
        assert!(!log.enter(BEFORE) && !log.enter(AFTER));
        assert_eq!(log.read(&[], before(90), 2_000), ApplyOutcome::Outdated);
        assert_eq!(log.apply(&[], before(33), before(90), 2_000), ApplyOutcome::Outdated);
        assert_eq!(log.position(), Position::start_of(AFTER));
        assert_eq!(log.current_until_us(), None, "nothing of the later era has been read");
    }

    #[test]
    fn log_rejects_changes_that_follow_a_reassigned_revision() {
        let mut log = read_before();
        let change = Change::Put(item("op/config", "61", after(34)));
        let changes = [change];
        assert_eq!(log.apply(&changes, before(33), after(34), 2_000), ApplyOutcome::Disconnected);
        assert_eq!(log.position(), before(33));
        log.enter(AFTER);
        assert_eq!(
            log.apply(&changes, before(33), after(34), 2_000),
            ApplyOutcome::Disconnected,
            "nor after the era was recorded"
        );
    }

    #[test_case(before(33); "at a revision that the store reached before the rollback")]
    #[test_case(before(90); "at a revision that the store has not reached again")]
    #[test_case(Position::start_of(AFTER); "that has read nothing of the era")]
    #[test_case(Position::new(Era::new(6), 1); "that has observed a later era")]
    fn follower_at_unrelated_position_is_sent_all_items(follower: Position) {
        let mut relay = ChangeLog::default();
        relay.read(&[item("a", "1", after(20))], after(29), 1_000);
        relay.apply(&[Change::Put(item("b", "2", after(40)))], after(29), after(40), 2_000);
        let update = relay.since(follower);
        assert!(update.whole);
        assert_eq!((update.changes.len(), update.at), (2, after(40)));
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
            departure: None,
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
    fn restored_copy_does_not_revert_a_node() {
        let mut directory = Directory::default();
        directory.replace(&[entry(Phase::Serving, BEFORE, before(12))], 0);
        directory.apply(&Change::Put(entry(Phase::Leaving, BEFORE, before(33))), 0);
        directory.replace(&[entry(Phase::Serving, BEFORE, after(12))], 1_000);
        assert_eq!(phase(&directory), Some(Phase::Leaving));
        assert_eq!(directory.missing(), 0, "the entry is stored and not missing");
    }

    #[test]
    fn entry_rewritten_in_later_era_counts_at_lower_revision() {
        let mut directory = Directory::default();
        directory.replace(&[entry(Phase::Serving, BEFORE, before(33))], 0);
        directory.apply(&Change::Put(entry(Phase::Leaving, AFTER, after(30))), 1_000);
        assert_eq!(phase(&directory), Some(Phase::Leaving));
        directory.apply(&Change::Put(entry(Phase::Serving, BEFORE, before(34))), 2_000);
        assert_eq!(phase(&directory), Some(Phase::Leaving), "a late read of the earlier era changes nothing");
    }

    #[test]
    fn entry_removed_in_later_era_is_missing() {
        let mut directory = Directory::default();
        directory.replace(&[entry(Phase::Serving, BEFORE, before(33))], 0);
        directory.apply(&Change::Gone { key: entry_key("a"), position: after(30) }, 1_000);
        assert_eq!(directory.expire(1_000 + MISSING_US), [Arc::from("a")]);
    }

    #[test]
    fn entry_without_an_era_uses_that_of_the_store() {
        let mut directory = Directory::default();
        directory.replace(&[entry(Phase::Serving, Era::default(), before(33))], 0);
        directory.replace(&[entry(Phase::Leaving, Era::default(), after(30))], 0);
        assert_eq!(phase(&directory), Some(Phase::Leaving));
    }

    #[test]
    fn many_missing_entries_expire_after_the_time_to_rewrite_them() {
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
        // 1,000 leases and 1,000 writes take five seconds at 400 calls a second.
        assert!(directory.expire(MISSING_US + 4_900_000).is_empty());
        assert_eq!(directory.expire(MISSING_US + 5_000_000).len(), 1_000);
    }
}

mod own_entry {
    use test_case::test_case;

    use super::*;

    /// Returns a keeper whose entry was written at revision 12 and whose store was rolled back afterwards.
    fn keeper_after_rollback() -> EntryKeeper {
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
    fn entry_in_the_restored_copy_needs_only_a_renewal() {
        let mut keeper = keeper_after_rollback();
        assert!(
            matches!(keeper.next(1_000_000), EntryStep::Wait { .. }),
            "the keeper first waits to see the entry in the copy"
        );
        keeper.seen(seen(12, 7));
        assert_eq!(keeper.next(3_000_000), EntryStep::Renew { lease: 7 });
        keeper.renewed(AFTER, 3_000_000);
        assert!(matches!(keeper.next(3_000_000), EntryStep::Wait { .. }));
    }

    #[test_case(Some(seen(11, 7)), Some(after(11)); "an earlier write of it")]
    #[test_case(Some(seen(12, 8)), Some(after(12)); "with another lease")]
    #[test_case(None, None; "no entry")]
    fn entry_missing_in_the_copy_is_written_under_another_lease(found: Option<SeenEntry>, expected: Option<Position>) {
        let mut keeper = keeper_after_rollback();
        match found {
            Some(entry) => keeper.seen(entry),
            None => keeper.missing(after(29)),
        }
        assert_eq!(keeper.next(1_100_000), EntryStep::Grant, "its lease id may belong to another node by now");
        keeper.granted(Lease { id: 9, ttl_ms: 8_000, era: AFTER }, 1_100_000);
        assert_eq!(keeper.next(1_100_000), EntryStep::Write { lease: 9, expected });
    }

    #[test]
    fn entry_that_is_not_seen_is_rewritten_in_time() {
        let keeper = keeper_after_rollback();
        let EntryStep::Wait { until_us } = keeper.next(1_000_000) else {
            panic!("expected a wait");
        };
        assert!(until_us <= 1_600_000, "an entry must be stored again within two seconds");
        assert_eq!(keeper.next(until_us), EntryStep::Grant);
    }

    #[test]
    fn keeper_ignores_late_answers_of_earlier_era() {
        let mut keeper = keeper_after_rollback();
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
    fn write_accepted_after_a_rollback_is_repeated_under_another_lease() {
        let mut keeper = EntryKeeper::default();
        keeper.change();
        keeper.enter(BEFORE, 0);
        keeper.granted(LEASE, 0);
        assert_eq!(keeper.next(0), EntryStep::Write { lease: 7, expected: None });
        keeper.enter(AFTER, 0);
        keeper.wrote(keeper.wanted(), after(30));
        assert_eq!(keeper.next(0), EntryStep::Grant, "the lease id may belong to another node");
    }

    #[test]
    fn unreachable_store_is_checked_without_a_renewal() {
        let mut keeper = keeper_after_rollback();
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

    /// Returns the keys of a node at a store rollback, with one evacuation in force and one that has ended.
    fn keys_at_rollback() -> EvacuationKeys {
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
    fn restored_copy_neither_ends_nor_starts_evacuations() {
        let mut keys = keys_at_rollback();
        keys.read(stored(&[("loka", after(20))]));
        assert_eq!(keys.domains(1_000), domains(&["kranj"]));
    }

    #[test]
    fn repeated_operator_changes_count_in_any_order() {
        let mut keys = keys_at_rollback();
        keys.read(stored(&[("loka", after(20))]));
        keys.remove("loka");
        keys.put("kranj", after(30));
        assert_eq!(keys.domains(LONG_US), domains(&["kranj"]));
        keys.remove("kranj");
        assert_eq!(keys.domains(1_000), domains(&[]));
        keys.put("loka", after(20));
        assert_eq!(
            keys.domains(1_000),
            domains(&["loka"]),
            "a new change counts even at a revision that was assigned before"
        );
    }

    #[test]
    fn evacuation_written_in_later_era_counts_at_once() {
        let mut keys = keys_at_rollback();
        keys.read(stored(&[("loka", after(30))]));
        assert_eq!(keys.domains(1_000), domains(&["kranj", "loka"]));
    }

    #[test]
    fn store_decides_after_the_retention_time() {
        let mut keys = keys_at_rollback();
        keys.read(stored(&[("loka", after(20))]));
        assert_eq!(keys.domains(LONG_US), domains(&["loka"]));
    }

    #[test]
    fn started_node_retains_evacuations_reported_by_peers() {
        let mut keys = EvacuationKeys::default();
        keys.read(stored(&[]));
        keys.record_peer_report(&domains(&["kranj"]), 0);
        assert_eq!(keys.domains(1_000), domains(&["kranj"]));
        assert_eq!(keys.domains(LONG_US), domains(&[]));
    }

    #[test]
    fn evacuation_of_later_era_wins_at_lower_number() {
        let update = |era, number, names: &[&str]| Evacuation { era, number, domains: domains(names) };
        let mut known = update(BEFORE, 33, &["kranj"]);
        assert!(known.merge(&update(AFTER, 30, &["loka"])));
        assert!(!known.merge(&update(BEFORE, 99, &["kranj"])));
        assert!(known.set(domains(&[]), after(31)));
    }
}

/// Events of a store and of the nodes that follow it.
#[derive(Debug, Clone)]
enum Step {
    /// A key is written.
    Write(u8),
    /// A key is removed.
    Remove(u8),
    /// The store is rolled back by this many changes.
    RollBack(usize),
    /// The relay requests changes; the answer is received at once or delayed.
    RelayRequests { late: bool },
    /// A delayed answer is received.
    LateAnswer,
    /// The follower sends a request to the relay.
    FollowerRequests,
    /// The follower learns the era from the store itself.
    FollowerLearnsEra,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (0..5u8).prop_map(Step::Write),
        2 => (0..5u8).prop_map(Step::Remove),
        1 => (1..12usize).prop_map(Step::RollBack),
        4 => any::<bool>().prop_map(|late| Step::RelayRequests { late }),
        1 => Just(Step::LateAnswer),
        3 => Just(Step::FollowerRequests),
        1 => Just(Step::FollowerLearnsEra),
    ];
    prop::collection::vec(step, 1..120)
}

/// A store whose history can be rolled back.
#[derive(Debug, Clone)]
struct World {
    era: u64,
    /// The changed key of each revision, and whether it was written or removed.
    history: Vec<(u8, bool)>,
    /// Number of writes, used as their values so that all differ.
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

    /// Returns the value of the write at an index of the history, from the latest era with a write at this index.
    fn value(&self, index: usize) -> String {
        let written = (1..=self.era).rev().find_map(|era| self.values.get(&(era, index + 1)));
        written.copied().unwrap_or(0).to_string()
    }

    fn event(&self, index: usize) -> Change {
        let (key, put) = self.history[index];
        let position = Position::new(Era::new(self.era), index as u64 + 2);
        match put {
            true => Change::Put(item(&format!("key/{key}"), &self.value(index), position)),
            false => Change::Gone { key: format!("key/{key}"), position },
        }
    }

    fn items(&self) -> BTreeMap<String, Item> {
        let mut items = BTreeMap::new();
        for index in 0..self.history.len() {
            match self.event(index) {
                Change::Put(item) => items.insert(item.key.clone(), item),
                Change::Gone { key, .. } => items.remove(&key),
            };
        }
        items
    }

    fn whole(&self) -> Answer {
        Answer::Whole(self.items().into_values().collect(), self.position())
    }

    /// Answers as the platform does, which compares only revisions.
    fn answer(&self, after: Position) -> Answer {
        if after.is_start() || after.wire_revision() > self.position().wire_revision() {
            return self.whole();
        }
        let first = after.wire_revision().saturating_sub(1) as usize;
        let changes = (first..self.history.len()).map(|index| self.event(index)).collect();
        Answer::Changes { after, changes, at: self.position() }
    }
}

fn apply_answer(log: &mut ChangeLog, answer: Answer, world: &World) {
    let (outcome, at) = match answer {
        Answer::Whole(items, at) => {
            log.enter(at.era());
            (log.read(&items, at, 0), at)
        }
        Answer::Changes { after, changes, at } => {
            log.enter(at.era());
            (log.apply(&changes, after, at, 0), at)
        }
    };
    // If the answer does not continue from the log, all items are read, unless the answer is outdated.
    if outcome != ApplyOutcome::Newest
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

    /// Whenever the store is rolled back, and in whatever order answers are received, the relay's next answer and its
    /// follower's next update bring both to the contents of the store.
    #[test]
    fn relay_and_follower_match_the_store_after_rollbacks(steps in steps()) {
        let mut world = World { era: 1, history: Vec::new(), writes: 0, values: BTreeMap::new() };
        let (mut relay, mut follower) = (ChangeLog::default(), ChangeLog::default());
        let mut late: Vec<Answer> = Vec::new();
        for step in steps {
            match step {
                Step::Write(key) => world.change(key, true),
                Step::Remove(key) => world.change(key, false),
                Step::RollBack(changes) => {
                    let left = world.history.len().saturating_sub(changes);
                    world.history.truncate(left);
                    world.era += 1;
                    let lost = |index: &usize| *index > left;
                    world.values.retain(|(_, index), _| !lost(index));
                }
                Step::RelayRequests { late: true } => late.push(world.answer(relay.position())),
                Step::RelayRequests { late: false } => {
                    let answer = world.answer(relay.position());
                    apply_answer(&mut relay, answer, &world);
                }
                Step::LateAnswer => {
                    if let Some(answer) = late.pop() {
                        apply_answer(&mut relay, answer, &world);
                    }
                }
                Step::FollowerRequests => follow(&mut follower, &mut relay, &world),
                Step::FollowerLearnsEra => {
                    follower.enter(Era::new(world.era));
                }
            }
        }
        let answer = world.answer(relay.position());
        apply_answer(&mut relay, answer, &world);
        follow(&mut follower, &mut relay, &world);
        let held: BTreeMap<String, Vec<u8>> = world.items().into_iter().map(|(key, item)| (key, item.value)).collect();
        prop_assert_eq!(&values(&relay), &held);
        prop_assert_eq!(&values(&follower), &held);
    }
}

/// Sends a request of a follower to its relay, which reads the store first if the follower has observed a later era.
fn follow(follower: &mut ChangeLog, relay: &mut ChangeLog, world: &World) {
    if relay.enter(follower.era()) {
        let answer = world.answer(relay.position());
        apply_answer(relay, answer, world);
    }
    let after = follower.position();
    let update = relay.since(after);
    follower.enter(update.at.era());
    match update.whole {
        true => {
            let items: Vec<Item> = update.changes.iter().filter_map(Change::item).cloned().collect();
            follower.read(&items, update.at, 0);
        }
        false => {
            follower.apply(&update.changes, after, update.at, 0);
        }
    }
}
