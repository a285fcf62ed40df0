//! Pure decisions on which nodes follow the store, and for whom.
//!
//! Each call to the store is paid for, so their number goes by changes and not by the fleet: one node, the reader,
//! follows the store; the relays of the failure domains follow the reader and keep the entries of their followers; all
//! other nodes call the store only until they have found a relay.

use std::sync::Arc;

use super::message::{Member, Phase};
use super::state::Members;
use crate::rendezvous::weight;

/// Nodes that follow one relay; a failure domain with more of them has several relays.
pub const GROUP_MAX: usize = 64;
/// Chance that a node which finds no relay becomes one in the first round, as a divisor: of a large fleet that starts at
/// once about as many do as are needed. It doubles with each round, so that a small fleet does not wait for long.
const FIRST_ROUND: u32 = 32;

/// Chance that a node begins as a relay whatever it finds, as a divisor.
const BEGIN_CHANCE: usize = GROUP_MAX / 2;
/// Nodes of a fleet that starts which are to ask each relay in the first round are about one of so many.
const JOIN_CHANCE: usize = 32;
/// Relays that a failure domain may have for each one that it needs: drawing them by chance is uneven, and each that gives
/// up sends its followers elsewhere.
const SURPLUS_FACTOR: usize = 2;

/// Why a node is passed over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Avoided {
    /// It did not reply.
    Silent,
    /// It replied that it is behind the store.
    Behind,
    /// It replied that as many nodes follow it as it bears.
    Full,
}

/// Returns the node that `me` follows in place of the store; none where it is to follow the store itself, or knows nobody
/// to follow. `avoided` tells which nodes are passed over.
pub fn relay_of<'a>(
    members: &'a Members,
    me: &Member,
    avoided: impl Fn(&str) -> Option<Avoided>,
) -> Option<&'a Member> {
    let serving: Vec<&Member> =
        members.iter().filter(|member| member.phase == Phase::Serving && member.vm != me.vm).collect();
    let usable = |member: &&&Member| avoided(&member.vm).is_none();
    let relays: Vec<&Member> = serving.iter().filter(|member| member.is_relay).copied().collect();
    if me.is_relay {
        return reader_of(&relays, me, avoided);
    }
    let own = |member: &&&Member| member.domain == me.domain;
    let drawn = |relay: &&&Member| weight(&me.vm, &relay.vm);
    let near = relays.iter().filter(usable).filter(own).max_by_key(drawn);
    let found = near.or_else(|| relays.iter().filter(usable).max_by_key(drawn));
    // One that is behind may catch up, and shows that the store does not answer it; another one would not fare better.
    let behind = |relay: &&&Member| avoided(&relay.vm) == Some(Avoided::Behind);
    let found = found.or_else(|| relays.iter().filter(behind).max_by_key(drawn));
    if found.is_none() && relays.iter().any(|relay| avoided(&relay.vm) == Some(Avoided::Full)) {
        // More relays are about to begin.
        return None;
    }
    found.copied().or_else(|| stand_in(&serving, me, avoided))
}

/// Returns the relay that the relay `me` follows, the first by rank. Where that is passed over, the store itself serves
/// better than a search among the others, whose news are about to be as old.
fn reader_of<'a>(relays: &[&'a Member], me: &Member, avoided: impl Fn(&str) -> Option<Avoided>) -> Option<&'a Member> {
    let first = relays.iter().min_by_key(|relay| rank(&relay.vm))?;
    (rank(&first.vm) < rank(&me.vm) && avoided(&first.vm).is_none()).then_some(*first)
}

/// Returns the node that is to become a relay where none is left; none where that is `me`.
fn stand_in<'a>(serving: &[&'a Member], me: &Member, avoided: impl Fn(&str) -> Option<Avoided>) -> Option<&'a Member> {
    let near = serving.iter().filter(|member| member.domain == me.domain && avoided(&member.vm).is_none());
    let first = near.min_by_key(|member| rank(&member.vm)).copied()?;
    let is_me = me.phase == Phase::Serving && rank(&me.vm) < rank(&first.vm);
    (!is_me).then_some(first)
}

/// Returns whether `me` is to become a relay, since its failure domain has too few.
pub fn is_needed(members: &Members, me: &Member, avoided: impl Fn(&str) -> Option<Avoided>) -> bool {
    if me.is_relay || me.phase != Phase::Serving {
        return false;
    }
    let near = |member: &&Member| member.domain == me.domain && member.phase == Phase::Serving;
    let known: Vec<&Member> =
        members.iter().filter(near).filter(|member| avoided(&member.vm) != Some(Avoided::Silent)).collect();
    let relays = known.iter().filter(|member| member.is_relay).count();
    let lacking = relays_for(known.len()).saturating_sub(relays);
    let before = known.iter().filter(|member| !member.is_relay && rank(&member.vm) < rank(&me.vm)).count();
    before < lacking
}

/// Returns whether `me` is a relay that its failure domain does not need.
pub fn is_surplus(members: &Members, me: &Member) -> bool {
    let near = |member: &&Member| member.domain == me.domain && member.phase == Phase::Serving;
    let known: Vec<&Member> = members.iter().filter(near).collect();
    let before = known.iter().filter(|member| member.is_relay && rank(&member.vm) < rank(&me.vm)).count();
    me.is_relay && before >= relays_for(known.len()) * SURPLUS_FACTOR
}

/// Returns how many relays a failure domain of so many nodes needs.
fn relays_for(nodes: usize) -> usize {
    nodes.div_ceil(GROUP_MAX).max(1)
}

/// Draws whether a node that finds no relay in a round, counted from zero, becomes one itself.
pub fn volunteers(round: u32, rng: &mut fastrand::Rng) -> bool {
    let one_in = FIRST_ROUND.checked_shr(round).unwrap_or(0);
    one_in <= 1 || rng.u32(..one_in) == 0
}

/// Draws whether a node begins as a relay whatever it finds: of a fleet that starts at once the first few are found by
/// all others, and would have to bear them all.
pub fn begins(rng: &mut fastrand::Rng) -> bool {
    rng.usize(..BEGIN_CHANCE) == 0
}

/// Draws whether a node that has found so many relays asks one of them in a round, counted from zero.
pub fn joins(round: u32, relays: usize, rng: &mut fastrand::Rng) -> bool {
    let chances = relays.saturating_mul(1 << round.min(16));
    rng.usize(..JOIN_CHANCE) < chances
}

/// Orders nodes in the same way at all of them.
fn rank(vm: &Arc<str>) -> u64 {
    weight("", vm)
}
