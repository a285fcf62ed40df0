//! Tests of membership: views, the own entry, and the entries of others.

mod directory;
mod entry;
mod evacuation;
mod older;
mod other_writer;
mod registrar;
mod relay;
mod role;
mod suspension;
mod view;

use crate::store::{Era, Position};

/// Returns the position at a revision of a store that has never come back older.
fn at(revision: u64) -> Position {
    Position::new(Era::default(), revision)
}
