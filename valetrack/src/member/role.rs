//! Selection of the nodes that follow the store on behalf of the others.
//!
//! Each call to the store costs money, so the number of calls depends on the number of changes and not on the size of
//! the fleet: one node, the reader, follows the store; the relays of the failure domains follow the reader and keep the
//! entries of their followers; all other nodes call the store only until they have found a relay.

use std::sync::Arc;

use super::message::{Member, Phase};
use super::state::Members;
use crate::region::Regions;
use crate::rendezvous::weight;

/// Target number of nodes per relay; a larger failure domain has several relays.
pub const GROUP_MAX: usize = 64;
/// One in this many nodes that find no relay becomes one in the first round. In a large fleet that starts at once,
/// about as many do as are needed. The chance doubles with each round, so that a small fleet does not wait for long.
const FIRST_ROUND_ONE_IN: u32 = 32;

/// One in this many nodes starts as a relay, whether or not it finds one.
const START_ONE_IN: usize = GROUP_MAX / 2;
/// One in this many waiting nodes of a starting fleet sends its first request to a given relay in the first round.
const JOIN_ONE_IN: usize = 32;
/// Number of relays that a failure domain may have for each one that it needs: a random draw is uneven, and the
/// followers of a relay that resigns have to find another one.
const SURPLUS_FACTOR: usize = 2;

/// Reason why a relay is avoided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AvoidReason {
    /// It did not reply.
    Silent,
    /// It replied that it is behind the store.
    Behind,
    /// It replied that it accepts no more followers.
    Full,
}

/// Returns the node that `me` follows instead of the store; none if it must follow the store itself or has no record of
/// a node to follow. `avoided` returns why a node is avoided, if it is.
pub fn relay_of<'a>(
    members: &'a Members,
    me: &Member,
    avoided: impl Fn(&str) -> Option<AvoidReason>,
) -> Option<&'a Member> {
    relay_in_regions(members, me, &Regions::default(), avoided)
}

/// Returns the node that `me` follows like [`relay_of`], in a fleet of several regions. Only one relay of each region
/// follows the reader, so that changes cross to a region once, and nodes prefer relays of their region.
pub fn relay_in_regions<'a>(
    members: &'a Members,
    me: &Member,
    regions: &Regions,
    avoided: impl Fn(&str) -> Option<AvoidReason>,
) -> Option<&'a Member> {
    let serving: Vec<&Member> =
        members.iter().filter(|member| member.phase == Phase::Serving && member.vm != me.vm).collect();
    let usable = |member: &&&Member| avoided(&member.vm).is_none();
    let relays: Vec<&Member> = serving.iter().filter(|member| member.is_relay).copied().collect();
    if me.is_relay {
        let near: Vec<&Member> =
            relays.iter().filter(|relay| regions.is_same_region(&relay.domain, &me.domain)).copied().collect();
        return reader_of(&near, me, &avoided).or_else(|| reader_of(&relays, me, &avoided));
    }
    let own = |member: &&&Member| member.domain == me.domain;
    let drawn = |relay: &&&Member| weight(&me.vm, &relay.vm);
    let near = relays.iter().filter(usable).filter(own).max_by_key(drawn);
    let in_region = |member: &&&Member| regions.is_same_region(&member.domain, &me.domain);
    let near = near.or_else(|| relays.iter().filter(usable).filter(in_region).max_by_key(drawn));
    let found = near.or_else(|| relays.iter().filter(usable).max_by_key(drawn));
    // A relay that is behind may catch up. It is behind because the store does not answer it, which would affect
    // another relay as well.
    let behind = |relay: &&&Member| avoided(&relay.vm) == Some(AvoidReason::Behind);
    let found = found.or_else(|| relays.iter().filter(behind).max_by_key(drawn));
    if found.is_none() && relays.iter().any(|relay| avoided(&relay.vm) == Some(AvoidReason::Full)) {
        // More nodes are about to become relays.
        return None;
    }
    found.copied().or_else(|| relay_successor(&serving, me, avoided))
}

