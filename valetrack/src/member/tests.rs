//! Tests of membership: views, the own entry, and the entries of others.

mod directory;
mod entry;
mod evacuation;
mod other_writer;
mod relay;
mod suspension;
mod view;
