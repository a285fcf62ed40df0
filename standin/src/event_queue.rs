//! What happens next in a world of virtual time.

use std::collections::BTreeMap;

/// Events by their moments; those of one moment come in the order in which they were put in.
#[derive(Debug)]
pub struct EventQueue<E> {
    events: BTreeMap<(u64, u64), E>,
    next_id: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self { events: BTreeMap::new(), next_id: 0 }
    }
}

impl<E> EventQueue<E> {
    /// Puts in an event that happens at a moment, in microseconds.
    pub fn schedule(&mut self, at_us: u64, event: E) {
        self.events.insert((at_us, self.next_id), event);
        self.next_id += 1;
    }

    /// Takes out the next event with its moment, in microseconds.
    pub fn pop(&mut self) -> Option<(u64, E)> {
        let ((at_us, _), event) = self.events.pop_first()?;
        Some((at_us, event))
    }
}