/// Returns the relay that the relay `me` follows, the first by rank. If that one is avoided, `me` follows the store
/// instead of another relay, whose log is about to be equally old.
fn reader_of<'a>(
    relays: &[&'a Member],
    me: &Member,
    avoided: impl Fn(&str) -> Option<AvoidReason>,
) -> Option<&'a Member> {
    let first = relays.iter().min_by_key(|relay| rank(&relay.vm))?;
    (rank(&first.vm) < rank(&me.vm) && avoided(&first.vm).is_none()).then_some(*first)
}

/// Returns whether a relay is the reader by rank, which all other relays follow directly or through the first relay of
/// their region.
pub fn is_reader(members: &Members, vm: &str) -> bool {
    let relays = members.iter().filter(|member| member.phase == Phase::Serving && member.is_relay);
    relays.min_by_key(|relay| rank(&relay.vm)).is_some_and(|first| *first.vm == *vm)
}

/// Returns the relay that the relay `me` follows while the store refuses it: the first by rank that is not avoided, since
/// that one follows the store itself.
pub fn source_of<'a>(
    members: &'a Members,
    me: &Member,
    avoided: impl Fn(&str) -> Option<AvoidReason>,
) -> Option<&'a Member> {
    let usable = |member: &&Member| member.is_relay && member.phase == Phase::Serving && member.vm != me.vm;
    let relays = members.iter().filter(usable).filter(|relay| avoided(&relay.vm).is_none());
    relays.min_by_key(|relay| rank(&relay.vm))
}

/// Returns the node that becomes a relay if none is left; none if that is `me`.
fn relay_successor<'a>(
    serving: &[&'a Member],
    me: &Member,
    avoided: impl Fn(&str) -> Option<AvoidReason>,
) -> Option<&'a Member> {
    let near = serving.iter().filter(|member| member.domain == me.domain && avoided(&member.vm).is_none());
    let first = near.min_by_key(|member| rank(&member.vm)).copied()?;
    let is_me = me.phase == Phase::Serving && rank(&me.vm) < rank(&first.vm);
    (!is_me).then_some(first)
}

/// Returns whether `me` must become a relay, since its failure domain has too few.
pub fn is_needed(members: &Members, me: &Member, avoided: impl Fn(&str) -> Option<AvoidReason>) -> bool {
    if me.is_relay || me.phase != Phase::Serving {
        return false;
    }
    let near = |member: &&Member| member.domain == me.domain && member.phase == Phase::Serving;
    let known: Vec<&Member> =
        members.iter().filter(near).filter(|member| avoided(&member.vm) != Some(AvoidReason::Silent)).collect();
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

/// Returns how many relays a failure domain with this many nodes needs.
fn relays_for(nodes: usize) -> usize {
    nodes.div_ceil(GROUP_MAX).max(1)
}

/// Draws whether a node that finds no relay in a round, counted from zero, becomes one itself.
pub fn is_candidate(round: u32, rng: &mut fastrand::Rng) -> bool {
    let one_in = FIRST_ROUND_ONE_IN.checked_shr(round).unwrap_or(0);
    one_in <= 1 || rng.u32(..one_in) == 0
}

/// Draws whether a node starts as a relay even if it finds one: when a whole fleet starts at once, all nodes find the
/// same first few relays, which could not serve them all.
pub fn starts_as_relay(rng: &mut fastrand::Rng) -> bool {
    rng.usize(..START_ONE_IN) == 0
}

/// Draws whether a node that has found this many relays sends a request to one of them in a round, counted from zero.
pub fn joins_relay(round: u32, relays: usize, rng: &mut fastrand::Rng) -> bool {
    let chances = relays.saturating_mul(1 << round.min(16));
    rng.usize(..JOIN_ONE_IN) < chances
}

/// Returns a rank that orders nodes in the same way at every node.
fn rank(vm: &Arc<str>) -> u64 {
    weight("", vm)
}
