//! Tests of membership: views, a node's own entry, and the entries of other nodes.

mod departure;
mod directory;
mod entry;
mod evacuation;
mod fleet;
mod older;
mod other_writer;
mod registrar;
mod relay;
mod role;
mod suspension;
mod takeover;
mod view;

use crate::store::{Era, Position};

/// Returns the position at a revision of a store that was never rolled back.
fn at(revision: u64) -> Position {
    Position::new(Era::default(), revision)
}
